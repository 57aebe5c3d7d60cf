import { randomBytes } from 'node:crypto';
import { createConnection } from 'node:net';
import type { Millis } from '@shallotpick/core';
import { ConnectionError, type Reply, waitAtMost } from '@shallotpick/engine';
import { formatConnect, LineConnection } from '@shallotpick/platform';
import type { AnswerChecker, SentRequest } from './answerchecker.js';
import type { InvariantChecker } from './invariantchecker.js';
import type { SoakOrganisation } from './organisations.js';
import type { SoakVm } from './vm.js';

const ID_BYTES = 8;
const CONNECT_TIMEOUT_MS: Millis = 2_000;
const REPLY_TIMEOUT_MS: Millis = 5_000;
/** Begins the reason of a failure that the VM has sent. */
const ERROR_CODE = /^[A-Z]+ /;

/** A reply with the id of its request. */
export interface SessionReply extends Reply {
  readonly id: string;
}

/** The caller and the VM of a session. */
export interface CallerSessionOptions {
  readonly vm: SoakVm;
  readonly caller: string;
  /** Id of the session, which its caller sets as the variable `tag`. */
  readonly tag: string;
  /** The organisation whose key the caller gives; undefined where callers need no key. */
  readonly organisation: SoakOrganisation | undefined;
  readonly checker: InvariantChecker;
  readonly answers: AnswerChecker;
  readonly readNow: () => Millis;
}

/**
 * A caller's connection to a VM, with checks that its requests are answered. A message that nothing
 * was asked for closes it; one that crosses a request is taken as the answer.
 */
export class CallerSession {
  private readonly connection: LineConnection;

  /** The acknowledged value of the variable `note`; undefined before one is set. */
  note: string | undefined;

  private isClosedHere = false;

  private isRefused = false;

  private answeredAt: Millis = performance.now();

  constructor(private readonly options: CallerSessionOptions) {
    const { host, port } = options.vm.callerProxy;
    this.connection = new LineConnection(createConnection({ host, port }));
  }

  isUsable(): boolean {
    return this.connection.isUsable();
  }

  close(): void {
    this.isClosedHere = true;
    this.connection.close();
  }

  /**
   * Sends the name of the database; requests may follow before the answer. A session that isn't
   * opened in time is closed.
   *
   * @throws ConnectionError when the VM refuses the session or doesn't answer.
   */
  async connect(database: string): Promise<void> {
    const { caller, organisation } = this.options;
    const line = formatConnect(database, organisation?.key ?? caller);
    const request = this.createRequest(undefined, `CONNECT ${database}`);
    try {
      const { failure } = await this.exchange(request, line, CONNECT_TIMEOUT_MS);
      if (!failure) return;
      this.isRefused = true;
      throw new ConnectionError(failure.reason);
    } catch (error) {
      this.close();
      throw error;
    }
  }

  /**
   * Sends a request; others may be outstanding.
   *
   * @throws ConnectionError when the session ends before the answer.
   */
  async run(text: string): Promise<SessionReply> {
    const { checker, caller, tag, organisation, readNow } = this.options;
    // A session that was closed between two requests interrupts none.
    if (!this.isUsable()) throw new ConnectionError('the session is closed');
    const id = randomBytes(ID_BYTES).toString('hex');
    const { note } = this;
    checker.recordSentStatement(id, { caller, text, tag, note, organisation, sentAt: readNow() });
    const limitMs = REPLY_TIMEOUT_MS * (this.connection.countPending() + 1);
    const request = this.createRequest(id, text);
    const reply = await this.exchange(request, `QUERY ${id} ${text}`, limitMs);
    return { ...reply, id };
  }

  private createRequest(id: string | undefined, text: string): SentRequest {
    const { vm } = this.options;
    return { vm, id, text, sentAt: performance.now(), wasStopping: vm.isStopping };
  }

  private async exchange(request: SentRequest, line: string, limitMs: Millis): Promise<Reply> {
    const { answers } = this.options;
    try {
      const reply = await waitAtMost(this.connection.send(line), limitMs);
      answers.handleAnswer(request, this.findWaitStart(request));
      this.answeredAt = performance.now();
      return reply;
    } catch (error) {
      this.handleFailure(request, error);
      throw error;
    }
  }

  /** A request waits for those that were sent ahead of it. */
  private findWaitStart({ sentAt }: SentRequest): Millis {
    return Math.max(sentAt, this.answeredAt);
  }

  private handleFailure(request: SentRequest, error: unknown): void {
    const { answers } = this.options;
    const isConnect = request.id === undefined;
    // The answer to a refused CONNECT is an ERROR and the end of the connection.
    if (isConnect && error instanceof Error && ERROR_CODE.test(error.message)) {
      this.isRefused = true;
    }
    // The connection is still open when the time limit has passed.
    const hasLeft = this.isClosedHere || this.isUsable();
    if (hasLeft) answers.handleDeparture(request, this.findWaitStart(request));
    else if (!this.isRefused) answers.handleInterruption(request);
  }
}
