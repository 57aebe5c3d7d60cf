import type { Millis } from '@shallotpick/core';
import { createWatcher, computeWatchTime, type SourceOptions } from './sourcewatcher.js';
import { SharedRun } from './sharedrun.js';
import type { StoredObject } from './store.js';
import { PROMOTIONS_KIND } from './takeover.js';
import { MAX_WATCH_PAUSE_MS, type ObjectWatcher } from './watcher.js';

/** Promotion records are written conditionally, so reading one late does no harm. */
const PROMOTIONS_WATCH_MS: Millis = 12_000;

/** The watcher of the registered instances. */
export interface InstanceSource {
  readonly watcher: ObjectWatcher;
  /** Lists the instances anew and applies what has changed; the list begins after the call. */
  refresh(): Promise<void>;
}

/** Creates the source of the registered instances. */
export function createInstanceSource(options: SourceOptions): InstanceSource {
  const { parts, store, clock, placement, receivers } = options;
  const { instancesKind: kind } = parts;
  // A leaving instance may be reported in the pause before the call that is lost.
  const watchMs = computeWatchTime(parts.drainMs - MAX_WATCH_PAUSE_MS);
  const handleListing = (objects: readonly StoredObject[], isPartial: boolean): void => {
    const decoded = objects.flatMap((object) => parts.decodeInstance(object) ?? []);
    const roster = receivers.proxy?.roster;
    if (isPartial) decoded.forEach((instance) => roster?.update(instance));
    else roster?.updateAll(decoded, clock.readNow());
  };
  const watcher = createWatcher(options, {
    kind,
    findWatchTime: () => watchMs,
    countWatchers: () => placement.countPool(),
    onListing: (objects, _, isPartial) => handleListing(objects, isPartial),
    onChange: (object, isDeleted) => {
      const decoded = isDeleted ? undefined : parts.decodeInstance(object);
      if (decoded) receivers.proxy?.roster.update(decoded);
      else receivers.proxy?.roster.remove(object.name, clock.readNow());
    },
  });
  // The takeovers of all groups ask for lists, and ask again while they have none.
  const refreshes = new SharedRun(async () => {
    const { objects, isPartial = false } = await store.list(kind);
    handleListing(objects, isPartial);
    receivers.proxy?.applyRoster();
  });
  return { watcher, refresh: async () => refreshes.run() };
}

/** Creates the watcher of the promotion records, which the takeovers of the local groups receive. */
export function createPromotionWatcher(options: SourceOptions): ObjectWatcher {
  const { receivers } = options;
  const handleRecord = (object: StoredObject, era: number): void =>
    receivers.groups?.findLocal(object.name)?.takeover.handleRecordObject(object, era);
  /** Tells the groups whose record a whole listing lacks. */
  const handleMissing = (objects: readonly StoredObject[], era: number): void => {
    const names = new Set(objects.map(({ name }) => name));
    const groups = receivers.groups?.listLocal().filter(({ name }) => !names.has(name)) ?? [];
    groups.forEach(({ takeover }) => takeover.handleRecordObject(undefined, era));
  };
  return createWatcher(options, {
    kind: PROMOTIONS_KIND,
    findWatchTime: () => PROMOTIONS_WATCH_MS,
    onListing: (objects, { era }, isPartial) => {
      objects.forEach((object) => handleRecord(object, era));
      if (!isPartial) handleMissing(objects, era);
    },
    onChange: (object, isDeleted, { era }) => {
      if (!isDeleted) handleRecord(object, era);
    },
    onAnswer: (askedAt) =>
      receivers.groups?.listLocal().forEach(({ takeover }) => takeover.handleAnswer(askedAt)),
  });
}
