import { expect } from 'earl';
import fc from 'fast-check';
import {
  type BorrowGrant,
  type BorrowRequest,
  computeLimits,
  divideShares,
  mapShares,
  PAUSE_THRESHOLD_MS,
  QuotaHolder,
  QuotaLender,
  rankVms,
  SHARE_NAMES,
  type Shares,
} from '../src/index.js';

const VMS = ['vm-1', 'vm-2', 'vm-3', 'vm-4'];
const STEP_MS = 100;
const LIMITS = computeLimits(15, 3, false);
const createShares = (connections: number, concurrency = 0, longPermits = 0): Shares => ({
  connections,
  concurrency,
  longPermits,
});
const EVERYTHING = createShares(15, 3, 2);

interface Host {
  holder: QuotaHolder;
  lender: QuotaLender;
  live: readonly string[];
  used: Shares;
  wanted: Shares;
  pausedAt: number | undefined;
  isDead: boolean;
  /** Uses its guaranteed share without a grant; the sum may exceed the limit in this window. */
  usesGuaranteed: boolean;
}

type Message =
  | { readonly kind: 'request'; from: string; to: string; request: BorrowRequest }
  | { readonly kind: 'grant'; to: string; request: BorrowRequest; grant: BorrowGrant };

/** Hosts that share one instance, and a network that loses and reorders messages. */
class Fleet {
  now = 0;

  private starts = 0;

  readonly messages: Message[] = [];

  readonly hosts = new Map<string, Host>();

  constructor() {
    VMS.forEach((vm) => this.start(vm));
  }

  start(vm: string, usesGuaranteed = false): void {
    this.starts += 1;
    const options = { vm, group: 'g', instance: 'i', guaranteed: LIMITS.guaranteed };
    this.hosts.set(vm, {
      holder: new QuotaHolder(options, this.now),
      lender: new QuotaLender(LIMITS, this.starts * 1e6, this.now),
      ...{ live: [], used: createShares(0), wanted: createShares(0) },
      ...{ pausedAt: undefined, isDead: false, usesGuaranteed },
    });
    this.updateView(vm);
  }

  host(vm: string): Host {
    const host = this.hosts.get(vm);
    if (!host) throw new Error(vm);
    return host;
  }

  isRunning(vm: string): boolean {
    const host = this.host(vm);
    return !host.isDead && host.pausedAt === undefined;
  }

  /** Updates one host's view of the live VMs; hosts are updated at different times. */
  updateView(vm: string): void {
    if (!this.isRunning(vm)) return;
    const host = this.host(vm);
    host.live = VMS.filter((one) => this.hosts.has(one) && this.isRunning(one));
    host.lender.updateLive(host.live, this.now);
  }

  pause(vm: string): void {
    const host = this.host(vm);
    host.pausedAt ??= this.now;
    host.used = createShares(0);
  }

  resume(vm: string): void {
    const host = this.host(vm);
    if (host.pausedAt === undefined) return;
    if (this.now - host.pausedAt > PAUSE_THRESHOLD_MS) host.usesGuaranteed = true;
    host.pausedAt = undefined;
    this.tick(host);
  }

  tick({ holder, lender }: Host): void {
    holder.handleTick(this.now);
    lender.handleTick(this.now);
  }

  send(vm: string): void {
    if (!this.isRunning(vm)) return;
    const { live, holder, used, wanted } = this.host(vm);
    const to = rankVms('borrow|i', live)[0] ?? vm;
    const request = holder.createRequest(to, used, wanted, this.now);
    this.messages.push({ kind: 'request', from: vm, to, request });
  }

  deliver(index: number): void {
    const message = this.messages[index % Math.max(1, this.messages.length)];
    if (!message) return;
    // A paused host receives its messages late; those to a dead host are lost.
    if (this.host(message.to).pausedAt !== undefined) return;
    this.messages.splice(this.messages.indexOf(message), 1);
    if (!this.isRunning(message.to)) return;
    const { lender, holder } = this.host(message.to);
    if (message.kind === 'grant') {
      holder.handleGrant(message.request, message.grant, this.now);
      return;
    }
    const { request, from } = message;
    const grant = lender.handleRequest(request, this.now);
    this.messages.push({ kind: 'grant', to: from, request, grant });
  }

