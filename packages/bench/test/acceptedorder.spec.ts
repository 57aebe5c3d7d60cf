import { expect } from 'earl';
import { createRandom } from '../src/random.js';
import { type ActingVm, PROMOTE_MS, REACTION_MS } from '../src/takeover/acceptedorder.js';
import { SyncGroup } from '../src/takeover/group.js';
import type { SyncInstance } from '../src/takeover/syncinstance.js';
import { OPEN_CONNECTION } from './openconnection.js';

const STEP_MS = 10;
/** Time in which the leader gets its first entries acknowledged. */
const WRITE_MS = 400;

/** A VM that reaches all instances but the given ones. */
const createVm = (process: string, ...unreachable: readonly SyncInstance[]): ActingVm => ({
  process,
  reaches: (instance) => !unreachable.includes(instance),
});

/** A group of a leader, a replica with all of its entries, and one that receives none. */
class WrittenGroup {
  readonly group = new SyncGroup(['db-0', 'db-1', 'db-2'], createRandom(1));

  readonly leader = this.group.instances[0]!;

  readonly replica = this.group.instances[1]!;

  readonly deaf = this.group.instances[2]!;

  vms: readonly ActingVm[] = [];

  private now = 0;

  constructor() {
    this.deaf.isReplicationStopped = true;
    this.advance(WRITE_MS);
    this.group.isLeaderPartitioned = true;
  }

  advance(duration: number): void {
    const end = this.now + duration;
    for (; this.now < end; this.now += STEP_MS) {
      this.group.watchOrder(this.now, this.vms);
      this.group.handleStep(this.now, () => [OPEN_CONNECTION]);
    }
  }

  order(instance: SyncInstance): void {
    this.group.promote(instance.id, this.group.promotions + 1, this.now);
  }

  loseLog(instance: SyncInstance): void {
    this.group.crashWithLog(instance, this.now);
  }

  startEmpty(instance: SyncInstance): void {
    this.group.restartEmpty(instance, this.now);
  }

  /** Tells which guarantee was violated, and whether entries were counted beside it. */
  describeLoss(): Readonly<Record<string, unknown>> {
    const { violation, acknowledgements, promotions } = this.group;
    return {
      promotions,
      violated: violation?.guarantee,
      isLostInPromotion: acknowledgements.lostInPromotion.size > 0,
      isUnrecoverable: acknowledgements.unrecoverable.size > 0,
    };
  }
}

const LOST = {
  ...{ promotions: 1, violated: 'nothing acknowledged is lost' },
  ...{ isLostInPromotion: false, isUnrecoverable: false },
};
const LOST_IN_PROMOTION = { ...LOST, violated: undefined, isLostInPromotion: true };
const UNRECOVERABLE = { ...LOST, violated: undefined, isUnrecoverable: true };
const NOT_OUTDATED = {
  ...LOST,
  violated: 'a promotion of a log that was lost is outdated in time',
};

/** Orders the replica to lead, which loses its log and is back `startMs` after the order. */
const runLossInPromotion = (written: WrittenGroup, startMs: number): unknown => {
  written.order(written.replica);
  written.advance(STEP_MS);
  written.loseLog(written.replica);
  written.advance(startMs - STEP_MS);
  written.startEmpty(written.replica);
  written.advance(2 * PROMOTE_MS);
  return written.describeLoss();
};

describe('entries that are lost beside a promotion', () => {
  // Guards against an excuse for a VM that saw the restart and left the order in force.
  it('violate a guarantee if a VM could have named an instance with all of them', () => {
    const written = new WrittenGroup();
    written.vms = [createVm('vm-0')];
    expect(runLossInPromotion(written, 2 * STEP_MS)).toEqual(NOT_OUTDATED);
  });

  // Guards against a demand that no VM could have met.
  it('are counted if no VM reached the restarted instance and a holder', () => {
    const written = new WrittenGroup();
    const { leader, replica } = written;
    written.vms = [createVm('vm-0', leader), createVm('vm-1', replica)];
    expect(runLossInPromotion(written, 2 * STEP_MS)).toEqual(LOST_IN_PROMOTION);
  });

  // Guards against a demand to act in less time than a claim and an order take.
  it('are counted if the restart showed too late', () => {
    const written = new WrittenGroup();
    written.vms = [createVm('vm-0')];
    const startMs = PROMOTE_MS - REACTION_MS + 2 * STEP_MS;
    expect(runLossInPromotion(written, startMs)).toEqual(LOST_IN_PROMOTION);
  });

  // Guards against an excuse for an order that was wrong when it was given: the loss of a log
  // excuses the loss of what that log held, and of nothing else.
  it('violate a guarantee if the named log never held them', () => {
    const written = new WrittenGroup();
    written.order(written.deaf);
    written.loseLog(written.deaf);
    written.startEmpty(written.deaf);
    written.advance(2 * PROMOTE_MS);
    expect(written.describeLoss()).toEqual(LOST);
  });

  // Guards against an excuse for an order that gave up a log which was still there, and was lost
  // only before the promotion took effect.
  it('violate a guarantee if another log held them when the order was accepted', () => {
    const written = new WrittenGroup();
    written.loseLog(written.replica);
    written.order(written.deaf);
    written.advance(STEP_MS);
    written.loseLog(written.leader);
    written.advance(2 * PROMOTE_MS);
    expect(written.describeLoss()).toEqual(LOST);
  });

  // Guards against a violation where every log was lost before anyone could choose.
  it('are counted if restarts had lost every log that held them before the order', () => {
    const written = new WrittenGroup();
    written.loseLog(written.replica);
    written.loseLog(written.leader);
    written.order(written.deaf);
    written.advance(2 * PROMOTE_MS);
    expect(written.describeLoss()).toEqual(UNRECOVERABLE);
  });

  // Guards against a log that drops an acknowledged entry without a judged promotion, so that it
  // would later pass for one that no order could save.
  it('violate a guarantee if a log drops them without a promotion', () => {
    const written = new WrittenGroup();
    const { leader, replica } = written;
    Object.assign(leader, { log: leader.log.slice(0, 1) });
    written.group.replace(replica, WRITE_MS);
    expect(written.describeLoss()).toEqual({ ...LOST, promotions: 0 });
  });
});
