import type { Millis } from '@shallotpick/core';
import { match } from 'ts-pattern';
import type { DatabaseRoute } from './configuration.js';
import { type AuthorizedRoute, UNPROVED_REFUSAL } from './identity.js';
import { createLocalReply, SessionContext, type SessionOptions } from './context.js';
import { SHUTTING_DOWN } from './shutdown.js';
import { SingleStatementRunner } from './single.js';
import type {
  CallerRequest,
  DataStatement,
  Failure,
  Reply,
  Statement,
  TransactionState,
} from './statement.js';
import { Transaction } from './transaction.js';

/** The route of new work, or the reply that refuses it. */
type PermittedRoute =
  | { readonly kind: 'permitted'; readonly authorized: AuthorizedRoute }
  | { readonly kind: 'refused'; readonly reply: Reply };

/** The statements with which a transaction is opened on an instance. */
const OPENING_KINDS: ReadonlySet<Statement['kind']> = new Set([
  'read',
  'write',
  'execute',
  'commit',
]);

/** A caller's session: its variables, prepared statements, last commit and transaction. */
export class Session {
  private readonly context: SessionContext;

  private transaction: Transaction | undefined;

  /** The statement outside a transaction that is running. */
  private single: SingleStatementRunner | undefined;

  constructor(options: SessionOptions) {
    this.context = new SessionContext(options);
  }

  /** True when no transaction is open. */
  isIdle(): boolean {
    return this.transaction === undefined;
  }

  /** Runs one request. Requests must not overlap. */
  async run(request: CallerRequest): Promise<Reply> {
    const { log, metrics, clock, database } = this.context.options;
    const startedAt = clock.readNow();
    const reply = await this.runStatement(request);
    const tookMs = clock.readNow() - startedAt;
    metrics.latency.observe({ kind: request.statement.kind }, tookMs / 1_000);
    if (reply.failure) {
      const { verdict, reason } = reply.failure;
      metrics.failures.inc({ verdict });
      const proof = this.context.options.describeProof();
      const details = { request: request.id, database, kind: request.statement.kind, ...proof };
      log.info('request failed', { ...details, verdict, reason, tookMs: Math.round(tookMs) });
    }
    return reply;
  }

  /** Rolls back a transaction that has been idle for too long. */
  handleTick(now: Millis): void {
    const limit = this.context.options.configuration.read()?.transactionIdleMs;
    const { transaction } = this;
    if (!transaction || limit === undefined) return;
    transaction.handleTick(now, limit);
    const failure = this.findKeyFailure(transaction);
    if (failure) transaction.abort(failure.reason);
  }

  /** Returns the bytes of the session's values and prepared statements. */
  countStateBytes(): number {
    return this.context.countStateBytes();
  }

  /** Refuses a request without reading it, and gives up the open transaction. */
  refuseRequest(reason: string): Reply {
    this.transaction?.abort(reason);
    this.transaction = undefined;
    return this.refuse({ verdict: 'overloaded', reason });
  }

  /** Aborts the open transaction; its next statement fails with the reason. */
  abort(reason: string): void {
    this.transaction?.abort(reason);
  }

  /** Ends the running request with an answer, and the open transaction, before the process does. */
  stop(): void {
    this.transaction?.abort(SHUTTING_DOWN);
    this.single?.end();
  }

  /** Ends the session after the caller has disconnected. */
  close(): void {
    this.context.isClosed = true;
    this.transaction?.abort('the caller has left');
    this.transaction = undefined;
  }

  private async runStatement(request: CallerRequest): Promise<Reply> {
    const { statement } = request;
    const { transaction, context } = this;
    if (context.options.shutdown.isOver()) return this.refuseRequest(SHUTTING_DOWN);
    if (transaction) this.endBeforeShutdown(transaction, statement);
    const refusal = transaction && this.refuseTransaction(transaction, statement);
    if (refusal) return refusal;
    if (transaction?.isFailed() && statement.kind !== 'rollback' && statement.kind !== 'commit') {
      return this.refuse({ verdict: 'malformed', reason: 'the transaction has failed' });
    }
    return match(statement)
      .with({ kind: 'set' }, ({ name, value }) =>
        context.setVariable(name, value) ? this.confirm() : this.refuseState(),
      )
      .with({ kind: 'prepare' }, ({ name, access, shape }) => {
        const isAdded = context.addStatement(name, { access, shape });
        return isAdded ? this.confirm() : this.refuseState();
      })
      .with({ kind: 'deallocate' }, ({ name }) => {
        const reason = `no prepared statement "${name}"`;
        if (context.removeStatement(name)) return this.confirm();
        return this.refuse({ verdict: 'unknownStatement', reason });
      })
      .with({ kind: 'begin' }, ({ isReadOnly }) => this.begin(isReadOnly))
      .with({ kind: 'commit' }, () => this.commit(request))
      .with({ kind: 'rollback' }, () => this.rollBack())
      .with({ kind: 'unknown' }, () =>
        this.refuse({ verdict: 'malformed', reason: 'the statement is not known' }),
      )
      .otherwise((data) => this.runData(request, data));
  }

  private readState(): TransactionState {
    if (!this.transaction) return 'idle';
    return this.transaction.isFailed() ? 'failed' : 'open';
  }

