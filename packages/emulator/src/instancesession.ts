import { randomBytes } from 'node:crypto';
import type { Socket } from 'node:net';
import { hasPosition } from '@shallotpick/core';
import type { Command, Operation, TransactionState, Verdict } from '@shallotpick/engine';
import {
  ENCODING,
  formatFailure,
  formatReady,
  formatPosition,
  LINE_END,
  LineReader,
  type Message,
  NONE,
  parseCommand,
  parseMessage,
} from '@shallotpick/platform';
import { match, P } from 'ts-pattern';
import type { EmulatedInstance } from './instance.js';
import type { ItemWrite } from './instancelog.js';

const DIGEST_BYTES = 8;

/** The result of a command: rows, or the verdict of a failure. */
type CommandResult = { readonly rows: readonly string[] } | { readonly verdict: Verdict };

/** An open transaction with its buffered writes. */
interface OpenTransaction {
  readonly isReadWrite: boolean;
  /** Term of the instance when the transaction began. */
  readonly term: number;
  readonly writes: ItemWrite[];
}

/** A prepared statement of the session. */
interface PreparedStatement {
  readonly access: 'read' | 'write';
  readonly shape: string;
}

const DONE: CommandResult = { rows: [] };

function isFailed(result: CommandResult): result is { readonly verdict: Verdict } {
  return 'verdict' in result;
}

/** Serves one connection to an emulated instance over the line protocol. */
export class InstanceSession {
  private readonly reader = new LineReader();

  private readonly queue: string[] = [];

  private isRunning = false;

  private isConnected = false;

  /** Who has opened the connection. */
  private caller = '';

  private transaction: OpenTransaction | undefined;

  private hasFailed = false;

  private readonly values = new Map<string, string>();

  private readonly prepared = new Map<string, PreparedStatement>();

