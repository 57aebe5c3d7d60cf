import type { Millis } from '@shallotpick/core';
import type { ItemWrite } from '@shallotpick/emulator';
import { wait } from '@shallotpick/engine';
import { TransactionCaller } from './transactioncaller.js';

/** Shorter than a pause after which a VM takes a caller for idle. */
const MAX_PAUSE_MS: Millis = 20;
/** Share of the transactions that outlast the time between SIGTERM and SIGKILL. */
const LONG_SHARE = 0.5;
const LONG_TRANSACTION_MS: Millis = 15_000;
const MAX_SHORT_TRANSACTION_MS: Millis = 1_500;
/** Share of the statements that set a value of the session. */
const SET_SHARE = 0.15;
const READ_SHARE = 0.8;
/** Writes of a transaction; a longer one only reads. */
const MAX_WRITES = 12;

/**
 * A caller that never pauses: long transactions, in which it also sets values of its session, whose
 * statements and COMMIT follow one another at once.
 */
export class RestlessCaller extends TransactionCaller {
  private nextNote = 1;

  protected override async runOperation(): Promise<void> {
    const { random, readNow } = this.options;
    const startedAt = readNow();
    const endsAt = startedAt + this.drawDuration();
    if ((await this.send('BEGIN')).failure) {
      this.count(false);
      return;
    }
    const writes: ItemWrite[] = [];
    do {
      if (!(await this.runStatement(startedAt, writes))) {
        await this.rollBack();
        return;
      }
      await wait(random.nextInt(MAX_PAUSE_MS));
    } while (readNow() < endsAt);
    await this.setNote();
    await this.commit(writes);
  }

  private drawDuration(): Millis {
    const { random } = this.options;
    if (random.next() < LONG_SHARE) return LONG_TRANSACTION_MS;
    return random.nextInt(MAX_SHORT_TRANSACTION_MS);
  }

  /** Runs one statement of the transaction; false when it fails. */
  private async runStatement(startedAt: Millis, writes: ItemWrite[]): Promise<boolean> {
    const draw = this.options.random.next();
    if (draw < SET_SHARE) {
      await this.setNote();
      return true;
    }
    if (draw < READ_SHARE || writes.length >= MAX_WRITES) return this.read(startedAt);
    const write = this.createWrite();
    writes.push(write);
    const { failure } = await this.send(
      this.formatStatement('WRITE', `${write.item} ${write.data}`),
    );
    return failure === undefined;
  }

  /** Sets a value that the statements from now on must run with. */
  private async setNote(): Promise<void> {
    const note = String(this.nextNote);
    this.nextNote += 1;
    await this.sendSetup(`SET note ${note}`);
    this.rememberNote(note);
  }
}
