import type { Millis } from '@shallotpick/core';
import type { EmulatedInstance, EmulatedPlatform, FaultProxy } from '@shallotpick/emulator';
import { wait } from '@shallotpick/engine';

const DELAY_MS: Millis = 250;

/** What a proxy does to its connections until its faults are cleared. */
export type ProxyFault = (proxy: FaultProxy) => void;

/** The faults of a proxy. */
export const PROXY_FAULTS = {
  silence: (proxy) => proxy.silence('toServer', 'toClient'),
  cutOneWay: (proxy) => proxy.silence('toClient'),
  delay: (proxy) => proxy.delay(DELAY_MS),
  refuse: (proxy) => proxy.refuse(),
  reset: (proxy) => proxy.resetConnections(),
  abandon: (proxy) => proxy.silenceOpenConnections(),
} satisfies Record<string, ProxyFault>;

/** Applies a fault to a proxy and clears it after its duration. */
export async function injectProxyFault(
  proxy: FaultProxy,
  durationMs: Millis,
  apply: ProxyFault,
): Promise<void> {
  apply(proxy);
  await wait(durationMs);
  proxy.clearFaults();
}

/** Applies a fault to the proxy in front of an instance. */
export async function injectInstanceFault(
  platform: EmulatedPlatform,
  instance: EmulatedInstance | undefined,
  durationMs: Millis,
  apply: ProxyFault,
): Promise<void> {
  const proxy = instance && platform.findProxy(instance);
  if (proxy) await injectProxyFault(proxy, durationMs, apply);
}
