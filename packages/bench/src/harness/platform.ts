import type { GroupRecord, WriteOutcome } from '@shallotpick/core';
import type { GuaranteeChecker } from './checker.js';
import type { Endpoint, SimulatedNetwork } from './network.js';

/** The record of one group in a platform with conditional updates. */
export class FakePlatform implements Endpoint {
  readonly id = 'platform';

  readonly zone = 'platform';

  isDown = false;

  pausedUntil = 0;

  epoch = 0;

  /** Answers to writes before this time are lost after the write took effect. */
  losesAnswersUntil = 0;

  record: GroupRecord | undefined;

  version = 0;

  constructor(
    private readonly world: SimulatedNetwork,
    private readonly checksVersions: boolean,
    private readonly checks: GuaranteeChecker,
  ) {}

  write(record: GroupRecord, expectedVersion: number): WriteOutcome {
    const isExpected = expectedVersion === this.version;
    if (!isExpected && this.checksVersions) return { kind: 'conflict' };
    this.checks.handleRecord(this.record, record);
    this.version += 1;
    this.record = record;
    if (this.world.now < this.losesAnswersUntil) return { kind: 'lost' };
    return { kind: 'written', version: this.version };
  }
}
