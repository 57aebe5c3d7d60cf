import type { Millis } from '@shallotpick/core';
import { ConnectionError } from './errors.js';

/** Resolves after the given time. */
export async function wait(durationMs: Millis): Promise<void> {
  await new Promise<void>((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

/** A timer that can be cancelled. */
export interface Timeout {
  readonly expired: Promise<never>;
  stop(): void;
}

/** Starts a timer that rejects with ConnectionError when it expires. */
export function startTimeout(durationMs: Millis): Timeout {
  let timer: NodeJS.Timeout | undefined;
  const expired = new Promise<never>((_, reject) => {
    timer = setTimeout(() => reject(new ConnectionError('no answer in time')), durationMs);
  });
  expired.catch(() => undefined);
  return { expired, stop: () => clearTimeout(timer) };
}

/**
 * Waits for an answer.
 *
 * @throws ConnectionError when it doesn't arrive in time.
 */
export async function waitAtMost<T>(answer: Promise<T>, durationMs: Millis): Promise<T> {
  const timeout = startTimeout(durationMs);
  try {
    return await Promise.race([answer, timeout.expired]);
  } finally {
    timeout.stop();
    // A rejection after the timeout must not go unhandled.
    answer.catch(() => undefined);
  }
}
