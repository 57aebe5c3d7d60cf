import { parseArgs } from 'node:util';
import { type Millis, type PeerExchange, rankVms, NoteGossip } from '@shallotpick/core';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const DAEMONS = 50;
const ZONES = 5;
const RELAYS_PER_ZONE = 2;
const NOTES = 20;
const STEP_MS: Millis = 5;
/** As in a large fleet, see packages/daemon/src/peerexchange.ts; a new note is sent at once. */
const EXCHANGE_INTERVAL_MS: Millis = 2_000;
/** Number of daemons that each daemon exchanges messages with. */
const PARTNERS = 5;
const LOSS = 0.1;
/** Length of each platform outage and of each interval between two outages. */
const OUTAGE_MS: Millis = 1_000;
/** The platform answers a watch without a change after this time. */
const WATCH_MS: Millis = 5_000;
const RETRY_MS: Millis = 200;
const MAX_RETRY_MS: Millis = 5_000;
const NOTE_GAP_MS: Millis = 500;
const LIMIT_MS: Millis = 60_000;

/** A relay's watch: when it ends without a change or, after failures, when it is retried. */
interface Watch {
  nextAt: Millis;
  failures: number;
}

/** A daemon of the simulation with its traffic counters. */
interface SimulatedDaemon {
  readonly id: string;
  readonly gossip: NoteGossip;
  readonly lastMessages: Map<string, PeerExchange>;
  readonly partners: readonly number[];
  readonly watch: Watch | undefined;
  nextExchangeAt: Millis;
  platformCalls: number;
  bytes: number;
}

const createNoteText = (number: number): string =>
  JSON.stringify({
    id: `note-${number}`,
    base: number - 1,
    added: {
      contracts: [
        { name: `contract-${number}`, match: {}, maxAgeMs: 0, length: 'short', repeat: 'never' },
      ],
    },
  });

/** Simulates how release notes reach every daemon by gossip, in steps of virtual time. */
class SpreadSimulation {
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  private readonly acceptedAt: Millis[] = [];

  /** For each note, the times at which it came into force on the daemons. */
  private readonly inForceAt: Millis[][] = [];

  private readonly nodes: readonly SimulatedDaemon[];

  private now: Millis = 0;

  constructor(private readonly seed: number) {
    this.generator = xoroshiro128plus(seed);
    this.nodes = Array.from({ length: DAEMONS }, (_, index) => this.createNode(index));
  }

  run(): object {
    for (; this.now < LIMIT_MS; this.now += STEP_MS) {
      if (this.acceptedAt.length < NOTES && this.now >= this.acceptedAt.length * NOTE_GAP_MS) {
        this.acceptedAt.push(this.now);
        this.inForceAt.push([]);
      }
      this.nodes.forEach((node) => this.handleStep(node));
      const last = this.inForceAt.at(-1)?.length;
      if (this.acceptedAt.length === NOTES && last === DAEMONS) break;
    }
    return this.report();
  }

  private createNode(index: number): SimulatedDaemon {
    const findZone = (at: number): string => `zone-${at % ZONES}`;
    const vms = Array.from({ length: DAEMONS }, (_, at) => ({
      id: `vm-${at}`,
      zone: findZone(at),
    }));
    const zone = findZone(index);
    const id = `vm-${index}`;
    const zoneVms = vms.filter((vm) => vm.zone === zone).map((vm) => vm.id);
    const isRelay = rankVms(`relay/${zone}`, zoneVms).slice(0, RELAYS_PER_ZONE).includes(id);
    return {
      id,
      gossip: new NoteGossip(({ number }) => this.inForceAt[number - 1]?.push(this.now)),
      lastMessages: new Map(),
      partners: this.choosePartners(index),
      watch: isRelay ? { nextAt: this.random() * RETRY_MS, failures: 0 } : undefined,
      nextExchangeAt: this.random() * EXCHANGE_INTERVAL_MS,
      platformCalls: 0,
      bytes: 0,
    };
  }

