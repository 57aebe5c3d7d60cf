import { expect } from 'earl';
import fc from 'fast-check';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { Membership, type MembershipMessage, type Millis, type Vm } from '../src/index.js';

const TICK_MS = 25;

const toVm = (index: number): Vm => ({
  id: `vm-${index}`,
  zone: `z-${index % 3}`,
  host: '10.0.0.1',
  peerPort: 1_000 + index,
});

interface Node {
  membership: Membership;
  down: boolean;
  paused: boolean;
  starts: number;
}

interface Delivery {
  readonly at: Millis;
  readonly to: number;
  readonly run: (node: Node) => void;
}

type Fault =
  | { readonly kind: 'crash' | 'pause' | 'restart'; readonly node: number; readonly ms: Millis }
  | { readonly kind: 'partition'; readonly mask: number; readonly ms: Millis }
  | { readonly kind: 'loss'; readonly percent: number; readonly ms: Millis };

/** Simulated network whose messages can be lost, duplicated, delayed and partitioned. */
class Network {
  now: Millis = 0;

  readonly nodes: Node[];

  /** The side of each node while the network is partitioned. */
  sides: readonly boolean[] = [];

  lossPercent = 0;

  messages = 0;

  members = 0;

  private deliveries: Delivery[] = [];

  private readonly random;

  constructor(
    readonly size: number,
    seed: number,
    private readonly smallFleet: number,
  ) {
    this.random = xoroshiro128plus(seed);
    this.nodes = Array.from({ length: size }, (_, index) => this.createNode(index, 1));
  }

  createNode(index: number, starts: number): Node {
    const membership = new Membership({
      self: toVm(index),
      incarnation: starts,
      seeds: [toVm(0), toVm(1), toVm(2)],
      chooseNumber: (below) => this.choose(below),
      smallFleet: this.smallFleet,
    });
    return { membership, down: false, paused: false, starts };
  }

  restart(index: number): void {
    this.nodes[index] = this.createNode(index, (this.nodes[index]?.starts ?? 0) + 1);
  }

  run(duration: Millis): void {
    for (const end = this.now + duration; this.now < end; this.now += TICK_MS) this.tick();
  }

  /** Applies a fault for its duration and then ends it, except for a crash. */
  runFault(fault: Fault): void {
    const node = 'node' in fault ? this.nodes[fault.node % this.size] : undefined;
    if (fault.kind === 'crash' && node) node.down = true;
    if (fault.kind === 'pause' && node) node.paused = true;
    if (fault.kind === 'restart') this.restart(fault.node % this.size);
    if (fault.kind === 'partition') {
      this.sides = this.nodes.map((_, index) => ((fault.mask >> index) & 1) === 1);
    }
    if (fault.kind === 'loss') this.lossPercent = fault.percent;
    this.run(fault.ms);
    if (node) node.paused = false;
    this.sides = [];
    this.lossPercent = 0;
  }

  /** Lists, for each running node, the VMs that it regards as live. */
  listViews(): readonly string[] {
    return this.nodes
      .filter(({ down }) => !down)
      .map(({ membership }) =>
        membership
          .listLive()
          .map(({ id }) => id)
          .join(' '),
      );
  }

  listRunning(): string {
    const ids = this.nodes.flatMap(({ down }, index) => (down ? [] : [toVm(index).id]));
    return ids.sort().join(' ');
  }

  private choose(below: number): number {
    return uniformInt(this.random, 0, below - 1);
  }

  private tick(): void {
    const due = this.deliveries.filter(({ at }) => at <= this.now);
    this.deliveries = this.deliveries.filter(({ at }) => at > this.now);
    due.forEach((delivery) => this.deliver(delivery));
    this.nodes.forEach((node, index) => {
      if (node.down || node.paused) return;
      node.membership.handleTick(this.now).forEach((vm) => this.ping(node, index, vm));
    });
  }

  private deliver(delivery: Delivery): void {
    const node = this.nodes[delivery.to];
    if (!node || node.down) return;
    // A paused process receives its messages when it resumes.
    if (node.paused) this.deliveries.push({ ...delivery, at: this.now + TICK_MS });
    else delivery.run(node);
  }

  private ping(node: Node, index: number, vm: Vm): void {
    const to = Number(vm.id.slice(3));
    const sent = this.count(node.membership.createMessage(vm.id, this.now));
    this.send(index, to, (target) => {
      target.membership.handleMessage(toVm(index).id, sent, this.now);
      const answer = this.count(target.membership.createMessage(toVm(index).id, this.now));
      this.send(to, index, (source) => {
        if (source === node) source.membership.handleAnswer(vm.id, answer, this.now);
      });
    });
  }

  private count(message: MembershipMessage): MembershipMessage {
    this.messages += 1;
    this.members += message.members.length;
    return message;
  }

