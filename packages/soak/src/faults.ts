import type { Random } from '@shallotpick/bench';
import type { Millis } from '@shallotpick/core';
import type {
  EmulatedGroup,
  EmulatedInstance,
  EmulatedPlatform,
  FaultProxy,
} from '@shallotpick/emulator';
import { wait } from '@shallotpick/engine';
import { match } from 'ts-pattern';
import { DRAIN_MS, type SoakVm } from './vm.js';

/** Kinds that stand twice are drawn twice as often. */
const FAULT_KINDS = [
  'stopVm',
  'stopVm',
  'killVm',
  'killVm',
  'killAllVms',
  'pauseVm',
  'pauseVm',
  'reloadVm',
  'stepClock',
  'silenceStore',
  'cutStoreOneWay',
  'delayStore',
  'resetStore',
  'abandonStore',
  'silencePromotions',
  'storeDown',
  'loseWrites',
  'compactStore',
  'crashLeader',
  'crashLeader',
  'crashReplica',
  'silenceLeader',
  'silenceReplica',
  'cutLeaderOneWay',
  'delayInstance',
  'resetInstance',
  'resetLeader',
  'abandonInstance',
  'replaceLeader',
  'replaceReplica',
  'splitGroup',
  'deafReplica',
  'resetCallers',
] as const;

export type SoakFaultKind = (typeof FAULT_KINDS)[number];

/** Faults after which a broken request may be the fault's work, not the shutdown's. */
const PLANNED: ReadonlySet<SoakFaultKind> = new Set<SoakFaultKind>([
  'stopVm',
  'reloadVm',
  'compactStore',
]);

/** One fault; `pick` chooses what it affects. */
export interface SoakFault {
  readonly kind: SoakFaultKind;
  readonly at: Millis;
  readonly durationMs: Millis;
  readonly targetSeed: number;
}

const MAX_FAULT_MS: Millis = 4_500;
const MIN_FAULT_MS: Millis = 150;
const DELAY_MS: Millis = 250;
const LOST_PART = 0.4;
const RESTART_MS: Millis = 400;
const MAX_SERIES = 3;

/** Draws faults in series that overlap, all started within `windowMs`. */
export function createFaultSchedule(random: Random, windowMs: Millis, series: number): SoakFault[] {
  const faults = Array.from({ length: series }, () => {
    const start = random.nextInt(windowMs);
    return Array.from({ length: 1 + random.nextInt(MAX_SERIES) }, (_, index): SoakFault => ({
      kind: FAULT_KINDS[random.nextInt(FAULT_KINDS.length)]!,
      at: start + index * random.nextInt(MAX_FAULT_MS / MAX_SERIES),
      durationMs: MIN_FAULT_MS + random.nextInt(MAX_FAULT_MS - MIN_FAULT_MS),
      targetSeed: random.nextInt(2 ** 16),
    }));
  });
  return faults.flat().sort((a, b) => a.at - b.at);
}

export function isNonDisruptive({ kind }: SoakFault): boolean {
  return PLANNED.has(kind);
}

function chooseReplica({ instances }: EmulatedGroup, pick: number): EmulatedInstance | undefined {
  const replicas = instances.filter(({ isLeader: leads }) => !leads);
  return replicas[pick % Math.max(1, replicas.length)];
}

function chooseAny({ instances }: EmulatedGroup, pick: number): EmulatedInstance | undefined {
  return instances[pick % Math.max(1, instances.length)];
}

const silence = (proxy: FaultProxy): void => proxy.silence('toServer', 'toClient');
const cutOneWay = (proxy: FaultProxy): void => proxy.silence('toClient');
const delay = (proxy: FaultProxy): void => proxy.delay(DELAY_MS);
const refuse = (proxy: FaultProxy): void => proxy.refuse();

/** Injects faults into VMs, their paths and the platform. */
export class FaultInjector {
  private readonly pending = new Set<Promise<void>>();

  constructor(
    private readonly platform: EmulatedPlatform,
    private readonly vms: readonly SoakVm[],
    private readonly zones: readonly string[],
  ) {}

  /** Starts a fault; it ends by itself. */
  start({ kind, durationMs: duration, targetSeed: pick }: SoakFault): void {
    const done = this.run(kind, duration, pick).finally(() => this.pending.delete(done));
    this.pending.add(done);
  }

  /** Waits until every fault has ended. */
  async waitForCompletion(): Promise<void> {
    while (this.pending.size > 0) await Promise.all(this.pending);
  }