  private confirm(): Reply {
    return createLocalReply(this.readState());
  }

  private refuse(failure: Failure): Reply {
    return createLocalReply(this.readState(), failure);
  }

  /** Finds the route for new work of this caller; `mayStart` tells whether it would end in time. */
  private findPermittedRoute(mayStart: (route: DatabaseRoute) => boolean): PermittedRoute {
    const { configuration, database, identity } = this.context.options;
    const inForce = configuration.read();
    const route = inForce?.routes.get(database);
    if (!inForce || !route) return { kind: 'refused', reply: this.refuseUnknown() };
    if (!mayStart(route)) return { kind: 'refused', reply: this.refuseShutdown() };
    const authorization = identity.authorize(route);
    if (authorization.kind === 'allowed') {
      const { organisation } = authorization;
      const { version } = inForce;
      return { kind: 'permitted', authorized: { route, organisation, version } };
    }
    return { kind: 'refused', reply: this.refuseCaller(authorization.failure) };
  }

  private begin(isReadOnly: boolean): Reply {
    if (this.transaction) {
      return this.refuse({ verdict: 'malformed', reason: 'a transaction is open' });
    }
    const { shutdown } = this.context.options;
    const found = this.findPermittedRoute(() => !shutdown.areTransactionsOver());
    if (found.kind === 'refused') return found.reply;
    this.transaction = new Transaction(this.context, found.authorized, isReadOnly);
    return this.confirm();
  }

  private async commit(request: CallerRequest): Promise<Reply> {
    const { transaction } = this;
    if (!transaction) {
      return this.refuse({ verdict: 'malformed', reason: 'no transaction is open' });
    }
    const reply = await transaction.commit(request.id);
    this.transaction = undefined;
    return reply;
  }

  private rollBack(): Reply {
    this.transaction?.abort('rolled back');
    this.transaction = undefined;
    return this.confirm();
  }

  /**
   * Aborts the transaction of a process that shuts down, unless this statement ends it in time. Here
   * the answer is still true that nothing has run, however short the caller's pauses are.
   */
  private endBeforeShutdown(transaction: Transaction, { kind }: Statement): void {
    const { shutdown } = this.context.options;
    const { timeoutMs } = transaction.authorized.route;
    if (!shutdown.mayContinueTransaction(kind, timeoutMs)) transaction.abort(SHUTTING_DOWN);
  }

  /** Refuses work that might not end before the process does. */
  private refuseShutdown(): Reply {
    return this.refuse({ verdict: 'overloaded', reason: SHUTTING_DOWN });
  }

  /** Refuses a statement of a transaction that the configuration no longer allows, and ends it. */
  private refuseTransaction(transaction: Transaction, { kind }: Statement): Reply | undefined {
    const refusal = this.refuseLostKey(transaction);
    if (refusal || !transaction.isUnopened() || !OPENING_KINDS.has(kind)) return refusal;
    // The caller may have rested since BEGIN, for longer than a change of a route may take.
    const found = this.findPermittedRoute(() => true);
    if (found.kind === 'permitted') {
      transaction.updateRoute(found.authorized);
      return undefined;
    }
    transaction.abort('the configuration no longer allows it');
    this.transaction = undefined;
    return { ...found.reply, state: this.readState() };
  }

  /** Ends the transaction of a caller whose organisation has lost the key. */
  private refuseLostKey(transaction: Transaction): Reply | undefined {
    const failure = this.findKeyFailure(transaction);
    if (!failure) return undefined;
    transaction.abort(failure.reason);
    this.transaction = undefined;
    return this.refuseCaller(failure);
  }

  private findKeyFailure({ authorized }: Transaction): Failure | undefined {
    return this.context.options.identity.checkAgain(authorized);
  }

  /** Refuses a request for the caller's key. */
  private refuseCaller(failure: Failure): Reply {
    const reason = failure.verdict === 'unauthenticated' ? 'unknown key' : 'keys not proved';
    this.context.options.metrics.authorizationRefusals.inc({ reason });
    return this.refuse(failure);
  }

  /** Refuses a value or prepared statement of a session that holds enough. */
  private refuseState(): Reply {
    return this.refuse({ verdict: 'overloaded', reason: 'the session holds too many values' });
  }

  private refuseUnknown(): Reply {
    const { database, requestProof } = this.context.options;
    if (!requestProof()) return this.refuse(UNPROVED_REFUSAL);
    return this.refuse({ verdict: 'unknownDatabase', reason: `no route for "${database}"` });
  }

  private async runData({ id }: CallerRequest, statement: DataStatement): Promise<Reply> {
    if (this.context.isWrite(statement) === undefined) {
      const reason = 'no prepared statement of this name';
      return this.refuse({ verdict: 'unknownStatement', reason });
    }
    if (this.transaction) return this.transaction.run(id, statement);
    const { shutdown } = this.context.options;
    const found = this.findPermittedRoute(({ timeoutMs }) => shutdown.mayStart(timeoutMs));
    if (found.kind === 'refused') return found.reply;
    this.single = new SingleStatementRunner(this.context, found.authorized, id, statement);
    try {
      return await this.single.run();
    } finally {
      this.single = undefined;
    }
  }
}
