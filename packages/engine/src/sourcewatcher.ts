import type { Clock, Millis } from '@shallotpick/core';
import type { ConfigurationHolder } from './configuration.js';
import type { GroupDirectory } from './directory.js';
import type { EraAwareStore } from './era.js';
import type { Forwarding } from './forwarding.js';
import type { Placement } from './placement.js';
import type { Proxy } from './proxy.js';
import type { ProxyParts } from './proxyparts.js';
import { ObjectWatcher, type ObjectWatcherOptions } from './watcher.js';

/** Time after the wait of a lost watch call in which it is given up and its kind is listed. */
export const LOST_WATCH_MS: Millis = 1_500;
/** Shorter calls would cost too many of them. */
const MIN_WATCH_MS: Millis = 1_000;

/** Receivers of what the store holds, created after its watchers. */
export interface SourceReceivers {
  proxy?: Pick<Proxy, 'roster' | 'applyRoster'>;
  groups?: GroupDirectory;
  forwarding?: Pick<Forwarding, 'requestConfiguration'>;
}

/** What the watchers of the store need. */
export interface SourceOptions {
  readonly parts: ProxyParts;
  readonly store: EraAwareStore;
  readonly clock: Clock;
  /** Clock that includes suspensions of the VM. */
  readonly ageClock: Clock;
  readonly placement: Placement;
  readonly configuration: ConfigurationHolder;
  readonly receivers: SourceReceivers;
}

type WatcherParts = Pick<
  ObjectWatcherOptions,
  'kind' | 'findWatchTime' | 'onListing' | 'onChange'
> &
  Partial<Pick<ObjectWatcherOptions, 'onAnswer' | 'clock' | 'isNeeded' | 'countWatchers'>>;

/** Computes the wait of a watch call such that a change which it loses is known within the time. */
export function computeWatchTime(limitMs: Millis): Millis {
  return Math.max(MIN_WATCH_MS, limitMs - LOST_WATCH_MS);
}

/** Creates a watcher that runs while this VM is a home of some group. */
export function createWatcher(
  { parts, store, clock, placement, receivers }: SourceOptions,
  watched: WatcherParts,
): ObjectWatcher {
  return new ObjectWatcher({
    ...{ store, clock, log: parts.log, random: Math.random },
    countWatchers: () => 1,
    isNeeded: () => receivers.groups?.mayPlace() === true && placement.isAnyHome(),
    onAnswer: () => undefined,
    ...watched,
  });
}
