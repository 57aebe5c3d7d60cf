import {
  classifyStatement,
  type Clock,
  type Configuration,
  type Contract,
  findContract,
  formatPosition,
  type LogPosition,
  parsePosition,
  type Statement,
} from '@shallotpick/core';
import {
  BACKEND,
  encodeCommandComplete,
  encodeError,
  encodeParameterStatus,
  encodeReady,
  type ErrorFields,
  type Frame,
  FRONTEND,
  parseFields,
  parseParse,
  parseQuery,
} from '@shallotpick/wire';
import { match, P } from 'ts-pattern';
import type { CallerConnection, CallerHandler, CallerRequest } from './caller.js';
import type { AnswerSink, InstanceConnection } from './connection.js';
import { RefusedError } from './errors.js';
import type { GroupServer, Lease } from './group.js';
import type { Log } from './log.js';
import { SQLSTATE } from './sqlstate.js';

const TOKEN_PARAMETER = 'shallotpick.token';
const MAX_ATTEMPTS = 3;

export interface SessionOptions {
  readonly caller: CallerConnection;
  readonly clock: Clock;
  readonly log: Log;
  readonly queueDeadlineMs: number;
  readonly findGroup: (name: string) => GroupServer | undefined;
  readonly readConfiguration: () => Configuration;
}

/** Passes an answer on, and holds the success of a write until a majority has it. */
class Relay implements AnswerSink {
  private output: Buffer[] = [];

  private readonly held: Buffer[] = [];

  /** True once a byte of the answer has reached the caller. */
  hasSent = false;

  /** SQLSTATE of the first error of the answer. */
  errorCode: string | undefined;

  constructor(
    private readonly caller: CallerConnection,
    private readonly connection: InstanceConnection,
    private readonly holds: boolean,
  ) {}

  handleFrame({ type, raw, body }: Frame): void {
    if (type === BACKEND.error) this.errorCode ??= parseFields(body).get('C');
    const starts = type === BACKEND.commandComplete || type === BACKEND.readyForQuery;
    if (this.held.length > 0 || (this.holds && starts)) this.held.push(raw);
    else if (type === BACKEND.readyForQuery) this.held.push(raw);
    else this.output.push(raw);
  }

  flush(): boolean {
    // An error is kept until the end of the answer: the request may run elsewhere.
    if (this.output.length === 0 || this.errorCode !== undefined) return false;
    const bytes = Buffer.concat(this.output);
    this.output = [];
    this.hasSent = true;
    return this.caller.send(bytes, () => this.connection.resume());
  }

  /** True when the answer contains a completed command that is not passed on yet. */
  hasHeld(): boolean {
    return this.held.length > 1;
  }

  /** Sends what is left of the answer. */
  finish(): void {
    this.caller.send(Buffer.concat([...this.output, ...this.held]));
  }
}

/** The statements of a request, decoded as far as routing needs. */
function listStatements(request: CallerRequest): readonly Statement[] {
  return request.frames.flatMap(({ type, body }) => {
    if (type === FRONTEND.query) return [classifyStatement(parseQuery(body))];
    return type === FRONTEND.parse ? [classifyStatement(parseParse(body).text)] : [];
  });
}

/** One caller's session: its floor, its transaction, and its requests in order. */
export class Session implements CallerHandler {
  private group: GroupServer | undefined;

  private user = '';

  private applicationName = '';

  private floor: LogPosition | undefined;

  private lease: Lease | undefined;

  private wrote = false;

  private hasFailedTransaction = false;

  constructor(private readonly options: SessionOptions) {}

  async handleStart(parameters: ReadonlyMap<string, string>): Promise<ErrorFields | undefined> {
    const database = parameters.get('database') ?? parameters.get('user') ?? '';
    this.user = parameters.get('user') ?? '';
    this.applicationName = parameters.get('application_name') ?? '';
    this.group = this.options.findGroup(database);
    const token = /shallotpick\.token=(\S+)/.exec(parameters.get('options') ?? '')?.[1];
    this.floor = token ? parsePosition(token) : undefined;
    if (this.group) return undefined;
    const message = `database group "${database}" is not known`;
    return { severity: 'FATAL', code: SQLSTATE.unknownDatabase, message };
  }

  async handleRequest(request: CallerRequest): Promise<void> {
    const statements = listStatements(request);
    const refusal = this.findRefusal(statements);
    if (refusal) {
      this.sendError(refusal);
      return;
    }
    const kinds = new Set(statements.map(({ kind }) => kind));
    if (this.hasFailedTransaction) this.answerFailed(kinds);
    else if (this.lease) await this.runInTransaction(request, this.lease, kinds);
    else await this.runAlone(request, statements);
  }

  isInTransaction(): boolean {
    return this.lease !== undefined;
  }

  handleClose(): void {
    this.lease?.connection.close();
    this.lease?.release();
    this.lease = undefined;
  }

  private findRefusal(statements: readonly Statement[]): Omit<ErrorFields, 'severity'> | undefined {
    const kind = statements.find((statement) => ['session', 'copy'].includes(statement.kind))?.kind;
    if (!kind) return undefined;
    const what = kind === 'copy' ? 'COPY' : 'a statement that needs a whole connection';
    return { code: SQLSTATE.notSupported, message: `${what} is not supported; it was not run` };
  }

  /** After the loss of an open transaction nothing may run until the caller ends it. */
  private answerFailed(kinds: ReadonlySet<Statement['kind']>): void {
    if (!kinds.has('rollback') && !kinds.has('commit')) {
      const message = 'the transaction was lost and rolled back; it ended without effect';
      this.sendError({ code: SQLSTATE.failedTransaction, message });
      return;
    }
    this.hasFailedTransaction = false;
    this.options.caller.send(Buffer.concat([encodeCommandComplete('ROLLBACK'), encodeReady('I')]));
  }

