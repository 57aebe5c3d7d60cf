import { setTimeout as sleep } from 'node:timers/promises';
import type { DaemonStatus } from './operatorcommand.js';
import { CommandError } from './errors.js';

const POLL_MS = 250;

/** Names of the daemons where the note is not yet in force. */
export function listPendingDaemons(
  statuses: readonly DaemonStatus[],
  number: number,
): readonly string[] {
  return statuses
    .filter(({ status }) => !status || status.noteNumber < number)
    .map(({ address, status }) => status?.vm ?? `${address} (no answer)`);
}

/**
 * Waits until a note is in force on all daemons and reports each change of the progress.
 *
 * @throws CommandError that names the daemons where it is not, after `timeoutMs`.
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
    const done = statuses.length - missing.length;
    const rest = missing.length > 0 ? `; not yet on ${missing.join(', ')}` : '';
    const line = `note ${number} is in force on ${done} of ${statuses.length} daemons${rest}`;
    if (line !== reported) report(line);
    reported = line;
    if (missing.length === 0) return;
    if (Date.now() >= deadline) throw new CommandError('notInForce', line, { missing });
    await sleep(POLL_MS);
  }
}