  private send(from: number, to: number, run: (node: Node) => void): void {
    if (this.sides[from] !== this.sides[to]) return;
    const copies = this.lossPercent === 0 ? 1 : this.choose(3);
    const lost = this.choose(100) < this.lossPercent;
    for (let copy = 0; copy < copies && !lost; copy++) {
      this.deliveries.push({ at: this.now + 1 + this.choose(30), to, run });
    }
  }
}

const ms = fc.integer({ min: 1, max: 240 }).map((ticks) => ticks * TICK_MS);
const node = fc.nat(9);
const faults = fc.array(
  fc.oneof(
    fc.record({ kind: fc.constant('crash' as const), node, ms }),
    fc.record({ kind: fc.constant('pause' as const), node, ms }),
    fc.record({ kind: fc.constant('restart' as const), node, ms }),
    fc.record({ kind: fc.constant('partition' as const), mask: fc.nat(1_023), ms }),
    fc.record({ kind: fc.constant('loss' as const), percent: fc.integer({ min: 1, max: 80 }), ms }),
  ),
  { maxLength: 6 },
);

describe('Membership', () => {
  // Guards against a live VM that stays declared dead, a dead VM that stays live, and views that
  // never converge, in a fleet where all VMs ping each other and in one where two ping each VM.
  it('converges on the running VMs once faults have ended', () => {
    fc.assert(
      fc.property(
        faults,
        fc.integer(),
        fc.constantFrom(2, 8),
        fc.integer({ min: 3, max: 10 }),
        (plan, seed, smallFleet, size) => {
          const network = new Network(size, seed, smallFleet);
          network.run(2_000);
          plan.forEach((fault) => network.runFault(fault));
          network.run(45_000);
          const running = network.listRunning();
          expect(network.listViews()).toEqual(network.listViews().map(() => running));
        },
      ),
      { numRuns: 60 },
    );
  });

  // Guards against duties that stay assigned to a crashed VM for more than a second.
  it('removes a crashed VM from every view within a second', () => {
    fc.assert(
      fc.property(
        fc.integer(),
        fc.nat(40),
        fc.constantFrom(2, 8),
        fc.integer({ min: 3, max: 9 }),
        (seed, phase, smallFleet, size) => {
          const network = new Network(size, seed, smallFleet);
          network.run(10_000 + phase * TICK_MS);
          network.nodes.slice(-1).forEach((last) => Object.assign(last, { down: true }));
          network.run(1_000);
          const running = network.listRunning();
          expect(network.listViews()).toEqual(network.listViews().map(() => running));
        },
      ),
      { numRuns: 60 },
    );
  });

  // Guards against false suspicions in a healthy fleet.
  it('raises no suspicion and sends no updates while nothing changes', () => {
    const network = new Network(9, 1, 8);
    network.run(10_000);
    const incarnations = network.nodes.map(({ membership }) => membership.find('vm-4'));
    expect(new Set(incarnations.map((one) => one?.incarnation))).toEqual(new Set([1]));
    const before = network.members;
    network.run(10_000);
    expect(network.members - before).toEqual(0);
  });

  // Guards against a cost per VM that grows with the fleet.
  it('sends the same number of messages per VM in a fleet of any size', () => {
    const counts = [20, 60].map((size) => {
      const network = new Network(size, 1, 8);
      network.run(40_000);
      const before = network.messages;
      network.run(10_000);
      return (network.messages - before) / size / 10;
    });
    // Two pings per half second to each VM, with their answers.
    expect(counts.every((count) => count >= 7 && count <= 8.1)).toEqual(true);
  });

  // Guards against a lagging list that removes a VM that has rejoined, or that is ignored.
  it('accepts that a VM is leaving from whichever source reports it first', () => {
    const network = new Network(4, 1, 8);
    network.run(1_000);
    const listing = (state: 'live' | 'leaving') =>
      [0, 1, 2, 3].map((index) => ({
        ...toVm(index),
        state: index === 3 ? state : ('live' as const),
      }));
    const [reader, second, , leaver] = network.nodes.map(({ membership }) => membership);
    reader?.handleVmList(listing('leaving'), network.now);
    network.run(1_000);
    expect(network.listViews()).toEqual(network.listViews().map(() => 'vm-0 vm-1 vm-2'));
    expect(leaver?.isMarkedLeaving()).toEqual(true);
    network.restart(3);
    network.run(2_000);
    reader?.handleVmList(listing('leaving'), network.now);
    network.run(1_000);
    expect(network.listViews()).toEqual(network.listViews().map(() => network.listRunning()));
    second?.leave();
    network.run(1_000);
    expect(network.listViews()).toEqual(network.listViews().map(() => 'vm-0 vm-2 vm-3'));
  });
});