  advance(steps: number): void {
    for (let step = 0; step < steps; step++) {
      this.now += STEP_MS;
      VMS.filter((vm) => this.isRunning(vm)).forEach((vm) => {
        this.tick(this.host(vm));
        // Membership converges within a second.
        if (this.now % 1_000 === 0) this.updateView(vm);
      });
    }
  }

  measureUse(vm: string): Shares {
    const { holder, used, isDead, pausedAt } = this.host(vm);
    if (isDead || (pausedAt !== undefined && this.now - pausedAt > PAUSE_THRESHOLD_MS)) {
      return createShares(0);
    }
    const shares =
      pausedAt === undefined ? holder.readShares(this.now) : holder.readShares(pausedAt);
    return mapShares((name) => Math.max(shares[name], used[name]));
  }

  /** Returns a description of the violation if the sum of the shares exceeds a limit. */
  check(): string | undefined {
    const hosts = [...this.hosts.values()];
    const window = hosts.filter(({ usesGuaranteed }) => usesGuaranteed).length;
    const uses = VMS.map((vm) => this.measureUse(vm));
    const sum = mapShares((name) => uses.reduce((total, use) => total + use[name], 0));
    const failed = SHARE_NAMES.find(
      (name) => sum[name] > LIMITS.limit[name] + window * LIMITS.guaranteed[name],
    );
    return failed && `${failed}: ${JSON.stringify(uses)} at ${this.now}`;
  }
}

const vmIndex = fc.nat(VMS.length - 1);
const share = fc.record({
  connections: fc.nat(15),
  concurrency: fc.nat(3),
  longPermits: fc.nat(2),
});
const command = fc.oneof(
  { weight: 6, arbitrary: fc.tuple(fc.constant('send' as const), vmIndex, share) },
  { weight: 8, arbitrary: fc.tuple(fc.constant('deliver' as const), fc.nat(20), share) },
  { weight: 2, arbitrary: fc.tuple(fc.constant('use' as const), vmIndex, share) },
  { weight: 4, arbitrary: fc.tuple(fc.constant('advance' as const), fc.nat(12), share) },
  { weight: 1, arbitrary: fc.tuple(fc.constant('round' as const), vmIndex, share) },
  { weight: 1, arbitrary: fc.tuple(fc.constant('view' as const), vmIndex, share) },
  { weight: 1, arbitrary: fc.tuple(fc.constant('drop' as const), fc.nat(20), share) },
  { weight: 1, arbitrary: fc.tuple(fc.constant('pause' as const), vmIndex, share) },
  { weight: 1, arbitrary: fc.tuple(fc.constant('resume' as const), vmIndex, share) },
  { weight: 1, arbitrary: fc.tuple(fc.constant('kill' as const), vmIndex, share) },
);
type Command = typeof command extends fc.Arbitrary<infer T> ? T : never;

const runRound = (fleet: Fleet): void => {
  VMS.forEach((vm) => fleet.send(vm));
  for (let count = 0; count < 16; count++) fleet.deliver(0);
};

const runCommand = (fleet: Fleet, [kind, value, shares]: Command): void => {
  const vm = VMS[value % VMS.length] ?? '';
  const host = fleet.host(vm);
  if (kind === 'send') {
    host.wanted = shares;
    fleet.send(vm);
  } else if (kind === 'deliver') fleet.deliver(value);
  else if (kind === 'advance') fleet.advance(value);
  else if (kind === 'view') fleet.updateView(vm);
  else if (kind === 'drop') fleet.messages.splice(value % (fleet.messages.length + 1), 1);
  else if (kind === 'pause' && !host.isDead) fleet.pause(vm);
  else if (kind === 'resume') fleet.resume(vm);
  else if (kind === 'round') {
    host.wanted = shares;
    runRound(fleet);
  } else if (kind === 'use' && fleet.isRunning(vm)) {
    const granted = host.holder.readShares(fleet.now);
    host.used = mapShares((name) => Math.min(granted[name], shares[name]));
  } else if (kind === 'kill') {
    if (!host.isDead) {
      host.isDead = true;
      return;
    }
    fleet.start(vm, true);
  }
};