  private async run(kind: SoakFaultKind, duration: Millis, pick: number): Promise<void> {
    const vm = this.vms[pick % this.vms.length]!;
    const group = this.platform.groups[pick % this.platform.groups.length]!;
    const { storeService, faults, store } = this.platform;
    await match(kind)
      .with('stopVm', () => this.restart([vm], (one) => one.stop()))
      .with('killVm', () => this.restart([vm], (one) => one.kill()))
      .with('killAllVms', () => this.restart(this.vms, (one) => one.kill()))
      .with('pauseVm', async () => {
        vm.pause();
        await wait(duration);
        vm.resume();
      })
      .with('reloadVm', async () => vm.reload())
      .with('stepClock', async () => {
        vm.stepClock();
        await wait(duration);
        vm.stepClock();
      })
      .with('silenceStore', () => this.disturb(vm.storeProxy, duration, silence))
      .with('cutStoreOneWay', () => this.disturb(vm.storeProxy, duration, cutOneWay))
      .with('delayStore', () => this.disturb(vm.storeProxy, duration, delay))
      .with('resetStore', () => this.disturb(vm.storeProxy, duration, refuse))
      .with('abandonStore', async () => vm.storeProxy.silenceOpenConnections())
      .with('silencePromotions', () => this.disturb(vm.promotionProxy, duration, silence))
      .with('storeDown', async () => {
        storeService.isDown = true;
        await wait(duration);
        storeService.isDown = false;
      })
      .with('loseWrites', async () => {
        faults.unansweredWriteShare = LOST_PART;
        await wait(duration);
        faults.unansweredWriteShare = 0;
      })
      .with('compactStore', async () => store.compactHistory())
      .with('crashLeader', () => this.crash(group.findLeader(), duration))
      .with('crashReplica', () => this.crash(chooseReplica(group, pick), duration))
      .with('silenceLeader', () => this.disturbOne(group.findLeader(), duration, silence))
      .with('silenceReplica', () => this.disturbOne(chooseReplica(group, pick), duration, silence))
      .with('cutLeaderOneWay', () => this.disturbOne(group.findLeader(), duration, cutOneWay))
      .with('delayInstance', () => this.disturbOne(chooseAny(group, pick), duration, delay))
      .with('resetInstance', () => this.disturbOne(chooseAny(group, pick), duration, refuse))
      .with('resetLeader', () =>
        this.disturbOne(group.findLeader(), 0, (proxy) => proxy.resetConnections()),
      )
      .with('abandonInstance', () =>
        this.disturbOne(chooseAny(group, pick), 0, (proxy) => proxy.silenceOpenConnections()),
      )
      .with('replaceLeader', () => this.replace(group, group.findLeader()))
      .with('replaceReplica', () => this.replace(group, chooseReplica(group, pick)))
      .with('splitGroup', async () => {
        group.isPartitioned = true;
        await wait(duration);
        group.isPartitioned = false;
      })
      .with('deafReplica', async () => {
        const replica = chooseReplica(group, pick);
        if (!replica) return;
        replica.isReplicationStopped = true;
        await wait(duration);
        replica.isReplicationStopped = false;
      })
      .with('resetCallers', async () => vm.callerProxy.resetConnections())
      .exhaustive();
  }

  private async restart(vms: readonly SoakVm[], end: (vm: SoakVm) => Promise<void>) {
    await Promise.all(
      vms.map(async (vm) => {
        if (vm.isPaused) vm.resume();
        await end(vm);
        await wait(RESTART_MS);
        vm.start();
      }),
    );
  }

  private async disturb(
    proxy: FaultProxy,
    duration: Millis,
    apply: (proxy: FaultProxy) => void,
  ): Promise<void> {
    apply(proxy);
    await wait(duration);
    proxy.clearFaults();
  }

  private async disturbOne(
    instance: EmulatedInstance | undefined,
    duration: Millis,
    apply: (proxy: FaultProxy) => void,
  ): Promise<void> {
    const proxy = instance && this.platform.findProxy(instance);
    if (proxy) await this.disturb(proxy, duration, apply);
  }

  private async crash(instance: EmulatedInstance | undefined, duration: Millis): Promise<void> {
    if (!instance?.isAlive) return;
    await instance.stop();
    await wait(duration);
    const isKept = instance.group.instances.includes(instance);
    if (isKept && !instance.isAlive) await instance.start();
  }

  /** Starts a new instance, then lets the old one leave. */
  private async replace(group: EmulatedGroup, leaving: EmulatedInstance | undefined) {
    // One change of the members at a time.
    if (!leaving?.isAlive || group.instances.some((one) => one.isLeaving)) return;
    const old = leaving;
    await this.platform.addInstance(
      group,
      this.zones[group.instances.length % this.zones.length] ?? '',
    );
    old.isLeaving = true;
    this.platform.reportInstance(old);
    await wait(DRAIN_MS);
    await this.platform.removeInstance(old);
  }
}