  private choosePartners(self: number): readonly number[] {
    const chosen = new Set<number>();
    while (chosen.size < PARTNERS) {
      const at = Math.floor(this.random() * DAEMONS);
      if (at !== self) chosen.add(at);
    }
    return [...chosen];
  }

  private random(): number {
    return uniformFloat64(this.generator);
  }

  private isPlatformUp(): boolean {
    return Math.floor(this.now / OUTAGE_MS) % 2 === 1;
  }

  private handleStep(node: SimulatedDaemon): void {
    if (node.watch) this.handleWatch(node, node.watch);
    const isRound = this.now >= node.nextExchangeAt;
    if (!node.gossip.hasUpdates() && !isRound) return;
    if (isRound) Object.assign(node, { nextExchangeAt: this.now + EXCHANGE_INTERVAL_MS });
    node.partners.forEach((at) => {
      const peer = this.nodes[at];
      if (peer && this.send(node, peer)) this.send(peer, node);
    });
  }

  /** An outage ends a pending watch; the relay then retries with the backoff of the watcher. */
  private handleWatch(node: SimulatedDaemon, watch: Watch): void {
    const newest = node.gossip.configuration.number;
    const hasNews = this.acceptedAt.length > newest;
    const isWaiting = watch.failures === 0;
    if (this.now < watch.nextAt && !(isWaiting && (hasNews || !this.isPlatformUp()))) return;
    const { platformCalls } = node;
    Object.assign(node, { platformCalls: platformCalls + 1 });
    if (!this.isPlatformUp()) {
      const failures = watch.failures + 1;
      const delay = Math.min(MAX_RETRY_MS, RETRY_MS * 2 ** (failures - 1));
      Object.assign(watch, { failures, nextAt: this.now + delay * (0.5 + this.random() / 2) });
      return;
    }
    for (let number = newest + 1; number <= this.acceptedAt.length; number++) {
      node.gossip.addNote(number, createNoteText(number));
    }
    Object.assign(watch, { failures: 0, nextAt: this.now + WATCH_MS });
  }

  private send(from: SimulatedDaemon, to: SimulatedDaemon): boolean {
    const part = from.gossip.collect(to.id, from.lastMessages.get(to.id), this.now);
    const rest = { members: [], observations: [], records: [] };
    const message = { from: from.id, noteNumber: 0, notes: [], ...rest, ...part };
    Object.assign(from, { bytes: from.bytes + Buffer.byteLength(JSON.stringify(message)) });
    if (this.random() < LOSS) return false;
    to.lastMessages.set(from.id, message);
    to.gossip.handle(message);
    return true;
  }

  private report(): object {
    const times = this.inForceAt.map(
      (at, index) => Math.max(...at) - (this.acceptedAt[index] ?? 0),
    );
    const sorted = [...times].sort((a, b) => a - b);
    const calls = this.nodes.map(({ platformCalls }) => platformCalls);
    const bytes = this.nodes.map((node) => node.bytes);
    const sum = (values: readonly number[]): number => values.reduce((a, b) => a + b, 0);
    const seconds = this.now / 1_000;
    return {
      seed: this.seed,
      daemons: DAEMONS,
      notes: NOTES,
      virtualSeconds: seconds,
      lossShare: LOSS,
      platformDownShare: 0.5,
      inForceEverywhere: this.inForceAt.filter((at) => at.length === DAEMONS).length,
      inForceMsMedian: sorted[Math.floor(sorted.length / 2)],
      inForceMsMax: sorted.at(-1),
      platformCallsPerDaemon: sum(calls) / DAEMONS,
      platformCallsPerDaemonMax: Math.max(...calls),
      bytesPerDaemonAndSecond: Math.round(sum(bytes) / DAEMONS / seconds),
      bytesPerDaemonAndSecondMax: Math.round(Math.max(...bytes) / seconds),
    };
  }
}

const { values } = parseArgs({
  options: { seed: { type: 'string', default: '1' }, json: { type: 'boolean' } },
});
process.stdout.write(`${JSON.stringify(new SpreadSimulation(Number(values.seed)).run())}\n`);
