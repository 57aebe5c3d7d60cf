import type { Random } from '../random.js';
import type { VirtualClock } from './clock.js';
import type { SyncGroup } from './group.js';
import type { RestartFaults } from './restartfaults.js';
import type { SyncInstance } from './syncinstance.js';
import type { SimulatedVm } from './vm.js';

/** A new leader crashes within this time after it took the lead. */
const MAX_LEAD_MS = 500;
/** A candidate that restarts after the order does so within this time, that of a promotion. */
const MAX_AFTER_ORDER_MS = 600;
/** Longest time for which a candidate that restarts after the order is down. */
const MAX_DOWN_MS = 300;
/** A candidate that restarts before the order is back sooner than the call is carried out. */
const MAX_DOWN_BEFORE_ORDER_MS = 3;

/** A fault that waits for a claim ends by then. */
const MAX_CLAIM_WAIT_MS = 8_000;

/** A fault that waits for a change of the leader until `until`. */
interface LeaderWatch {
  /** How many promotions had been carried out when the fault began. */
  readonly promotions: number;
  readonly until: number;
  readonly run: (leader: SyncInstance) => void;
}

/** A fault that waits for an order to promote until `until`. */
interface OrderWatch {
  readonly until: number;
  readonly run: (candidate: SyncInstance) => void;
}

/** A fault that waits for a claim of the record until `until`. */
interface ClaimWatch {
  readonly until: number;
  /** How many claims pass before it. */
  readonly skipped: number;
  readonly run: (vm: SimulatedVm) => void;
}

/** Faults that wait for an event of a takeover. */
export class ArmedFaults {
  private leaderWatches: readonly LeaderWatch[] = [];

  private orderWatches: readonly OrderWatch[] = [];

  private claimWatches: readonly ClaimWatch[] = [];

  constructor(
    private readonly group: SyncGroup,
    private readonly clock: VirtualClock,
    private readonly random: Random,
    private readonly restarts: RestartFaults,
  ) {}

  /** Crashes the next new leader soon after it took the lead, with its log or without. */
  crashNewLeader(duration: number, keepsLog: boolean): void {
    const run = (leader: SyncInstance): void =>
      this.clock.schedule(this.random.nextInt(MAX_LEAD_MS), () => {
        if (keepsLog) this.restarts.crash(leader, duration);
        else this.restarts.restartEmpty(leader, duration);
      });
    const until = this.clock.now + duration;
    const watch = { promotions: this.group.promotions, until, run };
    this.leaderWatches = [...this.leaderWatches, watch];
  }

  /** Restarts the candidate of the next order without its log, just before the order or after it. */
  restartCandidate(duration: number, isBeforeOrder: boolean): void {
    const run = (candidate: SyncInstance): void => {
      if (isBeforeOrder) {
        const downMs = this.random.nextInt(MAX_DOWN_BEFORE_ORDER_MS);
        this.restarts.restartEmptyAfter(candidate, downMs);
        return;
      }
      this.clock.schedule(this.random.nextInt(MAX_AFTER_ORDER_MS), () =>
        this.restarts.restartEmptyAfter(candidate, this.random.nextInt(MAX_DOWN_MS)),
      );
    };
    this.orderWatches = [...this.orderWatches, { until: this.clock.now + duration, run }];
  }

  /**
   * Restarts an instance with its log before the promotion of the next order takes effect: a replica
   * that the order does not name, or for an odd pick the named one.
   */
  restartInPromotion(duration: number, pick: number): void {
    const run = (candidate: SyncInstance): void =>
      this.clock.schedule(this.random.nextInt(MAX_AFTER_ORDER_MS), () => {
        const isOther = (one: SyncInstance): boolean => one !== candidate && !one.isLeader;
        const other = this.restarts.pickInstance(pick, isOther);
        const instance = pick % 2 === 0 ? other : candidate;
        if (instance) this.restarts.crash(instance, 1 + this.random.nextInt(MAX_DOWN_MS));
      });
    this.orderWatches = [...this.orderWatches, { until: this.clock.now + duration, run }];
  }

  /** Lets a VM stand still while the answer to its claim is on its way, after `skipped` others. */
  freezeClaimant(duration: number, skipped: number): void {
    const run = (vm: SimulatedVm): void => {
      Object.assign(vm, { isPaused: true });
      this.clock.schedule(duration, () => vm.resume());
    };
    const until = this.clock.now + MAX_CLAIM_WAIT_MS;
    this.claimWatches = [...this.claimWatches, { until, skipped, run }];
  }

  /** Runs the faults that wait for a claim; called before the store receives it. */
  handleClaim(vm: SimulatedVm): void {
    const waiting = this.claimWatches.filter(({ until }) => this.clock.now <= until);
    this.claimWatches = waiting
      .filter(({ skipped }) => skipped > 0)
      .map((watch) => ({ ...watch, skipped: watch.skipped - 1 }));
    waiting.filter(({ skipped }) => skipped === 0).forEach(({ run }) => run(vm));
  }

  /** Runs the faults that wait for a new leader, once there is one. */
  handleStep(now: number): void {
    const { promotions } = this.group;
    const leader = this.group.findLeader();
    const waiting = this.leaderWatches.filter(({ until }) => now <= until);
    this.leaderWatches = waiting.filter((watch) => watch.promotions === promotions);
    if (!leader) return;
    waiting.filter((watch) => watch.promotions < promotions).forEach(({ run }) => run(leader));
  }

  /** Runs the faults that wait for an order to promote; called before the platform receives it. */
  handleOrder(id: string): void {
    const candidate = this.group.instances.find((one) => one.id === id);
    const due = this.orderWatches.filter(({ until }) => this.clock.now <= until);
    this.orderWatches = [];
    if (candidate) due.forEach(({ run }) => run(candidate));
  }
}
