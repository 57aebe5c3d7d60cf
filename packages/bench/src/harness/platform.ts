import { encodeStoreVersion, type GroupRecord, type WriteOutcome } from '@shallotpick/core';
import type { GuaranteeChecker } from './checker.js';
import type { Endpoint, SimulatedNetwork } from './network.js';
import type { SimulationRules } from './rules.js';

/** The record at some time, and the store's revision at its last change; 0 when it is absent. */
interface RecordCopy {
  readonly record: GroupRecord | undefined;
  readonly revision: number;
  readonly at: number;
}

/** Simulates the platform's store: one group record with conditional updates. */
export class FakePlatform implements Endpoint {
  readonly id = 'platform';

  readonly zone = 'platform';

  isDown = false;

  pausedUntil = 0;

  epoch = 0;

  /** Until this time a write takes effect but its answer is lost. */
  losesAnswersUntil = 0;

  record: GroupRecord | undefined;

  private revision = 0;

  /** Rises each time the store comes back from an older copy. */
  private era = 0;

  private copies: readonly RecordCopy[] = [];

  constructor(
    private readonly network: SimulatedNetwork,
    private readonly rules: Pick<SimulationRules, 'checksVersions' | 'includesEras'>,
    private readonly checker: GuaranteeChecker,
  ) {}

  /** Version of the record, or of its absence. */
  get version(): number {
    const { era, revision } = this;
    return this.rules.includesEras ? encodeStoreVersion({ era, revision }) : revision;
  }

  /** Writes a record unconditionally. */
  put(record: GroupRecord): void {
    this.revision += 1;
    this.record = record;
    this.copies = [...this.copies, { record, revision: this.revision, at: this.network.now }];
  }

  /** Comes back as it was at a time; without the record when that is before its first write. */
  restore(copiedAt: number): void {
    this.copies = this.copies.filter(({ at }) => at <= copiedAt);
    const { record, revision } = this.copies.at(-1) ?? { record: undefined, revision: 0 };
    this.record = record;
    this.revision = revision;
    this.era += 1;
  }

  write(record: GroupRecord, expectedVersion: number): WriteOutcome {
    const isExpected = expectedVersion === this.version;
    if (!isExpected && this.rules.checksVersions) return { kind: 'conflict' };
    this.checker.handleRecord(this.record, record);
    this.put(record);
    if (this.network.now < this.losesAnswersUntil) return { kind: 'lost' };
    return { kind: 'written', version: this.version };
  }
}
