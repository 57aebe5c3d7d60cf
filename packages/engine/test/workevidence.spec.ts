import { expect } from 'earl';
import type { Command, Verdict } from '../src/index.js';
import { createFixture, type Fixture } from './fixture.js';
import type { FakeInstance } from './fake.js';

const READS = 40;

describe('WorkEvidence', () => {
  let fixture: Fixture;

  beforeEach(async () => {
    fixture = await createFixture(true);
  });

  afterEach(() => fixture.stop());

  const failReads = ({ operation }: Command): Verdict | undefined =>
    operation.kind === 'read' ? 'failed' : undefined;

  const runReads = async (): Promise<number> => {
    const session = fixture.createSession('aged');
    let answered = 0;
    for (let read = 0; read < READS; read++) {
      const statement = { kind: 'read', text: 'READ a' } as const;
      const { failure } = await session.run({ id: `q${read}`, statement });
      if (!failure) answered += 1;
    }
    return answered;
  };

  const countReads = ({ received }: FakeInstance): number =>
    received.filter((line) => line.includes(' read ')).length;

  // A replica that answered its probes failed the reads of callers, who were each told to retry.
  it('leaves a replica that fails reads and answers probes', async () => {
    fixture.replica.intercept = failReads;
    const answered = await runReads();
    expect([answered, countReads(fixture.replica) < READS / 4]).toEqual([READS, true]);
    expect(countReads(fixture.other)).toBeGreaterThan(READS / 2);
  });

  it('uses every instance while all fail reads', async () => {
    const all = [fixture.replica, fixture.other, fixture.leader];
    all.forEach((instance) => Object.assign(instance, { intercept: failReads }));
    await runReads();
    const isUsed = all.slice(0, 2).map((instance) => countReads(instance) > READS / 8);
    expect(isUsed).toEqual([true, true]);
  });
});
