import {
  type Command,
  ConnectionError,
  type Reply,
  type TransactionState,
  wait,
} from '@shallotpick/engine';
/* eslint-disable import-x/no-relative-packages -- Test code of the engine is not in its package. */
import { FakeConnection, FakeInstance } from '../../engine/test/fake.js';
/* eslint-enable import-x/no-relative-packages */

/** The text that a command is recognised by. */
export function describeCommand({
  id = '-',
  operation,
}: Pick<Command, 'id' | 'operation'>): string {
  return `${id} ${operation.kind}`;
}

/** A connection that answers each command, in turn, with a row that names the command. */
export class EchoConnection extends FakeConnection {
  private readonly breaks: Promise<never>;

  private breakOff: (error: Error) => void = () => undefined;

  private isLosing = false;

  private last: Promise<unknown> = Promise.resolve();

  /** `readDelayMs` tells how long the next command takes; undefined to lose it. */
  constructor(private readonly readDelayMs: () => number | undefined) {
    super(new FakeInstance('i'));
    this.breaks = new Promise((_, reject) => {
      this.breakOff = reject;
    });
    this.breaks.catch(() => undefined);
  }

  /** Has the next command close the connection as soon as it is sent. */
  loseNext(): void {
    this.isLosing = true;
  }

  override async run(command: Command): Promise<Reply> {
    if (this.isLosing) this.close();
    const reply = this.last.then(() => this.runNext(command));
    this.last = reply.catch(() => undefined);
    return Promise.race([reply, this.breaks]);
  }

  override close(): void {
    super.close();
    this.breakOff(new ConnectionError('closed'));
  }

  private async runNext(command: Command): Promise<Reply> {
    const delayMs = this.readDelayMs();
    if (delayMs === undefined) {
      this.close();
      throw new ConnectionError('lost');
    }
    await wait(delayMs);
    this.state = this.findState(command);
    const rows = [describeCommand(command)];
    return { rows, digest: 'd', failure: undefined, state: this.state, position: undefined };
  }

  private findState({ operation: { kind } }: Command): TransactionState {
    if (kind === 'begin') return 'open';
    return kind === 'commit' || kind === 'rollback' ? 'idle' : this.state;
  }
}
