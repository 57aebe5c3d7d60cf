import { encodeReadyForQuery, type ErrorFields } from '@shallotpick/wire';
import { SingleRequestRunner } from './single.js';
import type { CallerHandler } from './caller.js';
import { SessionContext, type SessionOptions } from './context.js';
import { TransactionRunner, answerFailedTransaction } from './transaction.js';
import { summarizeRequest, findRefusal } from './summary.js';
import type { CallerRequest } from './request.js';
import { PipelineRunner } from './pipeline.js';
import { SQLSTATE } from './sqlstate.js';

/** One caller's session: its floor, its transaction, and its requests in order. */
export class Session implements CallerHandler {
  private readonly context: SessionContext;

  private readonly series: PipelineRunner;

  constructor(options: SessionOptions) {
    this.context = new SessionContext(options);
    this.series = new PipelineRunner(this.context);
  }

  async handleStart(parameters: ReadonlyMap<string, string>): Promise<ErrorFields | undefined> {
    const { context } = this;
    const database = parameters.get('database') ?? parameters.get('user') ?? '';
    context.user = parameters.get('user') ?? '';
    context.applicationName = parameters.get('application_name') ?? '';
    context.groupName = database;
    context.parameters.applyStartup(parameters);
    const token = /shallotpick\.token=(\S+)/.exec(parameters.get('options') ?? '')?.[1];
    if (token) context.floors.applyToken(database, token);
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
    } finally {
      // Answers of an open series that confirm its names are still to come.
      if (!this.series.isOpen()) context.prepared.finishRequest(context.transaction !== undefined);
    }
  }

  isInTransaction(): boolean {
    return this.context.lease !== undefined || this.series.isOpen();
  }

  handleCancel(): void {
    this.context.interruptWait?.('cancelled');
    this.context.lease?.connection.cancel();
  }

  /** The caller is gone: the instance stops its statement and rolls back. */
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

  private async runRequest(request: CallerRequest): Promise<void> {
    const { context, series } = this;
    const isLoneSync = request.kind === 'extended' && request.frames.length === 1;
    if (isLoneSync && !request.isPartial && !series.isOpen()) {
      context.options.caller.send(encodeReadyForQuery(context.readTransactionState()));
      return;
    }
    const decoded = context.prepared.decode(request);
    const plan = summarizeRequest(decoded);
    const isInTransaction = context.transaction !== undefined;
    const refusal = findRefusal(plan, decoded, context.parameters, isInTransaction);
    if (request.isPartial || series.isOpen()) {
      await series.run(decoded, plan, refusal, !request.isPartial);
    } else if (refusal) {
      context.sendError(refusal);
    } else if (
      context.transactionFailure &&
      !(context.transactionFailure === 'refused' && plan.begins)
    ) {
      answerFailedTransaction(context, plan, request);
    } else if (context.transaction && context.lease) {
      await new TransactionRunner(context, decoded, plan, request).run(context.lease);
    } else {
      // A new BEGIN ends the wait for the end of one that was refused.
      context.transactionFailure = undefined;
      await new SingleRequestRunner(context, decoded, plan).run();
    }
  }
}