describe('quota', () => {
  // Guards against two proxies that hold the same connection, slot or permit.
  it('never lends more than the limit under any faults of messages, VMs and lenders', () => {
    fc.assert(
      fc.property(fc.array(command, { maxLength: 400, size: 'max' }), (commands) => {
        const fleet = new Fleet();
        VMS.forEach((vm) => {
          fleet.updateView(vm);
          fleet.host(vm).usesGuaranteed = true;
        });
        commands.forEach((one) => {
          runCommand(fleet, one);
          expect(fleet.check()).toEqual(undefined);
        });
      }),
      { numRuns: 300 },
    );
  });

  // Guards against a share that is never reclaimed, or a lender that stops lending, after faults.
  it('lends all requested capacity once faults have ended', () => {
    fc.assert(
      fc.property(fc.array(command, { maxLength: 100 }), vmIndex, (commands, wanting) => {
        const fleet = new Fleet();
        commands.forEach((one) => runCommand(fleet, one));
        VMS.forEach((vm) => {
          fleet.resume(vm);
          if (fleet.host(vm).isDead && VMS[wanting] === vm) fleet.start(vm);
          fleet.host(vm).used = createShares(0);
          fleet.host(vm).wanted = VMS[wanting] === vm ? EVERYTHING : createShares(0);
        });
        fleet.messages.length = 0;
        for (let round = 0; round < 24; round++) {
          VMS.forEach((vm) => fleet.updateView(vm));
          runRound(fleet);
          fleet.advance(5);
        }
        const running = VMS.filter((vm) => fleet.isRunning(vm)).length;
        const shares = fleet.host(VMS[wanting] ?? '').holder.readShares(fleet.now);
        expect(shares).toEqual(createShares(15 - (running - 1), 3, 2));
      }),
      { numRuns: 100 },
    );
  });

  // Guards against a proxy that serves nothing while it has no lender.
  it('uses the guaranteed share without a lender and keeps its last grant if the lender fails', () => {
    const fleet = new Fleet();
    fleet.advance(10);
    expect(fleet.host('vm-1').holder.readShares(fleet.now)).toEqual(LIMITS.guaranteed);
    VMS.forEach((vm) => fleet.updateView(vm));
    fleet.host('vm-1').wanted = createShares(9, 2);
    for (let round = 0; round < 4; round++) {
      runRound(fleet);
      fleet.advance(5);
    }
    fleet.messages.length = 0;
    fleet.advance(300);
    expect(fleet.host('vm-1').holder.readShares(fleet.now)).toEqual(createShares(9, 2));
  });

  // Guards against a holder that always gets the only permit.
  it('rotates a scarce long permit between holders', () => {
    const fleet = new Fleet();
    VMS.forEach((vm) => {
      fleet.updateView(vm);
      fleet.host(vm).wanted = createShares(1, 0, 2);
    });
    const turns = new Map(VMS.map((vm) => [vm, 0]));
    for (let round = 0; round < 40; round++) {
      runRound(fleet);
      fleet.advance(1);
      VMS.forEach((vm) => {
        const { longPermits } = fleet.host(vm).holder.readShares(fleet.now);
        turns.set(vm, (turns.get(vm) ?? 0) + longPermits);
      });
    }
    const counts = [...turns.values()];
    expect(Math.min(...counts) * 2 >= Math.max(...counts)).toEqual(true);
  });

  // Guards against unequal shares of proxies with equal demands.
  it('divides by max-min fairness', () => {
    const demands = VMS.map((vm, index) => ({ vm, base: 1, wanted: index === 0 ? 2 : 9 }));
    expect([...divideShares(15, demands, false).values()]).toEqual([2, 5, 4, 4]);
    expect([...divideShares(15, demands, true).values()]).toEqual([2, 4, 4, 4]);
  });
});
