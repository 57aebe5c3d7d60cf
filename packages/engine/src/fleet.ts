import { type Clock, type Millis, rankVms } from '@shallotpick/core';
import {
  decodeHeartbeat,
  type Heartbeat,
  type HeartbeatSpec,
  type VmAddress,
} from './heartbeat.js';
import type { Log } from './log.js';
import type { OddEntryReporter } from './oddentries.js';
import type { ObjectStore, StoredObject, StoreWrite } from './store.js';

/** Store kind of the objects that hold the VMs' heartbeats. */
export const VMS_KIND = 'proxies';

const HEARTBEAT_MS: Millis = 10_000;
/** Interval of the first rounds, so that VMs that start together soon see each other. */
const FIRST_HEARTBEAT_MS: Millis = 1_500;
/** Number of rounds after the first one that begin after `FIRST_HEARTBEAT_MS`. */
const FIRST_ROUNDS = 2;
const HEARTBEAT_EXPIRY_MS: Millis = 25_000;
/** Time over which the VMs spread their rounds after a restoration of the store. */
const RESTORATION_SPREAD_MS: Millis = 1_000;
/** Rounds after which VMs that started together have seen each other. */
const FIRST_START_ROUNDS = 2;

/** Properties of this VM and services of the fleet view. */
export interface FleetOptions {
  readonly vm: string;
  readonly zone: string;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly oddEntries: OddEntryReporter;
  readonly random: () => number;
  readonly startedAt: number;
  /** Where this VM accepts the links of other VMs. */
  readonly link?: { readonly host: string; readonly port: number } | undefined;
  /** How much work this VM can do, in cores; undefined when its settings don't tell. */
  readonly power?: number | undefined;
  /** True when all VMs start together, so that the first list of them is incomplete. */
  readonly isFirstStart: boolean;
  /** Called after each change of the live VMs. */
  readonly onChange: () => void;
}

/** The last heartbeat of a VM and when this VM first read it. */
interface SeenHeartbeat {
  readonly heartbeat: Heartbeat;
  readonly at: Millis;
}

/** True for a later moment than that of `known`: a restart of the VM or a later beat. */
function isNewHeartbeat({ startedAt, beat }: Heartbeat, known: Heartbeat): boolean {
  return startedAt !== known.startedAt || beat > known.beat;
}

/**
 * Live VMs, derived from the heartbeats that each VM writes to the store. Used only to divide
 * connections and to rank the VMs for takeovers, so a wrong view can't violate safety.
 */
export class Fleet {
  private readonly seen = new Map<string, SeenHeartbeat>();

  private live: readonly string[];

  /** The live VMs and their addresses as of the last `onChange`. */
  private reported: string | undefined;

  /** Cached ranks of this VM, by duty and lost zones. */
  private readonly ranks = new Map<string, number>();

  /** Rounds in which the heartbeats were read. */
  private rounds = 0;

  private beat = 0;

  private revision = 0;

  /** True when the last list showed the last heartbeat of this VM. */
  private isListed = false;

  private isStopped = false;

  /** True when the store may have lost heartbeats since this VM's last round began. */
  private isRestored = false;

  /** Ends the wait for the next round. */
  private wakeUp: (() => void) | undefined;

  constructor(private readonly options: FleetOptions) {
    this.live = [options.vm];
  }

  start(): void {
    this.run().catch((error: unknown) => {
      this.options.log.error('heartbeat loop failed', { error: String(error) });
    });
  }

  /** Stops the heartbeats; other VMs drop this one when its last heartbeat expires. */
  stop(): void {
    this.isStopped = true;
  }

  /** Writes and reads the heartbeats again soon, since a restored store may have lost some. */
  handleRestoration(): void {
    this.isRestored = true;
    this.wakeUp?.();
  }

  /** Number of live VMs; undefined until the heartbeats have been read. */
  countLiveVms(): number | undefined {
    return this.rounds > 0 ? this.live.length : undefined;
  }

  /** True once the list of live VMs is expected to be complete. */
  hasSettled(): boolean {
    return this.rounds >= (this.options.isFirstStart ? FIRST_START_ROUNDS : 1);
  }

  /** The live VMs with their addresses, this one included. */
  listLiveVms(): readonly VmAddress[] {
    return this.live.map((id) => (id === this.options.vm ? this.describeSelf() : this.find(id)));
  }

  /** Finds a VM at this host, in the store if it was not seen there yet. */
  async findVm(vm: string, host: string): Promise<VmAddress | undefined> {
    const known = this.seen.get(vm);
    if (known?.heartbeat.address.host === host) return known.heartbeat.address;
    const { object } = await this.options.store.find(VMS_KIND, vm);
    return object && this.decode(object)?.address;
  }

