import type { LogPosition } from '@shallotpick/core';
import type { AcceptedOrder } from './acceptedorder.js';

/** A connection of a VM to the leader, on which acknowledgements reach the VM while it is open. */
export interface CallerConnection {
  readonly isOpen: () => boolean;
  /** Tells the VM of an acknowledgement; it calls `confirm` when it hands that on to its caller. */
  readonly acknowledge: (position: LogPosition, confirm: () => void) => void;
}

/** An entry that a group acknowledges, with its position in the log. */
interface AcknowledgedEntry {
  readonly id: number;
  readonly position: LogPosition;
  readonly connections: readonly CallerConnection[];
}

/** What a promotion drops. */
interface DroppedLogs {
  /** Ids in the promoted log. */
  readonly held: ReadonlySet<number>;
  /** Ids in the log of any instance that still has one, before the others drop entries. */
  readonly existing: ReadonlySet<number>;
  /** The order that takes effect. */
  readonly order: Pick<AcceptedOrder, 'existing' | 'firstNewId' | 'lost' | 'remedy'>;
}

/** An acknowledged entry whose loss nothing excuses. */
export interface LostEntry {
  readonly id: number;
  readonly guarantee: string;
  readonly reason: string;
}

/** How the loss of an entry is judged: excused by a count, or a violation. */
type Judgement =
  | { readonly count: 'unrecoverable' | 'lostInPromotion' }
  | { readonly guarantee: string; readonly reason: string };

const NOTHING_LOST = 'nothing acknowledged is lost';

/** Tracks the entries that a group has acknowledged, and those that promotions have lost. */
export class Acknowledgements {
  /** Ids in the order of the acknowledgements. */
  readonly ids: number[] = [];

  /**
   * Lost entries that were on no log any more when the order to promote was accepted, so that no
   * order could save them; or that were also lost by the promoted instance in the meantime, while
   * no VM could outdate the order. Excused since a group with one synchronous replica does not
   * promise to outlast the loss of every log that received an entry. Each of these logs was lost by
   * a restart: an entry that no restart has dropped, or that another promotion has dropped, is a
   * violation.
   */
  readonly unrecoverable = new Set<number>();

  /**
   * Lost entries that the named instance held when the order was accepted and lost with its log
   * before the promotion took effect, while other logs hold them. Excused since the order was right
   * when it was given, and only while no VM could outdate it: none that ran and reached the store,
   * the restarted instance and a running instance with every acknowledged entry of the lost log
   * had `REACTION_MS` for it. Otherwise the entry is a violation.
   */
  readonly lostInPromotion = new Set<number>();

  /** Lost entries whose callers got an unknown outcome. */
  readonly unconfirmed = new Set<number>();

  /** Entries of which a caller may have been told that they are committed. */
  private readonly confirmed = new Set<number>();

  /** The first entry that a caller was told of after a promotion had lost it. */
  confirmedLate: number | undefined;

  private readonly acknowledged = new Set<number>();

  /** Entries in logs that restarts have lost. */
  private readonly droppedByRestarts = new Set<number>();

  add(entries: readonly AcknowledgedEntry[]): void {
    entries.forEach(({ id, position, connections }) => {
      this.ids.push(id);
      this.acknowledged.add(id);
      connections
        .filter(({ isOpen }) => isOpen())
        .forEach(({ acknowledge }) => acknowledge(position, () => this.confirm(id)));
    });
  }

  /** Notes that a caller has been told of the commit. */
  private confirm(id: number): void {
    this.confirmed.add(id);
    if (this.unconfirmed.has(id)) this.confirmedLate ??= id;
  }

  isAcknowledged(id: number): boolean {
    return this.acknowledged.has(id);
  }

  /** Notes that a restart loses the entries of a log. */
  addRestartLoss(ids: readonly number[]): void {
    ids.forEach((id) => this.droppedByRestarts.add(id));
  }

  /** Finds an acknowledged entry that leaves a log although its loss was never judged. */
  findUnjudged(dropped: readonly number[]): LostEntry | undefined {
    const id = dropped.find((one) => this.isAcknowledged(one) && !this.isCounted(one));
    if (id === undefined) return undefined;
    return {
      id,
      guarantee: NOTHING_LOST,
      reason: 'it left a log without a promotion that lost it',
    };
  }

  /** Returns the first confirmed entry that a promotion loses without an excuse. */
  findLost(dropped: DroppedLogs): LostEntry | undefined {
    const { held } = dropped;
    const missing = this.ids.filter((id) => !held.has(id) && !this.isCounted(id));
    let first: LostEntry | undefined;
    missing.forEach((id) => {
      const judgement = this.classifyLoss(id, dropped);
      if ('count' in judgement && (judgement.count === 'unrecoverable' || this.confirmed.has(id))) {
        this[judgement.count].add(id);
      } else if (!this.confirmed.has(id)) {
        this.unconfirmed.add(id);
      } else if ('guarantee' in judgement) {
        first ??= { id, ...judgement };
      }
    });
    return first;
  }

  private classifyLoss(id: number, { existing, order }: DroppedLogs): Judgement {
    const isOnLog = existing.has(id);
    if (order.lost.has(id)) {
      const count = isOnLog ? 'lostInPromotion' : 'unrecoverable';
      if (order.remedy === undefined) return { count };
      const guarantee = 'a promotion of a log that was lost is outdated in time';
      return { guarantee, reason: order.remedy };
    }
    if (isOnLog) return { guarantee: NOTHING_LOST, reason: 'another log holds it' };
    if (order.existing.has(id) || id >= order.firstNewId) {
      const reason = 'a log that was lost later held it when the order was accepted, or since';
      return { guarantee: NOTHING_LOST, reason };
    }
    if (this.droppedByRestarts.has(id)) return { count: 'unrecoverable' };
    return { guarantee: NOTHING_LOST, reason: 'no restart has dropped it' };
  }

  private isCounted(id: number): boolean {
    return this.unrecoverable.has(id) || this.lostInPromotion.has(id) || this.unconfirmed.has(id);
  }
}
