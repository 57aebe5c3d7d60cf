import { setTimeout as sleep } from 'node:timers/promises';
import {
  BACKEND,
  encodeEmptyMessage,
  encodeRowDescription,
  encodeCommandComplete,
  encodeDataRow,
  type TransactionState,
} from '@shallotpick/wire';
import { match } from 'ts-pattern';
import type { StandinInstance } from './instance.js';
import { listColumns, parseStatement, type Query } from './query.js';
import { listResultRows, type Row } from './resultrows.js';
import type { RowChange } from './instancestorage.js';
import { SessionVariables } from './sessionvariables.js';

const PAYLOAD_ROWS_PER_FLUSH = 64;

/** An error response, by SQLSTATE code and message. */
export interface Failure {
  readonly code: string;
  readonly message: string;
}

/** A bound statement; `remainingRows` holds the rows that a limited Execute did not return. */
export interface Portal {
  readonly text: string;
  readonly values: readonly (string | null)[];
  remainingRows?: readonly Row[];
}

/** The connection that an executor serves. */
export interface ExecutorOptions {
  readonly instance: StandinInstance;
  readonly isControl: () => boolean;
  readonly send: (bytes: Buffer) => void;
  readonly flush: () => Promise<void>;
  /** Drops the connection, for a fault that a test injects. */
  readonly drop: () => void;
}

const READ_ONLY: Failure = { code: '25006', message: 'cannot write on a read-only instance' };
const ABORTED: Failure = { code: '25P02', message: 'current transaction is aborted' };
const CANCELLED: Failure = { code: '57014', message: 'canceling statement due to user request' };
const FENCED: Failure = {
  code: '40001',
  message: 'the instance was fenced; the transaction was rolled back',
};

/** Runs the statements of one connection; holds its transaction, idempotency keys and variables. */
export class Executor {
  state: TransactionState = 'I';

  /** True in an implicit transaction: the statements of one Query, or those up to Sync. */
  private isImplicit = false;

  private changes: RowChange[] = [];

  private keyReleases: (() => void)[] = [];

  private readonly variables = new SessionVariables();

  private isClosed = false;

  private cancellation = new AbortController();

  constructor(private readonly options: ExecutorOptions) {}

  close(): void {
    this.isClosed = true;
    this.cancellation.abort();
    this.endTransaction(false);
  }

  /** Interrupts the running statement. */
  cancel(): void {
    this.cancellation.abort();
  }

  /** Opens the implicit transaction of a Query or of extended-protocol messages up to Sync. */
  startImplicitTransaction(): void {
    if (this.state === 'I') this.isImplicit = true;
  }

  /** Commits or rolls back the implicit transaction, if one is open. */
  finishImplicitTransaction(succeeded: boolean): Failure | undefined {
    if (!this.isImplicit) return undefined;
    this.isImplicit = false;
    return this.commitChanges(succeeded);
  }

  /** Marks the transaction as failed after an error. */
  handleFailure(): void {
    if (this.state === 'T') this.state = 'E';
  }

  /** Runs a bound statement and sends its response; a failure is returned instead. */
  async run(portal: Portal, isSimple: boolean, maxRows = 0): Promise<Failure | undefined> {
    const { instance } = this.options;
    const { query, costMs } = parseStatement(portal.text, portal.values);
    const endsTransaction = query.kind === 'rollback' || query.kind === 'commit';
    if (this.state === 'E' && !endsTransaction) return ABORTED;
    this.cancellation = new AbortController();
    if (this.dropOnFault(portal.text, 'before')) return CANCELLED;
    if (query.kind === 'once') await this.lockIdempotencyKey(query.key);
    const needsSlot = !this.options.isControl() && !['begin', 'set', 'empty'].includes(query.kind);
    const runQuery = async (): Promise<Failure | undefined> => {
      const { signal } = this.cancellation;
      const cost = costMs ?? instance.options.statementCostMs;
      if (cost > 0) await sleep(cost, undefined, { signal }).catch(() => undefined);
      if (this.isClosed || signal.aborted) return CANCELLED;
      return this.runQuery(query, portal, isSimple, maxRows);
    };
    const failure = needsSlot ? await instance.slots.run(runQuery) : await runQuery();
    return this.dropOnFault(portal.text, 'after') ? CANCELLED : failure;
  }

  private dropOnFault(text: string, stage: 'before' | 'after' | 'rows'): boolean {
    if (this.options.isControl() || !this.options.instance.hasFault?.(text, stage)) return false;
    this.options.drop();
    return true;
  }

  private async runQuery(
    query: Query,
    portal: Portal,
    isSimple: boolean,
    maxRows: number,
  ): Promise<Failure | undefined> {
    return match(query)
      .with({ kind: 'begin' }, () => {
        // BEGIN turns an implicit transaction into an explicit one.
        this.isImplicit = false;
        this.state = 'T';
        return this.complete('BEGIN');
      })
      .with({ kind: 'commit' }, () => this.runCommit())
      .with({ kind: 'rollback' }, () => {
        this.endTransaction(false);
        return this.complete('ROLLBACK');
      })
      .with({ kind: 'empty' }, () => {
        this.options.send(encodeEmptyMessage(BACKEND.emptyQuery));
        return undefined;
      })
      .with({ kind: 'set' }, ({ change, tag }) => {
        this.variables.apply(change);
        if (this.state === 'I' && !this.isImplicit) this.variables.finish(true);
        return this.complete(tag);
      })
      .with({ kind: 'put' }, ({ key, value, tag }) => this.write('items', key, value, tag))
      .with({ kind: 'call' }, ({ key, value }) => {
        const failure = this.applyWrite('items', key, value);
        return failure ?? this.sendRows(query, portal, isSimple, maxRows);
      })
      .with({ kind: 'increment' }, ({ key }) => {
        const value = String(Number(this.findValue(key) ?? 0) + 1);
        return this.write('items', key, value, 'UPDATE 1');
      })
      .with({ kind: 'once' }, ({ key }) => this.insertIdempotencyKey(key))
      .with({ kind: 'unsupported' }, ({ text }): Failure => ({
        code: '42601',
        message: `statement is not supported by the stand-in: ${text.slice(0, 80)}`,
      }))
      .with({ kind: 'payload' }, (payload) => this.sendPayload(payload, portal, isSimple))
      .otherwise((read) => this.sendRows(read, portal, isSimple, maxRows));
  }

