import { expect } from 'earl';
import { createRandom } from '../src/random.js';
import { VirtualClock } from '../src/takeover/clock.js';
import { FaultInjector } from '../src/takeover/faultinjector.js';
import { SyncGroup } from '../src/takeover/group.js';
import { InstanceReports } from '../src/takeover/instancereports.js';
import { SimulatedPlatform } from '../src/takeover/platform.js';
import { OUTAGE_RUN_SETTINGS } from '../src/takeover/runsettings.js';
import type { TakeoverFaultKind } from '../src/takeover/scenario.js';
import { DEFAULT_TAKEOVER_RULES, TakeoverSimulation } from '../src/takeover/simulation.js';
import type { SyncInstance } from '../src/takeover/syncinstance.js';
import { SimulatedVm } from '../src/takeover/vm.js';
import { OPEN_CONNECTION } from './openconnection.js';

const STEP_MS = 10;
const VMS = 3;
/** The harness has run for so long when it is handed over. */
const WARM_UP_MS = 1_000;
const ORDER_AT_MS = WARM_UP_MS;
/** Time until the platform carries out a call. */
const CALL_MS = 4;
/** Time from an accepted order until the instance leads. */
const PROMOTE_MS = 600;
const SEEDS = [1, 2, 3, 4, 5];

/** A group under faults, with VMs that do nothing and callers that write all the time. */
class FaultHarness {
  readonly group: SyncGroup;

  readonly vms: readonly SimulatedVm[];

  private readonly clock = new VirtualClock();

  private readonly reports: InstanceReports;

  private readonly faults: FaultInjector;

  /** Fencing token of the last order. */
  private token = 0;

  constructor(seed: number, ids: readonly string[], hasOutages = true) {
    const { clock } = this;
    const random = createRandom(seed);
    this.group = new SyncGroup(ids, random);
    const { group } = this;
    const platform = new SimulatedPlatform(clock, random, group, DEFAULT_TAKEOVER_RULES);
    this.vms = Array.from(
      { length: VMS },
      (_, rank) =>
        new SimulatedVm({
          ...{ id: `vm-${rank}`, rank, clock, group, platform, showsCrashes: true },
          ...DEFAULT_TAKEOVER_RULES,
          createAttempt: () => 'attempt',
          notifyOrder: () => undefined,
          notifyClaim: () => undefined,
        }),
    );
    const { vms } = this;
    this.reports = new InstanceReports(group, clock, random, hasOutages);
    const { reports } = this;
    this.faults = new FaultInjector({ group, clock, random, platform, vms, reports, hasOutages });
    this.advance(WARM_UP_MS);
  }

  /** Injects a fault now. */
  inject(kind: TakeoverFaultKind, duration: number, pick = 0): void {
    this.faults.inject({ kind, duration, pick, at: this.clock.now });
  }

  /** Promotes an instance, as after the order of a VM. */
  promote(id: string): void {
    this.faults.handleOrder(id);
    this.token += 1;
    this.group.promote(id, this.token, this.clock.now);
  }

  /** Runs on for some virtual time; `observe` is called in each step. */
  advance(ms: number, observe: () => void = () => undefined): void {
    const end = this.clock.now + ms;
    for (let now = this.clock.now + STEP_MS; now <= end; now += STEP_MS) {
      this.clock.advanceTo(now);
      this.reports.handleStep(now);
      this.group.handleStep(now, () => [OPEN_CONNECTION]);
      this.faults.handleStep(now);
      observe();
    }
  }

  find(id: string): SyncInstance {
    return this.group.instances.find((one) => one.id === id)!;
  }

  listAlive(): readonly string[] {
    return this.group.instances.filter(({ isAlive }) => isAlive).map(({ id }) => id);
  }

  /** True if the log of an instance that hasn't ended holds all that was acknowledged. */
  isAcknowledgedHeld(): boolean {
    const { instances, acknowledgements } = this.group;
    return instances
      .filter(({ isGone }) => !isGone)
      .map(({ log }) => new Set(log.map(({ id }) => id)))
      .some((held) => acknowledgements.ids.every((id) => held.has(id)));
  }
}

const IDS = ['db-0', 'db-1', 'db-2'];
const FIVE_IDS = [...IDS, 'db-3', 'db-4'];

/** Runs a check of a fault with several seeds, since its moments are drawn. */
const checkSeeds = (check: (seed: number) => void): void => SEEDS.forEach(check);

