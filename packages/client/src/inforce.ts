import { setTimeout as sleep } from 'node:timers/promises';
import type { DaemonStatus } from './operatorcommand.js';
import { CommandError } from './errors.js';

const POLL_INTERVAL_MS = 250;

/** Lists the daemons where the note is not yet in force. */
export function listPendingDaemons(
  statuses: readonly DaemonStatus[],
  number: number,
): readonly string[] {
  return statuses
    .filter(({ status }) => !status || status.noteNumber < number)
    .map(({ address, status }) => status?.vm ?? `${address} (no answer)`);
}

/**
 * Waits until a note is in force on all daemons and reports each change in progress.
 *
 * @throws CommandError that names the daemons where it is not in force after `timeoutMs`.
 */
export async function waitUntilInForce(
  number: number,
  timeoutMs: number,
  readStatuses: () => Promise<readonly DaemonStatus[]>,
  report: (line: string) => void,
): Promise<void> {
  const deadline = Date.now() + timeoutMs;
  let reported = '';
  for (;;) {
    const statuses = await readStatuses();
    const missing = listPendingDaemons(statuses, number);
    const readyCount = statuses.length - missing.length;
    const rest = missing.length > 0 ? `; not yet on ${missing.join(', ')}` : '';
    const line = `note ${number} is in force on ${readyCount} of ${statuses.length} daemons${rest}`;
    if (line !== reported) report(line);
    reported = line;
    if (missing.length === 0) return;
    if (Date.now() >= deadline) throw new CommandError('notInForce', line, { missing });
    await sleep(POLL_INTERVAL_MS);
  }
}
