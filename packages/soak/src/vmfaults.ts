import type { Millis } from '@shallotpick/core';
import { wait } from '@shallotpick/engine';
import { match } from 'ts-pattern';
import { injectProxyFault, PROXY_FAULTS } from './proxyfaults.js';
import type { SoakVm } from './vm.js';

/** Kinds that affect VMs and their paths to the store, the promotion service and the callers. */
export const VM_KINDS = [
  'stopVm',
  'killVm',
  'killAllVms',
  'pauseVm',
  'reloadVm',
  'stepClock',
  'silenceStore',
  'cutStoreOneWay',
  'delayStore',
  'resetStore',
  'abandonStore',
  'silencePromotions',
  'resetCallers',
] as const;

/** A kind of fault of VMs and their paths. */
export type VmFaultKind = (typeof VM_KINDS)[number];

const RESTART_MS: Millis = 400;

async function restart(vms: readonly SoakVm[], end: (vm: SoakVm) => Promise<void>): Promise<void> {
  await Promise.all(
    vms.map(async (vm) => {
      if (vm.isPaused) vm.resume();
      await end(vm);
      await wait(RESTART_MS);
      vm.start();
    }),
  );
}

/** Stops the VMs with an interval between the signals; each starts again after a short time. */
export async function restartInOrder(vms: readonly SoakVm[], intervalMs: Millis): Promise<void> {
  await Promise.all(
    vms.map(async (vm, index) => {
      await wait(index * intervalMs);
      await restart([vm], (one) => one.stop());
    }),
  );
}

/** Kills all VMs at one moment; they start again after a short time. */
export async function killAll(vms: readonly SoakVm[]): Promise<void> {
  await restart(vms, (one) => one.kill());
}

/** Injects a fault of a VM, or of all, which ends after its duration. */
export async function injectVmFault(
  kind: VmFaultKind,
  vms: readonly SoakVm[],
  vm: SoakVm,
  durationMs: Millis,
): Promise<void> {
  const { storeProxy, promotionProxy } = vm;
  const { silence, cutOneWay, delay, refuse } = PROXY_FAULTS;
  await match(kind)
    .with('stopVm', () => restart([vm], (one) => one.stop()))
    .with('killVm', () => restart([vm], (one) => one.kill()))
    .with('killAllVms', () => killAll(vms))
    .with('pauseVm', async () => {
      vm.pause();
      await wait(durationMs);
      vm.resume();
    })
    .with('reloadVm', async () => vm.reload())
    .with('stepClock', async () => {
      vm.stepClock();
      await wait(durationMs);
      vm.stepClock();
    })
    .with('silenceStore', () => injectProxyFault(storeProxy, durationMs, silence))
    .with('cutStoreOneWay', () => injectProxyFault(storeProxy, durationMs, cutOneWay))
    .with('delayStore', () => injectProxyFault(storeProxy, durationMs, delay))
    .with('resetStore', () => injectProxyFault(storeProxy, durationMs, refuse))
    .with('abandonStore', async () => storeProxy.silenceOpenConnections())
    .with('silencePromotions', () => injectProxyFault(promotionProxy, durationMs, silence))
    .with('resetCallers', async () => vm.resetCallers())
    .exhaustive();
}
