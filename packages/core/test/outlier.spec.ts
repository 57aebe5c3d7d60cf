import { expect } from 'earl';
import { type Millis, OutlierDetector } from '../src/index.js';

const INSTANCES = ['a', 'b', 'c'] as const;
const GAP_MS: Millis = 10;
const TOOK_MS: Millis = 10;

/** A fault: which reads of an instance fail, and how long they take. */
type Fault = (
  instance: string,
  read: number,
) => { readonly isFailed: boolean; readonly tookMs: Millis };

const GOOD: ReturnType<Fault> = { isFailed: false, tookMs: TOOK_MS };

/** Sends reads to the candidates in turn; returns how often each was used. */
const sendReads = (
  detector: OutlierDetector,
  fault: Fault,
  count: number,
  from: Millis = 0,
): Readonly<Record<'a' | 'b' | 'c', number>> => {
  const used = { a: 0, b: 0, c: 0 };
  for (let read = 0; read < count; read++) {
    const now = from + read * GAP_MS;
    const avoided = detector.listAvoided(INSTANCES, now);
    const open = INSTANCES.filter((id) => !avoided.has(id));
    const id = open[read % open.length]!;
    detector.handleStart(id, now);
    detector.handleResult(id, fault(id, read), now);
    used[id] += 1;
  }
  return used;
};

const failNearHalf: Fault = (id, read) => ({ ...GOOD, isFailed: id === 'a' && read % 20 < 9 });
const failAlways: Fault = (id) => ({ ...GOOD, isFailed: id === 'a' });

describe('OutlierDetector', () => {
  // An instance that answered its probes failed every other read of one zone for its whole fault.
  it('leaves an instance that fails reads while its probes are good', () => {
    const used = sendReads(new OutlierDetector(), failNearHalf, 600);
    expect(used.a).toBeLessThan(40);
  });

  // A fault of one zone's way to an instance must not take the instance from the other zones.
  it('keeps the evidence of one VM to that VM', () => {
    const [near, other] = [new OutlierDetector(), new OutlierDetector()];
    sendReads(near, failNearHalf, 200);
    sendReads(other, () => GOOD, 200);
    expect([near, other].map((one) => [...one.listAvoided(INSTANCES, 2_000)])).toEqual([['a'], []]);
  });

  // Ejecting instances that all fail takes away what little is served.
  it('ejects none while all fail alike', () => {
    const detector = new OutlierDetector();
    const used = sendReads(detector, (_, read) => ({ ...GOOD, isFailed: read % 4 < 2 }), 600);
    expect(Math.min(...Object.values(used))).toBeGreaterThan(150);
  });

  it('never avoids the last candidate, nor more than half of them', () => {
    const detector = new OutlierDetector();
    sendReads(detector, failAlways, 60);
    sendReads(detector, (id) => ({ ...GOOD, isFailed: id === 'b' }), 60, 600);
    expect(detector.listAvoided(INSTANCES, 1_200).size).toEqual(1);
    expect(detector.listAvoided(['a'], 1_200).size).toEqual(0);
  });

  // An instance that goes down and up by turns lost reads at each of its returns.
  it('tries a flapping instance less and less often', () => {
    const detector = new OutlierDetector();
    const counts = [0, 10_000, 20_000].map(
      (from) => sendReads(detector, failAlways, 1_000, from).a,
    );
    const [first = 0, second = 0, third = 0] = counts;
    expect(first).toBeGreaterThan(second);
    expect(second + third).toBeLessThan(5);
  });

  it('returns an instance after a few good trials', () => {
    const detector = new OutlierDetector();
    sendReads(detector, failAlways, 100);
    const used = sendReads(detector, () => GOOD, 600, 3_000);
    expect(used.a).toBeGreaterThan(150);
  });

  // A trial that was never answered kept the instance out for good.
  it('starts another trial when one has no result', () => {
    const detector = new OutlierDetector();
    sendReads(detector, failAlways, 20);
    const isAvoided = (now: Millis): boolean => detector.listAvoided(INSTANCES, now).has('a');
    const isOpen = !isAvoided(2_000);
    detector.handleStart('a', 2_000);
    expect([isOpen, isAvoided(2_100), isAvoided(3_100)]).toEqual([true, true, false]);
  });

  // A slow instance held the reads of a zone although its peers were idle.
  it('leaves an instance that is slow against its peers', () => {
    const fault: Fault = (id) => ({ ...GOOD, tookMs: id === 'a' ? 40 * TOOK_MS : TOOK_MS });
    expect(sendReads(new OutlierDetector(), fault, 60).a).toBeLessThan(15);
  });
});
