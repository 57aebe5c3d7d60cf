import type { Millis } from '@shallotpick/core';

/**
 * Interval for rereading files. Polling a few small files is cheap, and a file watcher misses the
 * rename of a mounted directory.
 */
const RELOAD_INTERVAL_MS: Millis = 1_000;

/** Calls `load` at a regular interval; the timer doesn't keep the process running. */
export function startReloading(
  load: () => Promise<void>,
  onFailure: (error: string) => void,
): NodeJS.Timeout {
  return setInterval(() => {
    load().catch((error: unknown) => onFailure(String(error)));
  }, RELOAD_INTERVAL_MS).unref();
}