  constructor(
    private readonly socket: Socket,
    private readonly instance: EmulatedInstance,
  ) {
    socket.setNoDelay(true);
    socket.on('data', (chunk) => this.handleData(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => instance.removeSession(this));
  }

  close(): void {
    this.socket.destroy();
  }

  private handleData(chunk: Buffer): void {
    this.queue.push(...this.reader.read(chunk));
    this.processQueue().catch(() => this.close());
  }

  private async processQueue(): Promise<void> {
    if (this.isRunning) return;
    this.isRunning = true;
    for (let line = this.queue.shift(); line !== undefined; line = this.queue.shift()) {
      await this.handleMessage(parseMessage(line));
    }
    this.isRunning = false;
  }

  private async handleMessage(message: Message): Promise<void> {
    if (message.kind === 'goodbye') this.close();
    else if (message.kind === 'connect') await this.handleConnect(message);
    else if (this.isConnected) await this.handleQuery(message.id, message.text);
    else this.close();
  }

  private async handleConnect({
    target,
    caller,
    instance: id,
  }: Message & { kind: 'connect' }): Promise<void> {
    const { instance } = this;
    const isExpected = id === undefined || id === instance.id;
    if (!isExpected || target !== instance.group.name) {
      this.socket.end(formatFailure({ verdict: 'wrongInstance', reason: id ?? '' }) + LINE_END);
    } else if (!instance.isWithinConnectionLimit()) {
      this.socket.end(formatFailure({ verdict: 'tooManyConnections', reason: '' }) + LINE_END);
    } else {
      await instance.occupySlot(instance.options.connectCostMs);
      this.isConnected = true;
      this.caller = caller;
      this.write([formatReady('idle', instance.readPosition())]);
    }
  }

  private async handleQuery(id: string, text: string): Promise<void> {
    const command = parseCommand(id, text);
    const result: CommandResult = command
      ? await this.runCommand(command)
      : { verdict: 'malformed' };
    if (!this.instance.isAlive) {
      this.close();
      return;
    }
    if (isFailed(result) && this.transaction) this.hasFailed = true;
    const digest = command?.id === undefined ? NONE : randomBytes(DIGEST_BYTES).toString('hex');
    const body = isFailed(result)
      ? [formatFailure({ verdict: result.verdict, reason: this.instance.id })]
      : [...result.rows.map((row) => `ROW ${row}`), `DONE ${digest}`];
    this.write([...body, formatReady(this.readState(), this.readAppliedPosition())]);
  }

  private readAppliedPosition() {
    const { log } = this.instance;
    return log.readPosition(log.appliedCount);
  }

  private readState(): TransactionState {
    if (!this.transaction) return 'idle';
    return this.hasFailed ? 'failed' : 'open';
  }

  private async runCommand(command: Command): Promise<CommandResult> {
    const { operation, after } = command;
    if (this.hasFailed && !['rollback', 'commit'].includes(operation.kind)) {
      return { verdict: 'malformed' };
    }
    if (after && !hasPosition(this.readAppliedPosition(), after)) return { verdict: 'lagging' };
    return match(operation)
      .with({ kind: P.union('read', 'write', 'execute') }, (data) => this.runData(command, data))
      .with({ kind: 'commit' }, () => this.commit(command))
      .otherwise((other) => this.runControl(other));
  }

  private runControl(operation: Operation): CommandResult {
    const { instance } = this;
    return match(operation)
      .with({ kind: 'begin' }, ({ isReadOnly }) => this.begin(!isReadOnly))
      .with({ kind: 'rollback' }, () => this.endTransaction())
      .with({ kind: 'set' }, ({ name, value }) => {
        this.values.set(name, value);
        return DONE;
      })
      .with({ kind: 'prepare' }, ({ name, access, shape }) => {
        this.prepared.set(name, { access, shape });
        return DONE;
      })
      .with({ kind: 'reset' }, () => {
        this.values.clear();
        this.prepared.clear();
        return DONE;
      })
      .with({ kind: P.union('status', 'pause', 'stepDown', 'resume') }, (command) => {
        instance.applyTakeoverOperation(command);
        const received = formatPosition(instance.readPosition());
        const { term, heldTerm } = instance;
        const load = `0 0 ${instance.countConnections()}`;
        return { rows: [`${instance.role} ${term} ${received} ${heldTerm} ${load}`] };
      })
      .otherwise(() => ({ verdict: 'malformed' as const }));
  }

  private begin(isReadWrite: boolean): CommandResult {
    if (this.transaction) return { verdict: 'malformed' };
    if (isReadWrite && !this.instance.isLeader) return { verdict: 'readOnly' };
    this.transaction = { isReadWrite, term: this.instance.term, writes: [] };
    return DONE;
  }

  private endTransaction(): CommandResult {
    this.transaction = undefined;
    this.hasFailed = false;
    return DONE;
  }

  /** Tells whether the instance has lost the lead since a read-write transaction began. */
  private hasLostLeadership({ isReadWrite, term }: OpenTransaction): boolean {
    return isReadWrite && (!this.instance.isLeader || this.instance.term !== term);
  }

  private async runData(
    command: Command,
    operation: Operation & { kind: 'read' | 'write' | 'execute' },
  ): Promise<CommandResult> {
    const { instance, transaction } = this;
    const prepared = operation.kind === 'execute' ? this.prepared.get(operation.name) : undefined;
    if (operation.kind === 'execute' && !prepared) return { verdict: 'unknownStatement' };
    const [, item = '', data = ''] = /^(?:\S+) (\S+) ?(.*)$/.exec(
      operation.kind === 'execute' ? `EXECUTE ${operation.rest}` : operation.text,
    ) ?? [''];
    const isWrite = operation.kind === 'write' || prepared?.access === 'write';
    const isRefused = transaction
      ? this.hasLostLeadership(transaction) || (isWrite && !transaction.isReadWrite)
      : isWrite && !instance.isLeader;
    if (isRefused) return { verdict: 'readOnly' };
    await instance.occupySlot();
    this.reportStatement(command);
    if (!isWrite) return { rows: [`${item} ${instance.log.read(item) ?? NONE}`] };
    if (transaction) transaction.writes.push({ item, data });
    else if (!(await instance.group.commit(instance, [{ item, data }]))) {
      return { verdict: 'failed' };
    }
    return { rows: [`${item} ${data}`] };
  }

  private async commit(command: Command): Promise<CommandResult> {
    const { transaction, instance } = this;
    if (!transaction || this.hasFailed) {
      this.endTransaction();
      return { verdict: 'aborted' };
    }
    const { writes } = transaction;
    if (writes.length > 0 && this.hasLostLeadership(transaction)) {
      this.endTransaction();
      return { verdict: 'readOnly' };
    }
    await instance.occupySlot();
    this.reportStatement(command);
    const isCommitted = writes.length === 0 || (await instance.group.commit(instance, writes));
    this.endTransaction();
    return isCommitted ? DONE : { verdict: 'failed' };
  }

  private reportStatement({ id, operation }: Command): void {
    const { values, instance, caller } = this;
    instance.group.observer.handleStatement({
      ...{ id, group: instance.group.name, instance: instance.id, caller, values, operation },
    });
  }

  private write(lines: readonly string[]): void {
    if (!this.socket.writable) return;
    this.socket.write(lines.map((line) => line + LINE_END).join(''), ENCODING);
  }
}