  private sendRows(read: Query, portal: Portal, isSimple: boolean, maxRows: number): undefined {
    const { instance, send } = this.options;
    const context = {
      instance,
      findValue: (key: string) => this.findValue(key),
      findVariable: (name: string) => this.variables.find(name),
      countAddedRows: () => this.countNew(),
    };
    const rows = portal.remainingRows ?? listResultRows(read, context);
    const sent = maxRows > 0 ? rows.slice(0, maxRows) : rows;
    if (isSimple) send(encodeRowDescription(listColumns(read) ?? []));
    sent.forEach((row) => send(encodeDataRow(row)));
    if (!this.options.isControl()) instance.statementCounts.reads += 1;
    if (sent.length < rows.length) {
      // eslint-disable-next-line no-param-reassign -- The portal keeps unfetched rows.
      portal.remainingRows = rows.slice(sent.length);
      send(encodeEmptyMessage(BACKEND.portalSuspended));
      return undefined;
    }
    return this.complete(`SELECT ${sent.length}`);
  }

  private complete(tag: string): undefined {
    this.options.send(encodeCommandComplete(tag));
    return undefined;
  }

  private isInTransaction(): boolean {
    return this.state === 'T' || this.isImplicit;
  }

  private findValue(key: string): string | undefined {
    const ownChange = this.changes.findLast(
      (change) => change.key === key && change.table === 'items',
    );
    return ownChange?.value ?? this.options.instance.storage.findRow('items', key);
  }

  /** Counts the rows that the open transaction has added. */
  private countNew(): number {
    const { storage: store } = this.options.instance;
    const added = this.changes.filter(
      ({ table, key }) => table === 'items' && store.findRow('items', key) === undefined,
    );
    return new Set(added.map(({ key }) => key)).size;
  }

  private write(
    table: RowChange['table'],
    key: string,
    value: string,
    tag: string,
  ): Failure | undefined {
    return this.applyWrite(table, key, value) ?? this.complete(tag);
  }

  private applyWrite(table: RowChange['table'], key: string, value: string): Failure | undefined {
    const { instance } = this.options;
    const isReadOnly = this.variables.find('default_transaction_read_only') === 'on';
    if (isReadOnly || !instance.isWritable()) return READ_ONLY;
    const change = { table, key, value };
    if (this.isInTransaction()) this.changes.push(change);
    else if (!instance.commit([change])) return READ_ONLY;
    instance.statementCounts.writes += 1;
    return undefined;
  }

  /** Waits without a slot, so that the transaction that holds the key can get one to finish. */
  private async lockIdempotencyKey(key: string): Promise<void> {
    const release = await this.options.instance.lockIdempotencyKey(key, this);
    if (this.isClosed) release();
    else this.keyReleases.push(release);
  }

  private insertIdempotencyKey(key: string): Failure | undefined {
    const { storage: store } = this.options.instance;
    const isOwn = this.changes.some((change) => change.table === 'once' && change.key === key);
    const failure =
      isOwn || store.findRow('once', key) !== undefined
        ? { code: '23505', message: 'duplicate key value violates unique constraint' }
        : this.write('once', key, '', 'INSERT 0 1');
    if (!this.isInTransaction()) this.releaseKeys();
    return failure;
  }

  private runCommit(): Failure | undefined {
    const failed = this.state === 'E';
    this.isImplicit = false;
    const failure = this.commitChanges(!failed);
    if (failure) return failure;
    return this.complete(failed ? 'ROLLBACK' : 'COMMIT');
  }

  private commitChanges(succeeded: boolean): Failure | undefined {
    const { changes } = this;
    const commits = succeeded && changes.length > 0;
    const failure = commits && !this.options.instance.commit(changes) ? FENCED : undefined;
    this.endTransaction(succeeded && !failure);
    return failure;
  }

  private endTransaction(committed: boolean): void {
    this.changes = [];
    this.state = 'I';
    this.variables.finish(committed);
    this.releaseKeys();
  }

  private releaseKeys(): void {
    const { keyReleases: releases } = this;
    this.keyReleases = [];
    releases.forEach((release) => release());
  }

  private async sendPayload(
    { rows, bytes }: { readonly rows: number; readonly bytes: number },
    portal: Portal,
    isSimple: boolean,
  ): Promise<Failure | undefined> {
    const { send, flush } = this.options;
    if (isSimple) send(encodeRowDescription(['payload']));
    const row = encodeDataRow(['x'.repeat(bytes)]);
    for (let index = 0; index < rows && !this.isClosed; index++) {
      if (this.cancellation.signal.aborted) return CANCELLED;
      send(row);
      if (index % PAYLOAD_ROWS_PER_FLUSH !== 0) continue;
      await flush();
      if (index > 0 && this.dropOnFault(portal.text, 'rows')) return CANCELLED;
    }
    return this.complete(`SELECT ${rows}`);
  }
}