describe('faults of the takeover model', () => {
  // Guards against entries of crashed instances that stay listed, which no store keeps.
  it('let the entry of a crashed instance expire until it is back', () => {
    checkSeeds((seed) => {
      const harness = new FaultHarness(seed, IDS);
      const replica = harness.find('db-1');
      harness.inject('crashReplica', 6_000, 0);
      harness.advance(3_500);
      expect(replica.isRegistered).toEqual(true);
      harness.advance(200);
      expect(replica.isRegistered).toEqual(false);
      harness.advance(2_200);
      expect(replica.isRegistered).toEqual(false);
      harness.advance(1_400);
      expect([replica.isAlive, replica.isRegistered]).toEqual([true, true]);
      expect(replica.registeredStart).toEqual(0);
    });
  });

  // Guards against an entry that tells the former start of an instance which has lost its log.
  it('let the entry of one that loses its log expire, and list its new start', () => {
    checkSeeds((seed) => {
      const harness = new FaultHarness(seed, IDS);
      const leader = harness.find('db-0');
      harness.inject('restartEmptyLate', 5_000, 0);
      harness.advance(3_700);
      expect([leader.isAlive, leader.isRegistered]).toEqual([false, false]);
      harness.advance(2_600);
      expect([leader.isAlive, leader.isRegistered]).toEqual([true, true]);
      expect([leader.startedAt, leader.registeredStart]).toEqual([6_000, 6_000]);
    });
  });

  // Guards against an entry that comes back while its instance is still down.
  it('register no instance that is down when it reaches the store again', () => {
    const harness = new FaultHarness(1, IDS);
    const leader = harness.find('db-0');
    harness.inject('cutInstanceFromStore', 1_000, 0);
    harness.advance(1_000);
    harness.inject('crashLeader', 12_000);
    harness.advance(6_000);
    expect([leader.isAlive, leader.isRegistered]).toEqual([false, false]);
    harness.advance(8_000);
    expect([leader.isAlive, leader.isRegistered]).toEqual([true, true]);
  });

  it('register no instance that is down again by the time of its registration', () => {
    checkSeeds((seed) => {
      const harness = new FaultHarness(seed, IDS);
      const replica = harness.find('db-1');
      harness.inject('crashReplica', 4_000, 0);
      harness.advance(4_010);
      expect([replica.isAlive, replica.isRegistered]).toEqual([true, false]);
      harness.inject('crashReplica', 6_000, 0);
      harness.advance(2_000);
      expect([replica.isAlive, replica.isRegistered]).toEqual([false, false]);
    });
  });

  // Guards against other sets of scenarios that run in another way than before.
  it('keep the entry of a crashed instance in runs without outages', () => {
    const harness = new FaultHarness(1, IDS, false);
    harness.inject('crashLeader', 6_000);
    harness.advance(5_000);
    expect(harness.find('db-0').isRegistered).toEqual(true);
  });

  // Guards against a crash whose end starts an instance that another fault has ended.
  it('leave an instance alone that is down already', () => {
    const harness = new FaultHarness(1, IDS);
    harness.inject('crashLeader', 5_000);
    harness.advance(100);
    harness.inject('crashLeader', 500);
    harness.advance(4_000);
    expect(harness.listAlive()).toEqual(['db-1', 'db-2']);
    harness.advance(1_000);
    expect(harness.listAlive()).toEqual(IDS);
  });

  // Guards against VMs of which one keeps what it knew.
  it('kill all VMs at about one moment and start them again', () => {
    checkSeeds((seed) => {
      const harness = new FaultHarness(seed, IDS);
      const listPaused = (): readonly boolean[] => harness.vms.map(({ isPaused }) => isPaused);
      harness.inject('killAllVms', 1_000);
      harness.advance(300);
      expect(listPaused()).toEqual([true, true, true]);
      harness.advance(500);
      expect(listPaused()).toEqual([false, false, false]);
    });
  });

  // Guards against a power loss that takes logs, or that some instances don't notice.
  it('end all instances at once when they lose power, which keep their logs', () => {
    checkSeeds((seed) => {
      const harness = new FaultHarness(seed, FIVE_IDS);
      const lengths = harness.group.instances.map(({ log }) => log.length);
      harness.inject('losePower', 4_000);
      expect(harness.listAlive()).toEqual([]);
      expect(harness.group.instances.map(({ log }) => log.length)).toEqual(lengths);
      harness.advance(4_010);
      expect(harness.listAlive()).toEqual(FIVE_IDS);
      expect(harness.group.instances.map(({ startedAt }) => startedAt)).toEqual([0, 0, 0, 0, 0]);
    });
  });

  // Guards against a fault that no choice of a successor could survive.
  it('lose two logs within a takeover and keep all that was acknowledged', () => {
    checkSeeds((seed) => {
      const harness = new FaultHarness(seed, FIVE_IDS);
      harness.inject('loseLogsInTakeover', 3_000, 1);
      expect(harness.find('db-0').isAlive).toEqual(false);
      harness.advance(800, () => expect(harness.isAcknowledgedHeld()).toEqual(true));
      const lost = harness.group.instances.filter(({ lostLogAt }) => lostLogAt >= WARM_UP_MS);
      expect(lost.length).toEqual(2);
      expect(lost.some(({ id }) => id === 'db-0')).toEqual(false);
      harness.advance(3_100, () => expect(harness.isAcknowledgedHeld()).toEqual(true));
      expect(harness.listAlive()).toEqual(FIVE_IDS);
    });
  });

  // Guards against a second loss that hits the same instance, which holds nothing any more.
  it('lose the logs of two instances even if the first is back soon', () => {
    Array.from({ length: 30 }, (_, seed) => {
      const harness = new FaultHarness(seed, FIVE_IDS);
      harness.inject('loseLogsInTakeover', 1, 1);
      harness.advance(900);
      return harness.group.instances.filter(({ lostLogAt }) => lostLogAt >= WARM_UP_MS).length;
    }).forEach((count) => expect(count).toEqual(2));
  });

  // Guards against a log that is dropped although another fault has left no other complete one.
  it('drop no log that alone holds what was acknowledged', () => {
    checkSeeds((seed) => {
      const harness = new FaultHarness(seed, IDS);
      harness.inject('deafReplica', 12_000, 1);
      harness.advance(500);
      // db-1 alone holds the entries of this time.
      harness.find('db-0').log = [];
      harness.inject('loseLogsInTakeover', 3_000, 1);
      harness.advance(1_000, () => expect(harness.isAcknowledgedHeld()).toEqual(true));
      expect(harness.find('db-1').lostLogAt).toEqual(Number.NEGATIVE_INFINITY);
    });
  });

  // Guards against a restart that the order finds still down, so that it is refused.
  it('restart the candidate empty before the order reaches it', () => {
    checkSeeds((seed) => {
      const harness = new FaultHarness(seed, IDS);
      const candidate = harness.find('db-1');
      harness.inject('restartCandidate', 2_000, 0);
      harness.promote('db-1');
      expect([candidate.log.length, candidate.lostLogAt]).toEqual([0, ORDER_AT_MS]);
      harness.advance(10);
      expect([candidate.isAlive, candidate.startedAt < ORDER_AT_MS + CALL_MS]).toEqual([
        true,
        true,
      ]);
    });
  });

  it('restart the candidate empty within the time of a promotion after the order', () => {
    checkSeeds((seed) => {
      const harness = new FaultHarness(seed, IDS);
      const candidate = harness.find('db-1');
      harness.inject('restartCandidate', 2_000, 1);
      harness.promote('db-1');
      expect(candidate.lostLogAt).toEqual(Number.NEGATIVE_INFINITY);
      harness.advance(1_000);
      expect([candidate.isAlive, candidate.lostLogAt >= ORDER_AT_MS]).toEqual([true, true]);
      expect(candidate.lostLogAt < ORDER_AT_MS + PROMOTE_MS).toEqual(true);
    });
  });

  // Guards against a fault that stays armed after its time, or that restarts several candidates.
  it('restart only the next candidate, and none after the time of the fault', () => {
    const harness = new FaultHarness(1, IDS);
    harness.inject('restartCandidate', 2_000, 0);
    harness.promote('db-1');
    harness.promote('db-2');
    expect(harness.find('db-2').lostLogAt).toEqual(Number.NEGATIVE_INFINITY);
    harness.inject('restartCandidate', 500, 0);
    harness.advance(600);
    harness.promote('db-2');
    expect(harness.find('db-2').lostLogAt).toEqual(Number.NEGATIVE_INFINITY);
  });

  // Guards against a hook that no order of a VM reaches.
  it('restart a candidate that the VMs of a run have chosen', () => {
    const faults = [
      { kind: 'crashLeader', at: 2_000, duration: 9_000, pick: 0 },
      { kind: 'restartCandidate', at: 1_900, duration: 9_000, pick: 0 },
    ] as const;
    const scenario = { seed: 1, faults, instances: 5 };
    const run = new TakeoverSimulation(scenario, DEFAULT_TAKEOVER_RULES, OUTAGE_RUN_SETTINGS);
    run.run();
    expect(run.group.instances.length).toEqual(5);
    expect(run.group.instances.filter(({ lostLogAt }) => lostLogAt > 0).length).toEqual(1);
  });

  // Guards against a fault that ends the former leader, or no leader at all.
  [
    { name: 'with its log', pick: 0 },
    { name: 'without its log', pick: 1 },
  ].forEach(({ name, pick }) => {
    it(`crash a new leader ${name} soon after it took the lead`, () => {
      checkSeeds((seed) => {
        const harness = new FaultHarness(seed, IDS);
        const next = harness.find('db-1');
        harness.inject('changeLeaderTwice', 4_000, pick);
        expect(harness.listAlive()).toEqual(['db-1', 'db-2']);
        harness.promote('db-1');
        let hasLed = false;
        let hasCrashed = false;
        harness.advance(1_200, () => {
          hasLed ||= next.isLeader;
          hasCrashed ||= !next.isAlive;
          if (!hasLed) expect(hasCrashed).toEqual(false);
        });
        expect([hasLed, hasCrashed]).toEqual([true, true]);
        expect(next.lostLogAt > 0).toEqual(pick === 1);
      });
    });
  });

  // Guards against a fault that ends the leader which it found, or one of a much later change.
  it('leave the present leader alone, and a new one after the time of the fault', () => {
    const harness = new FaultHarness(1, IDS);
    harness.inject('crashNewLeader', 1_000, 0);
    harness.advance(1_500);
    expect(harness.listAlive()).toEqual(IDS);
    harness.promote('db-1');
    harness.advance(1_500);
    expect([harness.find('db-1').isLeader, harness.listAlive()]).toEqual([true, IDS]);
  });

  // Guards against an end of the drain time that never comes, or that ends an instance twice.
  it('end a leaving instance as planned that crashes and comes back', () => {
    checkSeeds((seed) => {
      const harness = new FaultHarness(seed, IDS);
      const leader = harness.find('db-0');
      const seen = new Set<string>();
      harness.inject('crashLeaving', 4_000, 0);
      harness.advance(3_990, () => seen.add(`${leader.isAlive}/${leader.leaving}`));
      expect([seen.has('false/true'), leader.isAlive, leader.isGone]).toEqual([true, true, false]);
      harness.advance(20);
      expect([leader.isGone, harness.group.instances.length]).toEqual([true, 4]);
      expect(harness.find('db-3').address).toEqual('db-0');
    });
  });

  it('keep a leaving instance that crashes and comes back to stay', () => {
    checkSeeds((seed) => {
      const harness = new FaultHarness(seed, IDS);
      const leader = harness.find('db-0');
      const seen = new Set<string>();
      harness.inject('crashLeaving', 4_000, 1);
      harness.advance(4_010, () => seen.add(`${leader.isAlive}/${leader.leaving}`));
      expect([seen.has('false/true'), leader.isAlive, leader.leaving]).toEqual([true, true, false]);
      harness.advance(2_000);
      expect([leader.isGone, leader.isRegistered]).toEqual([false, true]);
    });
  });

  it('start the log of a leaving replica under another id at its address', () => {
    checkSeeds((seed) => {
      const harness = new FaultHarness(seed, IDS);
      harness.inject('crashLeaving', 4_000, 5);
      const chosen = harness.group.instances.find(({ leaving }) => leaving)!;
      expect(chosen.isLeader).toEqual(false);
      const { length } = chosen.log;
      harness.advance(6_000);
      const successor = harness.find('db-3');
      expect([chosen.isGone, chosen.isRegistered]).toEqual([true, false]);
      expect([successor.address, successor.isRegistered]).toEqual([chosen.address, true]);
      expect([successor.log.length >= length, harness.group.instances.length]).toEqual([true, 4]);
    });
  });
});
