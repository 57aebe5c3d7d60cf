import { wait } from '@shallotpick/engine';
import { SoakCaller } from './caller.js';
import type { CallerSession } from './callersession.js';

const MAX_BURST = 8;
/** Share of the requests behind which a burst pauses for less than this. */
const SPLIT_SHARE = 0.3;
const MAX_SPLIT_MS = 30;
/** Limit of the pause between two bursts. */
const MAX_PAUSE_MS = 120;
/** Share of the operations after which the caller ends its session in the usual way. */
const LEAVE_SHARE = 0.05;

/** Waits for all answers, then throws the first failure, so that no request is left behind. */
async function waitForAll(answers: readonly Promise<unknown>[]): Promise<void> {
  const results = await Promise.allSettled(answers);
  const failed = results.find((one): one is PromiseRejectedResult => one.status === 'rejected');
  if (failed) throw failed.reason;
}

/**
 * A caller that sends requests ahead of answers: its first ones in one piece with CONNECT, further
 * ones in small bursts.
 */
export class PipeliningCaller extends SoakCaller {
  protected override async connect(session: CallerSession): Promise<void> {
    await waitForAll([
      session.connect(this.options.route.database),
      ...this.listSetup().map((text) => this.sendSetup(text)),
    ]);
  }

  protected override async runOperation(): Promise<void> {
    const { random } = this.options;
    const length = 1 + random.nextInt(MAX_BURST);
    const burst: Promise<unknown>[] = [];
    for (let index = 0; index < length; index++) {
      const answer = random.next() < 0.6 ? this.read() : this.write();
      // A failure before the last piece is out is thrown with the others.
      answer.catch(() => undefined);
      burst.push(answer);
      // Requests of one burst may go out in several pieces.
      if (random.next() < SPLIT_SHARE) await wait(random.nextInt(MAX_SPLIT_MS));
    }
    await waitForAll(burst);
    if (random.next() < LEAVE_SHARE) this.leave();
    await wait(random.nextInt(MAX_PAUSE_MS));
  }
}
