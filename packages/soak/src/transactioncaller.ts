import type { ItemWrite } from '@shallotpick/emulator';
import { wait } from '@shallotpick/engine';
import { SoakCaller } from './caller.js';
import type { CallerSession } from './callersession.js';

const MAX_STATEMENTS = 3;
const MAX_PAUSE_MS = 25;
/** Shares of the transactions that the caller rolls back, or abandons by disconnecting. */
const ROLLBACK_SHARE = 0.15;
const DISCONNECT_SHARE = 0.05;

/** A caller with one request at a time: single statements and transactions. */
export class TransactionCaller extends SoakCaller {
  protected override async connect(session: CallerSession): Promise<void> {
    await session.connect(this.options.route.database);
    for (const text of this.listSetup()) await this.sendSetup(text);
  }

  protected override async runOperation(): Promise<void> {
    const { random } = this.options;
    const kind = random.next();
    if (kind < 0.5) await this.read();
    else if (kind < 0.75) await this.write();
    else await this.runTransaction();
  }

  /** Runs a transaction of reads and writes; some are rolled back or abandoned. */
  private async runTransaction(): Promise<void> {
    const { random, readNow } = this.options;
    const startedAt = readNow();
    const begun = await this.send('BEGIN');
    if (begun.failure) {
      this.count(false);
      return;
    }
    const writes: ItemWrite[] = [];
    const length = 1 + random.nextInt(MAX_STATEMENTS);
    let isIntact = true;
    for (let index = 0; index < length && isIntact; index++) {
      if (random.next() < 0.5) {
        isIntact = await this.read(startedAt);
      } else {
        const write = this.createWrite();
        const text = this.formatStatement('WRITE', `${write.item} ${write.data}`);
        const { failure } = await this.send(text);
        writes.push(write);
        isIntact = failure === undefined;
      }
      await wait(random.nextInt(MAX_PAUSE_MS));
    }
    const ending = random.next();
    if (ending < DISCONNECT_SHARE) this.leave();
    if (!isIntact || ending < DISCONNECT_SHARE + ROLLBACK_SHARE) await this.rollBack();
    else await this.commit(writes);
  }

  protected async commit(writes: readonly ItemWrite[]): Promise<void> {
    this.options.checker.recordCommitRequest(writes);
    this.recordOutcome(writes, await this.send('COMMIT'));
  }

  protected async rollBack(): Promise<void> {
    await this.send('ROLLBACK');
  }
}
