import { type Clock, type Millis, rankVms } from '@shallotpick/core';
import type { Log } from './log.js';
import type { ObjectStore, StoredObject } from './store.js';

/** Kind of the objects by which VMs tell that they run. */
export const VMS_KIND = 'proxies';

const HEARTBEAT_MS: Millis = 10_000;
/** VMs that start together are known to each other after the second round. */
const FIRST_READS_MS: Millis = 1_500;
const EXPIRE_MS: Millis = 25_000;

interface VmSpec {
  readonly beat: number;
  readonly startedAt: number;
  readonly zone: string;
}

export interface FleetOptions {
  readonly vm: string;
  readonly zone: string;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly startedAt: number;
}

interface Seen {
  readonly beat: string;
  readonly zone: string;
  readonly at: Millis;
}

/**
 * The VMs that run now, from the heartbeats that each writes to the store. It only sizes shares
 * and orders who acts first; nothing unsafe follows from a wrong view.
 */
export class Fleet {
  private readonly seen = new Map<string, Seen>();

  private live: readonly string[];

  /** This VM's places by duty, among the live VMs. */
  private readonly ranks = new Map<string, number>();

  private isKnown = false;

  private beat = 0;

  private revision = 0;

  private isStopped = false;

  constructor(private readonly options: FleetOptions) {
    this.live = [options.vm];
  }

  start(): void {
    this.run().catch((error: unknown) => {
      this.options.log.error('heartbeat ended', { error: String(error) });
    });
  }

  /** Tells the others that this VM leaves. */
  stop(): void {
    this.isStopped = true;
  }

  /** Live VMs; undefined until the store has told. */
  countLiveVms(): number | undefined {
    return this.isKnown ? this.live.length : undefined;
  }

  /** This VM's place for a duty among the VMs of reachable zones; 0 acts first. */
  findRank(duty: string, lostZones: ReadonlySet<string>): number {
    const key = [duty, ...lostZones].join('|');
    const known = this.ranks.get(key);
    if (known !== undefined) return known;
    const { vm } = this.options;
    const reachable = this.live.filter(
      (name) => name === vm || !lostZones.has(this.seen.get(name)?.zone ?? ''),
    );
    const rank = rankVms(duty, reachable).indexOf(vm);
    this.ranks.set(key, rank);
    return rank;
  }

  private async run(): Promise<void> {
    for (let round = 0; !this.isStopped; round++) {
      try {
        await this.writeBeat();
        await this.readOthers();
      } catch (error) {
        this.options.log.debug('heartbeat failed', { error: String(error) });
      }
      await this.rest(round < 2 ? FIRST_READS_MS : HEARTBEAT_MS);
    }
  }

  /** Waits without holding a process that has stopped. */
  private async rest(durationMs: Millis): Promise<void> {
    await new Promise<void>((resolve) => {
      setTimeout(resolve, durationMs).unref();
    });
  }

  private async writeBeat(): Promise<void> {
    const { store, vm, zone, startedAt } = this.options;
    this.beat += 1;
    const spec: VmSpec = { beat: this.beat, startedAt, zone };
    const outcome = await store.write(VMS_KIND, vm, spec, this.revision);
    if (outcome.kind === 'written') {
      this.revision = outcome.revision;
    } else {
      const known = await store.find(VMS_KIND, vm);
      this.revision = known?.revision ?? 0;
    }
  }

  private async readOthers(): Promise<void> {
    const { store, clock, vm, log } = this.options;
    const { objects } = await store.list(VMS_KIND, true);
    const now = clock.readNow();
    objects.forEach((object) => this.handleBeat(object, now));
    const live = [...this.seen].filter(([, { at }]) => now - at < EXPIRE_MS).map(([name]) => name);
    const next = [...new Set([vm, ...live])].sort();
    this.isKnown = true;
    if (next.join() === this.live.join()) return;
    log.info('live VMs', { vms: next, before: this.live });
    this.live = next;
    this.ranks.clear();
  }

  private handleBeat({ name, spec }: StoredObject, now: Millis): void {
    const { beat, startedAt, zone = '' } = spec as Partial<VmSpec>;
    const text = `${startedAt}/${beat}`;
    const known = this.seen.get(name);
    if (known?.beat === text) return;
    this.seen.set(name, { beat: text, zone, at: now });
  }
}
