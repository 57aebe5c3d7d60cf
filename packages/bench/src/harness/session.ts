import type { Contract, LogPosition } from '@shallotpick/core';
import type { GuaranteeChecker } from './checker.js';
import type { FakeDaemon } from './daemon.js';
import type { LogEntry, FakeInstance } from './instance.js';
import type { SimulatedNetwork } from './network.js';

const ROUTE_RETRY_MS = 10;
const REQUEST_LIMIT_MS = 3_000;
/** A reader gives up early, since messages into a cut are lost without a sign. */
const READ_LIMIT_MS = 200;
const STATED_AGES_MS = [0, 60, 300, 1_500];

export interface SessionOptions {
  readonly network: SimulatedNetwork;
  readonly checker: GuaranteeChecker;
  readonly instances: readonly FakeInstance[];
  readonly listDaemons: () => readonly FakeDaemon[];
  readonly createId: () => number;
  /** A session that only reads through this daemon, with its first floor; the others roam. */
  readonly readOnlyDaemon: number | undefined;
}

const createContract = (maxAgeMs: number): Contract => ({
  name: `age ${maxAgeMs}`,
  match: {},
  maxAgeMs,
  length: 'short',
  repeat: 'allowed',
});

/** A caller that writes, reads and moves between daemons, with or without its token. */
export class FakeSession {
  private floor: LogPosition | undefined;

  private acknowledged: readonly LogEntry[] = [];

  private place = 0;

  /** Answers to earlier requests than the current one are ignored. */
  private request = 0;

  constructor(private readonly options: SessionOptions) {}

  start(): void {
    const { network: world, listDaemons, readOnlyDaemon: readsAt } = this.options;
    this.place = readsAt ?? Math.floor(world.random() * listDaemons().length);
    this.runNext();
  }

  private runNext(): void {
    const { network: world, readOnlyDaemon: readsAt } = this.options;
    this.request += 1;
    const { request } = this;
    const finish = (): void => {
      if (request !== this.request) return;
      this.request += 1;
      world.schedule(2 + world.random() * 25, () => this.runNext());
    };
    world.schedule(readsAt === undefined ? REQUEST_LIMIT_MS : READ_LIMIT_MS, finish);
    if (readsAt === undefined && world.random() < 0.4) this.move();
    const daemon = this.options.listDaemons()[this.place];
    if (!daemon || daemon.isDown) finish();
    else if (!this.floor) this.arrive(daemon, request, finish);
    else if (readsAt === undefined && world.random() < 0.5) this.write(daemon, request, finish);
    else this.read(daemon, world.choose(STATED_AGES_MS), request, finish);
  }

  private move(): void {
    const { network: world, listDaemons } = this.options;
    this.place = Math.floor(world.random() * listDaemons().length);
    if (world.random() < 0.6) this.floor = undefined;
  }

  private arrive(daemon: FakeDaemon, request: number, finish: () => void): void {
    daemon.addArrival((floor) => {
      if (request !== this.request) return;
      this.floor = floor;
      if (floor) this.read(daemon, this.options.network.choose(STATED_AGES_MS), request, finish);
      else finish();
    });
  }

  /** Runs `work` on an instance that the daemon's router names, when there is one. */
  private route(
    daemon: FakeDaemon,
    kind: 'read' | 'write',
    maxAgeMs: number,
    request: number,
    work: (instance: FakeInstance) => void,
  ): void {
    const { network: world, instances } = this.options;
    if (request !== this.request || daemon.isDown) return;
    const contract = createContract(maxAgeMs);
    const floor = this.floor ?? { term: 0, offset: 0 };
    const route = daemon.route({ kind, contract, minPosition: floor });
    if (route.kind === 'wait') {
      world.schedule(ROUTE_RETRY_MS, () =>
        world.deliver(daemon, daemon.epoch, () =>
          this.route(daemon, kind, maxAgeMs, request, work),
        ),
      );
      return;
    }
    const instance = instances.find(({ id }) => id === route.instances[0]);
    if (instance) work(instance);
  }

  private write(daemon: FakeDaemon, request: number, finish: () => void): void {
    const { network: world, createId } = this.options;
    this.route(daemon, 'write', 0, request, (instance) => {
      const term = daemon.findTerm(instance.id);
      const id = createId();
      let isSent = false;
      world.send(daemon, instance, () => {
        // A statement travels on one connection, which never delivers it twice.
        if (isSent) return;
        isSent = true;
        const entry = instance.commit(id);
        if (!entry) world.send(instance, daemon, finish);
        else {
          world.send(instance, daemon, () =>
            this.waitForVerdict(daemon, instance, entry, term, request, finish),
          );
        }
      });
    });
  }

  private waitForVerdict(
    daemon: FakeDaemon,
    primary: FakeInstance,
    entry: LogEntry,
    term: number,
    request: number,
    finish: () => void,
  ): void {
    if (request !== this.request) return;
    const { checker: checks } = this.options;
    daemon.addCommit(primary.id, term, (position) => {
      if (position) checks.handleAcknowledgement(entry);
      if (request !== this.request) return;
      if (position) {
        this.acknowledged = [...this.acknowledged, entry];
        this.floor = position;
      }
      finish();
    });
  }

  private read(daemon: FakeDaemon, maxAgeMs: number, request: number, finish: () => void): void {
    const { network: world, checker: checks } = this.options;
    const { acknowledged } = this;
    this.route(daemon, 'read', maxAgeMs, request, (instance) => {
      const routedAt = world.now;
      world.send(daemon, instance, () => {
        checks.handleRead(instance, acknowledged, maxAgeMs, routedAt);
        world.send(instance, daemon, finish);
      });
    });
  }
}