  /** This VM's rank for a duty among the VMs of reachable zones; rank 0 acts first. */
  findRank(duty: string, lostZones: ReadonlySet<string>): number {
    const key = [duty, ...lostZones].join('|');
    const known = this.ranks.get(key);
    if (known !== undefined) return known;
    const { vm } = this.options;
    const reachable = this.live.filter(
      (name) => name === vm || !lostZones.has(this.seen.get(name)?.heartbeat.address.zone ?? ''),
    );
    const rank = rankVms(duty, reachable).indexOf(vm);
    this.ranks.set(key, rank);
    return rank;
  }

  private describeSelf(): VmAddress {
    const { vm, zone, link, power } = this.options;
    const address = { id: vm, zone, host: link?.host ?? '', port: link?.port };
    return power === undefined ? address : { ...address, power };
  }

  private find(id: string): VmAddress {
    return this.seen.get(id)?.heartbeat.address ?? { id, zone: '', host: '', port: undefined };
  }

  private async run(): Promise<void> {
    for (let round = 0; !this.isStopped; round++) {
      this.isRestored = false;
      // The rounds that follow the first one soon are for what other VMs have written.
      const isForOthers = round > 0 && round <= FIRST_ROUNDS;
      if (isForOthers) await this.tryTo(async () => this.readHeartbeats());
      // An object under this VM's name that can't be read must not hide the other VMs.
      if (!isForOthers || !this.isListed) await this.tryTo(async () => this.writeHeartbeat());
      if (!isForOthers) await this.tryTo(async () => this.readHeartbeats());
      await this.sleep(round < FIRST_ROUNDS ? FIRST_HEARTBEAT_MS : HEARTBEAT_MS);
    }
  }

  private async tryTo(run: () => Promise<void>): Promise<void> {
    try {
      await run();
    } catch (error) {
      this.options.log.debug('heartbeat round failed', { error: String(error) });
    }
  }

  /** Waits for the next round with timers that don't keep the process alive. */
  private async sleep(durationMs: Millis): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, durationMs).unref();
      this.wakeUp = () => {
        this.wakeUp = undefined;
        clearTimeout(timer);
        setTimeout(resolve, this.options.random() * RESTORATION_SPREAD_MS).unref();
      };
      if (this.isRestored) this.wakeUp();
    });
  }

  private async writeHeartbeat(): Promise<void> {
    const { zone, startedAt, link, power } = this.options;
    this.beat += 1;
    const spec: HeartbeatSpec = {
      ...{ beat: this.beat, startedAt, zone, ...link },
      ...(power === undefined ? {} : { power }),
    };
    const outcome = await this.writeSpec(spec);
    // The store holds the object of a former process, or an older one after a restoration.
    if (outcome === 'conflict') await this.writeSpec(spec);
  }

  /** Writes this VM's object; when that fails, notes the revision on which the next write rests. */
  private async writeSpec(spec: HeartbeatSpec): Promise<StoreWrite['kind']> {
    const { store, vm } = this.options;
    const outcome = await store.write(VMS_KIND, vm, spec, this.revision);
    if (outcome.kind === 'written') {
      this.revision = outcome.revision;
    } else {
      const { object } = await store.find(VMS_KIND, vm);
      this.revision = object?.revision ?? 0;
    }
    return outcome.kind;
  }

  private async readHeartbeats(): Promise<void> {
    const { store, clock, vm, log } = this.options;
    this.isListed = false;
    const { objects } = await store.list(VMS_KIND, true);
    this.isListed = objects.some(({ name, revision }) => name === vm && revision === this.revision);
    const now = clock.readNow();
    objects.forEach((object) => this.handleHeartbeat(object, now));
    const live = [...this.seen]
      .filter(([, { at }]) => now - at < HEARTBEAT_EXPIRY_MS)
      .map(([name]) => name);
    this.rounds += 1;
    const before = this.live;
    this.live = [...new Set([vm, ...live])].sort();
    const addresses = JSON.stringify(this.listLiveVms());
    if (addresses === this.reported) return;
    this.reported = addresses;
    log.info('live VMs', { vms: this.live, before });
    this.ranks.clear();
    this.options.onChange();
  }

  private handleHeartbeat(object: StoredObject, now: Millis): void {
    const { name } = object;
    const heartbeat = this.decode(object);
    if (!heartbeat) return;
    const known = this.seen.get(name);
    // A list that may be stale, or a store restored from an older copy, returns older beats.
    if (known && !isNewHeartbeat(heartbeat, known.heartbeat)) return;
    this.seen.set(name, { heartbeat, at: now });
  }

  private decode(object: StoredObject): Heartbeat | undefined {
    const { name, revision } = object;
    return decodeHeartbeat(object, ({ reason }) =>
      this.options.oddEntries.report({ kind: VMS_KIND, name, revision, reason }),
    );
  }
}
