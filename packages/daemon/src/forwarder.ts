import {
  BACKEND,
  encodeReadyForQuery,
  type Frame,
  parseErrorFields,
  parseQuery,
  type TransactionState,
} from '@shallotpick/wire';
import type { CallerConnection } from './caller.js';
import type { ResponseSink, InstanceConnection } from './connection.js';
import type { ExpectedResponses, PreparedStatements } from './prepared.js';

/** Bounds the memory that one unacknowledged answer of several statements may take. */
const MAX_HELD_BYTES = 16 * 1024 * 1024;
const COPY_TYPES: ReadonlySet<number> = new Set([
  BACKEND.copyIn,
  BACKEND.copyOut,
  BACKEND.copyBoth,
]);

export interface ResponseForwarderOptions {
  readonly caller: CallerConnection;
  readonly connection: InstanceConnection;
  readonly prepared: PreparedStatements;
  readonly expected: ExpectedResponses;
  /** Holds the answer back from the first completed command on. */
  readonly holdsResult: boolean;
  /** The caller reads the answer before its Sync, so errors are sent at once. */
  readonly isPipeline: boolean;
}

/** Passes an answer on, and holds the success of a write until a majority has it. */
export class ResponseForwarder implements ResponseSink {
  private output: Buffer[] = [];

  private held: Buffer[] = [];

  private heldBytes = 0;

  private ready: Buffer | undefined;

  /** True once a byte of the answer has reached the caller. */
  hasSent = false;

  /** SQLSTATE of the first error of the answer. */
  errorCode: string | undefined;

  /** Tags of the commands that completed. */
  readonly commandTags: string[] = [];

  constructor(private readonly options: ResponseForwarderOptions) {}

  /** Adds the Parse and Close messages of a further part of the request. */
  addExpected({ parses, closes }: ExpectedResponses): void {
    this.options.expected.parses.push(...parses);
    this.options.expected.closes.push(...closes);
  }

  handleFrame({ type, raw, body }: Frame): void {
    if (this.isHidden(type)) return;
    if (type === BACKEND.readyForQuery) {
      this.ready = raw;
      return;
    }
    if (COPY_TYPES.has(type)) this.options.connection.close();
    if (type === BACKEND.error) this.errorCode ??= parseErrorFields(body).get('C') ?? 'XX000';
    if (type === BACKEND.commandComplete) this.commandTags.push(parseQuery(body));
    if (this.held.length > 0 || (this.options.holdsResult && type === BACKEND.commandComplete)) {
      this.hold(raw);
    } else {
      this.output.push(raw);
    }
  }

  flush(): boolean {
    // An error is kept until the end of the answer: the request may run elsewhere. A complete
    // answer is sent by `finish`.
    const keepsError = this.errorCode !== undefined && !this.options.isPipeline;
    if (this.output.length === 0 || keepsError || this.ready) return false;
    const bytes = Buffer.concat(this.output);
    this.output = [];
    this.hasSent = true;
    const { caller, connection } = this.options;
    return caller.send(bytes, () => connection.resume());
  }

  /** True when the answer reports that a transaction with changes committed. */
  hasCommitted(state: TransactionState): boolean {
    if (this.commandTags.includes('COMMIT')) return true;
    return state === 'I' && this.errorCode === undefined && this.commandTags.at(-1) !== 'ROLLBACK';
  }

  /** Sends what is left of the answer, with a transaction state other than the instance's if given. */
  finish(state?: TransactionState): void {
    const ready = state ? encodeReadyForQuery(state) : (this.ready ?? Buffer.alloc(0));
    this.options.caller.send(Buffer.concat([...this.output, ...this.held, ready]));
  }

  private hold(raw: Buffer): void {
    this.held.push(raw);
    this.heldBytes += raw.length;
    if (this.heldBytes > MAX_HELD_BYTES) this.options.connection.close();
  }

  /** Takes note of answers to Parse and Close; true for those that the proxy itself asked for. */
  private isHidden(type: number): boolean {
    const { expected: replies, connection, prepared } = this.options;
    if (type === BACKEND.parseComplete) {
      const parse = replies.parses.shift();
      if (!parse) return false;
      connection.statements.set(parse.target, parse.key);
      if (parse.name === undefined) return true;
      prepared.confirm(parse.name);
    }
    if (type === BACKEND.closeComplete) {
      const close = replies.closes.shift();
      if (close?.target !== undefined) connection.statements.delete(close.target);
      return close?.isHidden ?? false;
    }
    return false;
  }
}
