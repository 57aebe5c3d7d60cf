import { expect } from 'earl';
import { PositionSamples } from '../src/index.js';

const at = (offset: number, takenAt: number, term = 1) => ({ position: { term, offset }, takenAt });

const createSamples = (): PositionSamples => {
  const samples = new PositionSamples();
  [at(10, 100), at(20, 200), at(30, 300)].forEach((sample) => samples.add(sample));
  return samples;
};

describe('PositionSamples', () => {
  // Guards against reads whose data is older than the caller allows.
  it('finds the oldest sample that is recent enough, and none when all are too old', () => {
    const samples = createSamples();
    expect(samples.findSince(150)).toEqual(at(20, 200));
    expect(samples.findSince(200)).toEqual(at(20, 200));
    expect(samples.findSince(301)).toEqual(undefined);
  });

  // Guards against a delayed answer that makes an old position look recent.
  it('ignores a sample taken before the newest one', () => {
    const samples = createSamples();
    samples.add(at(99, 250));
    expect(samples.readLatest()).toEqual(at(30, 300));
  });

  it('computes the lag of a log, across terms', () => {
    const samples = createSamples();
    expect(samples.findLag({ term: 1, offset: 30 }, 350)).toEqual(0);
    expect(samples.findLag({ term: 2, offset: 1 }, 350)).toEqual(0);
    expect(samples.findLag({ term: 1, offset: 25 }, 350)).toEqual(150);
    expect(new PositionSamples().findLag({ term: 1, offset: 1 }, 0)).toEqual(undefined);
  });
});
