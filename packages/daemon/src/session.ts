import { encodeReadyForQuery, type ErrorFields } from '@shallotpick/wire';
import { SingleRequestRunner } from './single.js';
import type { CallerHandler } from './caller.js';
import { SessionContext, type SessionOptions } from './context.js';
import { TransactionRunner, answerFailedTransaction } from './transaction.js';
import { summarizeRequest, findRefusal } from './summary.js';
import type { CallerRequest } from './request.js';
import { PipelineRunner } from './pipeline.js';
import { createNotRunError } from './refusal.js';
import { SQLSTATE } from './sqlstate.js';

/** One caller's session, which chooses the runner for each request. */
export class Session implements CallerHandler {
  private readonly context: SessionContext;

  private readonly pipeline: PipelineRunner;

  constructor(options: SessionOptions) {
    this.context = new SessionContext(options);
    this.pipeline = new PipelineRunner(this.context);
  }

  async handleStart(parameters: ReadonlyMap<string, string>): Promise<ErrorFields | undefined> {
    const { context } = this;
    const database = parameters.get('database') ?? parameters.get('user') ?? '';
    context.user = parameters.get('user') ?? '';
    context.applicationName = parameters.get('application_name') ?? '';
    context.groupName = database;
    context.parameters.applyStartup(parameters);
    const token = /shallotpick\.token=(\S+)/.exec(parameters.get('options') ?? '')?.[1];
    if (token) context.positions.applyToken(database, token);
    if (context.group) return undefined;
    const message = `database group "${database}" is not known`;
    return { severity: 'FATAL', code: SQLSTATE.unknownDatabase, message };
  }

  async handleRequest(request: CallerRequest): Promise<void> {
    const { context } = this;
    if (request.kind === 'function') {
      const message = 'FunctionCall is not supported; it was not run';
      context.sendError({ code: SQLSTATE.notSupported, message });
      return;
    }
    try {
      await this.runRequest(request);
    } catch (error) {
      this.failUnexpectedly(error);
    } finally {
      // Responses that confirm the names of an open pipeline are still pending.
      if (!this.pipeline.isOpen()) context.prepared.endRequest(context.transaction !== undefined);
    }
  }

  isInTransaction(): boolean {
    return this.context.lease !== undefined || this.pipeline.isOpen();
  }

  handleCancel(): void {
    this.context.interruptWait?.('cancelled');
    this.context.lease?.connection.cancel();
  }

  /** Handles a disconnected caller: cancels its statement and closes the connection. */
  handleClose(): void {
    const { context } = this;
    context.isClosed = true;
    context.interruptWait?.('closed');
    const { lease } = context;
    if (!lease) return;
    lease.connection.cancel();
    lease.connection.close();
    context.releaseLease();
  }

  handleStop(): void {
    const { context } = this;
    context.isStopping = true;
    context.interruptWait?.('stopped');
    context.lease?.connection.close();
  }

  /** Answers a request that has failed with an error that nothing expects, and ends the session. */
  private failUnexpectedly(error: unknown): void {
    const { context } = this;
    const text = error instanceof Error ? (error.stack ?? error.message) : String(error);
    context.options.log.error('request failed unexpectedly', { error: text });
    // What the connection still runs is unknown.
    context.lease?.connection.close();
    const message = 'outcome unknown: the request failed unexpectedly';
    context.sendError({ code: SQLSTATE.outcomeUnknown, message });
    context.options.caller.refuse(createNotRunError('the request before failed unexpectedly'));
  }

  private async runRequest(request: CallerRequest): Promise<void> {
    const { context, pipeline } = this;
    const isLoneSync = request.kind === 'extended' && request.frames.length === 1;
    if (isLoneSync && !request.isPartial && !pipeline.isOpen()) {
      context.options.caller.send(encodeReadyForQuery(context.readTransactionState()));
      return;
    }
    const decoded = context.prepared.decode(request);
    const summary = summarizeRequest(decoded);
    const isInTransaction = context.transaction !== undefined;
    const refusal = findRefusal(summary, decoded, context.parameters, isInTransaction);
    if (request.isPartial || pipeline.isOpen()) {
      await pipeline.run(decoded, summary, refusal, !request.isPartial);
    } else if (refusal) {
      context.sendError(refusal);
    } else if (
      context.transactionFailure &&
      !(context.transactionFailure === 'refused' && summary.begins)
    ) {
      answerFailedTransaction(context, summary, request);
    } else if (context.transaction && context.lease) {
      await new TransactionRunner(context, decoded, summary, request).run(context.lease);
    } else {
      // A new BEGIN replaces one that was refused.
      context.transactionFailure = undefined;
      await new SingleRequestRunner(context, decoded, summary).run();
    }
  }
}
