import type { FenceReport, LogPosition } from '@shallotpick/core';
import type { Random } from '../random.js';

const PROMOTE_MS = 600;
const MAX_SHIP_MS = 40;
/** Gap between two writes. */
const WRITE_MS = 20;

/** An entry of the replicated log. */
interface Entry {
  readonly term: number;
  readonly id: number;
  readonly appendedAt: number;
}

/** One instance of a group with a synchronous replica. */
export class SyncInstance {
  isAlive = true;

  isLeader = false;

  leaving = false;

  isRegistered = true;

  /** Receives nothing, without any order. */
  isReplicationBlocked = false;

  heldTerm = 0;

  log: Entry[] = [];

  /** Time that an entry takes to arrive. */
  readonly replicationDelayMs: number;

  constructor(
    readonly id: string,
    random: Random,
  ) {
    this.replicationDelayMs = random.nextInt(MAX_SHIP_MS);
  }

  readPosition(): LogPosition {
    return { term: this.log.at(-1)?.term ?? 1, offset: this.log.length };
  }
}

/** What a run found wrong. */
export interface TakeoverViolation {
  readonly guarantee: string;
  readonly at: number;
  readonly detail: string;
}

interface Coming {
  readonly instance: SyncInstance;
  readonly at: number;
}

/**
 * A group whose leader acknowledges a commit once one replica has received it, and which only an
 * order of promotion gives another leader, with what that has received and nothing more.
 */
export class SyncGroup {
  /** All that ever ran; only the registered ones are listed for VMs. */
  readonly instances: SyncInstance[];

  readonly acknowledged: number[] = [];

  term = 1;

  promotions = 0;

  /** Cuts the leader from its replicas. */
  isLeaderPartitioned = false;

  violation: TakeoverViolation | undefined;

  private coming: Coming | undefined;

  private nextEntry = 1;

  constructor(
    ids: readonly string[],
    private readonly random: Random,
  ) {
    this.instances = ids.map((id) => new SyncInstance(id, random));
    const [first] = this.instances;
    if (first) first.isLeader = true;
  }

  findLeader(): SyncInstance | undefined {
    return this.instances.find(({ isLeader }) => isLeader);
  }

  /** Starts a replica that takes the place of a leader, which leaves. */
  replaceLeader(): SyncInstance | undefined {
    const leader = this.findLeader();
    if (!leader) return undefined;
    this.instances.push(new SyncInstance(`db-${this.instances.length}`, this.random));
    leader.leaving = true;
    return leader;
  }

  /**
   * Commits one write at the leader, ships the log, acknowledges, and promotes what is due.
   *
   * @param isReached tells whether a VM reaches an instance; callers write through VMs only
   */
  handleStep(now: number, isReached: (id: string) => boolean): void {
    this.finishPromotion(now);
    const leader = this.findLeader();
    if (!leader?.isAlive) return;
    if (now % WRITE_MS === 0 && isReached(leader.id)) {
      leader.log.push({ term: this.term, id: this.nextEntry, appendedAt: now });
      this.nextEntry += 1;
    }
    if (!this.isLeaderPartitioned) this.ship(leader, now);
  }

  /** Carries out an order to stop receiving, to step down, to go on, or to report. */
  handleOrder(kind: string, id: string, term: number): FenceReport | undefined {
    const instance = this.instances.find((one) => one.id === id);
    if (!instance?.isAlive) return undefined;
    if (kind === 'pause' && !instance.isLeader && term > this.term) instance.heldTerm = term;
    if (kind === 'stepDown' && instance.isLeader && term > this.term) instance.isLeader = false;
    if (kind === 'resume') instance.heldTerm = 0;
    return {
      role: instance.isLeader ? 'primary' : 'replica',
      term: this.term,
      received: instance.readPosition(),
      heldTerm: instance.heldTerm,
    };
  }

  /** False when the instance does not run. */
  promote(id: string, now: number): boolean {
    const instance = this.instances.find((one) => one.id === id);
    if (!instance?.isAlive) return false;
    if (!instance.isLeader) this.coming = { instance, at: now + PROMOTE_MS };
    return true;
  }

  private ship(leader: SyncInstance, now: number): void {
    const replicas = this.instances.filter(
      (one) => one !== leader && one.isAlive && !one.isReplicationBlocked && one.heldTerm === 0,
    );
    replicas.forEach((replica) => {
      for (let next = leader.log[replica.log.length]; next; next = leader.log[replica.log.length]) {
        if (next.appendedAt + replica.replicationDelayMs > now) break;
        replica.log.push(next);
      }
    });
    const length = Math.max(0, ...replicas.map(({ log }) => log.length));
    const newest = this.acknowledged.at(-1) ?? 0;
    const first = leader.log.findLastIndex(({ id }) => id <= newest) + 1;
    this.acknowledged.push(...leader.log.slice(first, length).map(({ id }) => id));
  }

  private finishPromotion(now: number): void {
    const { coming } = this;
    if (!coming || coming.at > now) return;
    this.coming = undefined;
    const { instance } = coming;
    if (!instance.isAlive) return;
    this.term += 1;
    this.promotions += 1;
    const held = new Set(instance.log.map(({ id }) => id));
    const lost = this.acknowledged.find((id) => !held.has(id));
    if (lost !== undefined) {
      const detail = `entry ${lost} is not in the log of ${instance.id}, leader of term ${this.term}`;
      this.violation ??= { guarantee: 'nothing acknowledged is lost', at: now, detail };
    }
    this.instances.forEach((one) => {
      const isNew = one === instance;
      Object.assign(one, { isLeader: isNew });
      if (isNew) Object.assign(one, { heldTerm: 0 });
      else Object.assign(one, { log: one.log.filter(({ id }) => held.has(id)) });
    });
  }
}
