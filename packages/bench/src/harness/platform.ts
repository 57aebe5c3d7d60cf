import type { GroupRecord, WriteOutcome } from '@shallotpick/core';
import type { GuaranteeChecker } from './checker.js';
import type { Endpoint, SimulatedNetwork } from './network.js';

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

  version = 0;

  constructor(
    private readonly network: SimulatedNetwork,
    private readonly checksVersions: boolean,
    private readonly checker: GuaranteeChecker,
  ) {}

  write(record: GroupRecord, expectedVersion: number): WriteOutcome {
    const isExpected = expectedVersion === this.version;
    if (!isExpected && this.checksVersions) return { kind: 'conflict' };
    this.checker.handleRecord(this.record, record);
    this.version += 1;
    this.record = record;
    if (this.network.now < this.losesAnswersUntil) return { kind: 'lost' };
    return { kind: 'written', version: this.version };
  }
}
