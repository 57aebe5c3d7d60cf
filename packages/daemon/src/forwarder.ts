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

/** Limits the memory of a held response of several statements. */
const MAX_HELD_BYTES = 16 * 1024 * 1024;
const COPY_TYPES: ReadonlySet<number> = new Set([
  BACKEND.copyIn,
  BACKEND.copyOut,
  BACKEND.copyBoth,
]);

/** Options of {@link ResponseForwarder}. */
export interface ResponseForwarderOptions {
  readonly caller: CallerConnection;
  readonly connection: InstanceConnection;
  readonly prepared: PreparedStatements;
  readonly expected: ExpectedResponses;
  /** Holds the response back from its first CommandComplete until `finish`. */
  readonly holdsResult: boolean;
  /** The caller reads responses before its Sync, so errors are sent immediately. */
  readonly isPipeline: boolean;
}

/** Forwards a response, and holds the success of a write until a majority has it. */
export class ResponseForwarder implements ResponseSink {
  private output: Buffer[] = [];

  private held: Buffer[] = [];

  private heldBytes = 0;

  private readyMessage: Buffer | undefined;

  /** True once a byte of the response was sent to the caller. */
  hasSent = false;

  /** SQLSTATE of the first error in the response. */
  errorCode: string | undefined;

  /** CommandComplete tags in the response so far. */
  readonly commandTags: string[] = [];

  constructor(private readonly options: ResponseForwarderOptions) {}

  /** Adds the Parse and Close messages of another part of the request. */
  addExpected({ parses, closes }: ExpectedResponses): void {
    this.options.expected.parses.push(...parses);
    this.options.expected.closes.push(...closes);
  }

  handleFrame({ type, raw, body }: Frame): void {
    if (this.isHidden(type)) return;
    if (type === BACKEND.readyForQuery) {
      this.readyMessage = raw;
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
    // An error is kept until the end of the response, because the request may be retried. A
    // complete response is sent by `finish`.
    const keepsError = this.errorCode !== undefined && !this.options.isPipeline;
    if (this.output.length === 0 || keepsError || this.readyMessage) return false;
    const bytes = Buffer.concat(this.output);
    this.output = [];
    this.hasSent = true;
    const { caller, connection } = this.options;
    return caller.send(bytes, () => connection.resume());
  }

  /** True when the response reports a committed transaction. */
  hasCommitted(state: TransactionState): boolean {
    if (this.commandTags.includes('COMMIT')) return true;
    return state === 'I' && this.errorCode === undefined && this.commandTags.at(-1) !== 'ROLLBACK';
  }

  /** Sends the rest of the response, with `state` in place of the instance's transaction state. */
  finish(state?: TransactionState): void {
    const readyMessage = state
      ? encodeReadyForQuery(state)
      : (this.readyMessage ?? Buffer.alloc(0));
    this.options.caller.send(Buffer.concat([...this.output, ...this.held, readyMessage]));
  }

  private hold(raw: Buffer): void {
    this.held.push(raw);
    this.heldBytes += raw.length;
    if (this.heldBytes > MAX_HELD_BYTES) this.options.connection.close();
  }

  /** Handles responses to Parse and Close; true for messages that the proxy itself sent. */
  private isHidden(type: number): boolean {
    const { expected, connection, prepared } = this.options;
    if (type === BACKEND.parseComplete) {
      const parse = expected.parses.shift();
      if (!parse) return false;
      connection.statements.set(parse.target, parse.key);
      if (parse.name === undefined) return true;
      prepared.confirm(parse.name);
    }
    if (type === BACKEND.closeComplete) {
      const close = expected.closes.shift();
      if (close?.target !== undefined) connection.statements.delete(close.target);
      return close?.isHidden ?? false;
    }
    return false;
  }
}