  private sendError(fields: Omit<ErrorFields, 'severity'>): void {
    const state = this.hasFailedTransaction ? 'E' : (this.lease?.connection.state ?? 'I');
    const error = encodeError({ severity: 'ERROR', ...fields });
    this.options.caller.send(Buffer.concat([error, encodeReady(state)]));
  }

  private async runInTransaction(
    request: CallerRequest,
    lease: Lease,
    kinds: ReadonlySet<Statement['kind']>,
  ): Promise<void> {
    const commits = kinds.has('commit');
    if (kinds.has('write')) this.wrote = true;
    const relay = new Relay(this.options.caller, lease.connection, commits && this.wrote);
    try {
      await lease.connection.run(this.toBytes(request), relay);
      await this.finish(relay, lease, commits && this.wrote);
    } catch {
      this.handleLoss(commits && this.wrote, relay);
    }
  }

  /** The connection broke inside a transaction: all of it is rolled back unless it committed. */
  private handleLoss(mayHaveCommitted: boolean, relay: Relay): void {
    this.lease?.release();
    this.lease = undefined;
    this.wrote = false;
    if (mayHaveCommitted) {
      this.sendError({ code: SQLSTATE.outcomeUnknown, message: 'the connection broke at COMMIT' });
      return;
    }
    this.hasFailedTransaction = true;
    const code = relay.hasSent ? SQLSTATE.answerCut : SQLSTATE.notRun;
    this.sendError({ code, message: 'the instance was lost; the transaction was rolled back' });
  }

  private async runAlone(request: CallerRequest, statements: readonly Statement[]): Promise<void> {
    const [first] = statements;
    const contract = this.findContract(first);
    const isRead = statements.every(({ kind }) => kind === 'read' || kind === 'empty');
    let kind: 'read' | 'write' = isRead ? 'read' : 'write';
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const outcome = await this.runOnce(request, kind, contract, statements);
      if (outcome === 'done') return;
      if (outcome === 'readOnly') kind = 'write';
    }
    this.sendError({ code: SQLSTATE.notRun, message: 'no instance could run the request' });
  }

  private findContract(statement: Statement | undefined): Contract {
    return findContract(this.options.readConfiguration().contracts, {
      group: this.group?.name ?? '',
      user: this.user,
      applicationName: this.applicationName,
      statement: statement?.text ?? '',
      named: statement?.contract,
    });
  }

  private async admit(kind: 'read' | 'write', contract: Contract): Promise<Lease> {
    const { group } = this;
    if (!group) throw new RefusedError('no group');
    const { clock, queueDeadlineMs, caller } = this.options;
    const deadline = clock.readNow() + queueDeadlineMs;
    this.floor ??= await group.findArrivalFloor(deadline);
    const session = String(caller.processId);
    return group.admit({ kind, contract, floor: this.floor, caller: session, deadline });
  }

  private async runOnce(
    request: CallerRequest,
    kind: 'read' | 'write',
    contract: Contract,
    statements: readonly Statement[],
  ): Promise<'done' | 'retry' | 'readOnly'> {
    let lease: Lease;
    try {
      lease = await this.admit(kind, contract);
    } catch (error) {
      const message = error instanceof Error ? error.message : 'refused';
      this.sendError({ code: SQLSTATE.notRun, message: `not run: ${message}` });
      return 'done';
    }
    const begins = statements.some((statement) => statement.kind === 'begin');
    const relay = new Relay(this.options.caller, lease.connection, kind === 'write' && !begins);
    this.lease = lease;
    try {
      const state = await lease.connection.run(this.toBytes(request), relay);
      if (relay.errorCode === SQLSTATE.readOnly && state === 'I' && !relay.hasSent) {
        this.releaseLease();
        return 'readOnly';
      }
      await this.finish(relay, lease, kind === 'write' && !begins);
      return 'done';
    } catch {
      return this.handleBroken(kind, relay);
    }
  }

  private handleBroken(kind: 'read' | 'write', relay: Relay): 'done' | 'retry' {
    this.releaseLease();
    if (kind === 'read' && !relay.hasSent) return 'retry';
    const code = kind === 'read' ? SQLSTATE.answerCut : SQLSTATE.outcomeUnknown;
    this.sendError({ code, message: 'the connection to the instance broke' });
    return 'done';
  }

  private async finish(relay: Relay, lease: Lease, mustHold: boolean): Promise<void> {
    const { connection, instance, term } = lease;
    if (connection.state === 'I') this.releaseLease();
    if (mustHold && relay.hasHeld()) {
      const verdict = await this.group?.waitForMajority(instance, term);
      const failed = match(verdict)
        .with({ kind: 'acknowledged' }, ({ position }) => this.updateFloor(position))
        .with({ kind: 'unknown' }, ({ reason }) => {
          this.sendError({ code: SQLSTATE.outcomeUnknown, message: `outcome unknown: ${reason}` });
          return true;
        })
        .with(P.nullish, () => true)
        .exhaustive();
      if (failed) return;
    }
    relay.finish();
  }

  private updateFloor(position: LogPosition): false {
    this.floor = position;
    this.options.caller.send(encodeParameterStatus(TOKEN_PARAMETER, formatPosition(position)));
    return false;
  }

  private releaseLease(): void {
    this.lease?.release();
    this.lease = undefined;
    this.wrote = false;
  }

  private toBytes({ frames }: CallerRequest): Buffer {
    const [only] = frames;
    return frames.length === 1 && only ? only.raw : Buffer.concat(frames.map(({ raw }) => raw));
  }
}
