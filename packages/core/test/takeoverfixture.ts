import {
  type FenceReport,
  type InstanceView,
  type PromotionRecord,
  type TakeoverAction,
  TakeoverCoordinator,
} from '../src/index.js';

export const TICK_MS = 100;
/** The instances have been watched for this long when a takeover begins. */
export const WATCHED_MS = 5_000;
export const createView = (id: string, changes: Partial<InstanceView> = {}): InstanceView => ({
  ...{ id, startedAt: 1, address: `${id}:1`, isRegistered: true, leaving: false },
  ...{ health: 'answering', since: 0, leads: id === 'l', reportsPrimary: id === 'l' },
  ...{ position: { term: 1, offset: 9 }, positionAt: 0, lagMs: 0 },
  ...changes,
});

export const LEADER = createView('l');
export const LOST_LEADER = createView('l', { health: 'silent', leads: false });
export const A = createView('a');
export const B = createView('b');
export const LOST = [LOST_LEADER, A, B];
export const RETURNED = [LEADER, A, B];

/** What a report tells apart from the usual. */
interface ReportChanges {
  readonly offset?: number;
  readonly role?: FenceReport['role'];
  readonly heldTerm?: number;
}

/** Drives a coordinator step by step and answers what it asks of the store. */
export class Driver {
  now = 0;

  readonly coordinator: TakeoverCoordinator;

  record: PromotionRecord;

  revision = 1;

  /** How late the store's answers to writes are learnt; no time passes for the VM meanwhile. */
  writeDelayMs = 0;

  private attempts = 0;

  /** What each instance reported last, which it also answers to a status request. */
  private readonly reported = new Map<string, ReportChanges>();

  constructor() {
    this.coordinator = new TakeoverCoordinator({
      ...{ group: 'g', vm: 'vm' },
      createAttempt: () => {
        this.attempts += 1;
        return `attempt-${this.attempts}`;
      },
    });
    this.record = {
      ...{ group: 'g', era: 1, generation: 1, holder: 'other', attempt: 'x' },
      ...{ phase: 'settled', plan: 'raise', term: 1, leader: LEADER, members: RETURNED },
    };
    this.coordinator.handleRecord(this.record, { era: 1, revision: this.revision }, 0);
    this.tick(RETURNED);
    this.tick(RETURNED, WATCHED_MS);
  }

  /**
   * Ticks; a write of the record succeeds at once, a refresh finds the list as it was, and an
   * instance that has reported answers a status request.
   */
  tick(views: readonly InstanceView[], elapsedMs = TICK_MS): readonly TakeoverAction[] {
    this.now += elapsedMs;
    const actions = this.coordinator.handleTick(views, this.now);
    actions.forEach((action) => {
      if (action.kind === 'write') this.answerWrite(action.record);
      if (action.kind === 'refresh') this.coordinator.handleRefreshed(action.attempt);
      const known = action.kind === 'status' && this.reported.get(action.instance);
      if (known) this.report(action.instance, known);
    });
    return actions;
  }

  /** Ticks until an action of the kind is asked for. */
  tickUntil(kind: TakeoverAction['kind'], views: readonly InstanceView[]): TakeoverAction {
    for (let tick = 0; tick < 20; tick++) {
      const found = this.tick(views).find((action) => action.kind === kind);
      if (found) return found;
    }
    throw new Error(`no ${kind}`);
  }

  /** Handles a report of an instance that holds its log at offset 9, unless told otherwise. */
  report(id: string, reported: ReportChanges = {}): void {
    this.reported.set(id, reported);
    const { offset = 9, ...changes } = reported;
    const received = { term: 1, offset };
    const report = { role: 'replica', term: 1, received, heldTerm: 2, ...changes } as const;
    this.coordinator.handleReport(id, 1, report);
  }

  private answerWrite(record: PromotionRecord): void {
    this.now += this.writeDelayMs;
    this.write(record);
  }

  /** Writes the record, which the coordinator then reads. */
  write(record: PromotionRecord): void {
    this.record = record;
    this.revision += 1;
    this.coordinator.handleRecord(record, { era: 1, revision: this.revision }, this.now);
  }
}

/** Names the actions and the instances that they concern. */
export const listKinds = (actions: readonly TakeoverAction[]): readonly string[] =>
  actions.map((action) =>
    'instance' in action ? `${action.kind} ${action.instance}` : action.kind,
  );

/** A driver whose takeover has been ordered for `a`, and the token of the order. */
export const createPromoting = (): { readonly driver: Driver; readonly token: number } => {
  const driver = new Driver();
  driver.tickUntil('pause', LOST);
  driver.report('a');
  driver.report('b');
  const action = driver.tickUntil('promote', LOST);
  return { driver, token: action.kind === 'promote' ? action.token : 0 };
};
