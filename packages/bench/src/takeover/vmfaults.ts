import type { Random } from '../random.js';
import type { VirtualClock } from './clock.js';
import type { SyncInstance } from './syncinstance.js';
import type { SimulatedVm } from './vm.js';

const RESTART_MS = 500;
const STALE_STEP_MS = 700;
const STORE_DELAY_STEP_MS = 300;
/** VMs that are killed at about one moment are killed within this time. */
const KILL_SPREAD_MS = 300;

/** Faults of the VMs, and of what they reach. */
export class VmFaults {
  constructor(
    private readonly vms: readonly SimulatedVm[],
    private readonly clock: VirtualClock,
    private readonly random: Random,
  ) {}

  pause(pick: number, duration: number): void {
    const vm = this.pick(pick);
    vm.isPaused = true;
    this.clock.schedule(duration, () => vm.resume());
  }

  kill(pick: number): void {
    this.killVm(this.pick(pick));
  }

  /** Kills all VMs, each a little apart. */
  killAll(): void {
    this.vms.forEach((vm) =>
      this.clock.schedule(this.random.nextInt(KILL_SPREAD_MS), () => this.killVm(vm)),
    );
  }

  cutFromStore(pick: number, duration: number): void {
    const vm = this.pick(pick);
    vm.isCutFromStore = true;
    this.clock.schedule(duration, () => Object.assign(vm, { isCutFromStore: false }));
  }

  /** Delays the store's answers to a VM. */
  delayStore(pick: number, duration: number): void {
    const vm = this.pick(pick);
    vm.storeDelayMs = (pick + 1) * STORE_DELAY_STEP_MS;
    this.clock.schedule(duration, () => Object.assign(vm, { storeDelayMs: 0 }));
  }

  /**
   * Cuts all VMs but one from an instance, and that one from the store, or delays the store's
   * answers to it. The cuts end together.
   */
  split(instance: SyncInstance, pick: number, duration: number): void {
    const index = pick % this.vms.length;
    if (pick < this.vms.length) this.cutFromStore(pick, duration);
    else this.delayStore(pick, duration);
    const cut = this.vms.filter((_, other) => other !== index);
    this.cutVms(cut, instance.id, duration);
  }

  /** Lets the store answer a VM with lists that are out of date. */
  delayLists(pick: number, duration: number): void {
    const vm = this.pick(pick);
    vm.staleMs = (pick + 1) * STALE_STEP_MS;
    this.clock.schedule(duration, () => Object.assign(vm, { staleMs: 0 }));
  }

  /** Cuts all VMs from an instance, or all but one. */
  cutFromInstance({ id }: SyncInstance, pick: number, duration: number): void {
    const cut = this.vms.filter((_, index) => pick === 0 || index !== pick % this.vms.length);
    this.cutVms(cut, id, duration);
  }

  private cutVms(vms: readonly SimulatedVm[], id: string, duration: number): void {
    vms.forEach((vm) => vm.unreachable.add(id));
    this.clock.schedule(duration, () => vms.forEach((vm) => vm.unreachable.delete(id)));
  }

  private killVm(vm: SimulatedVm): void {
    vm.restart();
    Object.assign(vm, { isPaused: true });
    this.clock.schedule(RESTART_MS, () => vm.resume());
  }

  private pick(pick: number): SimulatedVm {
    return this.vms[pick % this.vms.length]!;
  }
}
