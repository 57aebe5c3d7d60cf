import {
  type Clock,
  type DatabaseInstance,
  type FenceAnswer,
  InstanceLink,
  type InstanceStatus,
  type Millis,
} from '@shallotpick/core';
import {
  BACKEND,
  CONTROL_USER,
  parseColumnNames,
  parseErrorFields,
  parseDataRow,
  serialize,
} from '@shallotpick/wire';
import { type ResponseSink, InstanceConnection } from './connection.js';
import { InstanceError } from './errors.js';
import { parseFence, parseStatus, type Row } from './instanceanswer.js';
import type { CaFile } from './tls.js';

const REQUEST_TIMEOUT_MS: Millis = 1_000;

/** Collects the single result row of a control function. */
class RowSink implements ResponseSink {
  row: Row | undefined;

  error: string | undefined;

  private columns: readonly string[] = [];

  handleFrame({ type, body }: { readonly type: number; readonly body: Buffer }): void {
    if (type === BACKEND.rowDescription) this.columns = parseColumnNames(body);
    if (type === BACKEND.error) this.error = parseErrorFields(body).get('M') ?? 'unknown error';
    if (type !== BACKEND.dataRow) return;
    const values = parseDataRow(body);
    this.row = Object.fromEntries(this.columns.map((name, index) => [name, values[index] ?? '']));
  }

  flush(): boolean {
    return false;
  }
}

/** Options of {@link ControlLink}. */
export interface ControlOptions {
  readonly instance: DatabaseInstance;
  readonly database: string;
  readonly applicationName: string;
  /** CA that signs the instance's certificate; without it the connection is cleartext. */
  readonly caFile?: CaFile | undefined;
  readonly clock: Clock;
}

/** Calls the control functions of an instance over one connection, reopened when it breaks. */
export class ControlLink extends InstanceLink {
  private connection: InstanceConnection | undefined;

  private opening: Promise<InstanceConnection> | undefined;

  private lastRequest: Promise<unknown> = Promise.resolve();

  private closed = false;

  constructor(private readonly options: ControlOptions) {
    super();
  }

  async readStatus(): Promise<InstanceStatus> {
    let requestedAt: Millis = 0;
    const row = await this.request('SELECT * FROM shallotpick_status()', () => {
      requestedAt = this.options.clock.readNow();
    });
    return parseStatus(row, { instance: this.options.instance.id, requestedAt });
  }

  async fence(term: number): Promise<FenceAnswer> {
    const row = await this.request(`SELECT * FROM shallotpick_fence(${term})`);
    return parseFence(row, this.options.instance.id, term);
  }

  async promote(term: number, incarnation?: string): Promise<boolean> {
    const condition = incarnation === undefined ? '' : `, '${incarnation}'`;
    const row = await this.request(`SELECT * FROM shallotpick_promote(${term}${condition})`);
    return row.done === 't';
  }

  async follow(term: number, primary: string): Promise<boolean> {
    const row = await this.request(`SELECT * FROM shallotpick_follow(${term}, '${primary}')`);
    return row.done === 't';
  }

  close(): void {
    this.closed = true;
    this.connection?.close();
  }

  /** Runs requests one after another; `onSend` is called just before the request is sent. */
  private request(text: string, onSend = (): void => {}): Promise<Row> {
    const result = this.lastRequest.then(() => this.runRequest(text, onSend));
    this.lastRequest = result.catch(() => undefined);
    return result;
  }

  private async runRequest(text: string, onSend: () => void): Promise<Row> {
    const connection = await this.connect();
    const sink = new RowSink();
    const timer = setTimeout(() => connection.close(), REQUEST_TIMEOUT_MS);
    try {
      onSend();
      await connection.run(serialize.query(text), sink);
    } finally {
      clearTimeout(timer);
    }
    if (!sink.row) throw new InstanceError(sink.error ?? 'the instance returned no row');
    return sink.row;
  }

  private async connect(): Promise<InstanceConnection> {
    if (this.closed) throw new InstanceError('the control connection is closed');
    if (this.connection?.isUsable()) return this.connection;
    this.opening ??= InstanceConnection.open({
      ...this.options,
      user: CONTROL_USER,
      timeoutMs: REQUEST_TIMEOUT_MS,
    }).finally(() => {
      this.opening = undefined;
    });
    this.connection = await this.opening;
    return this.connection;
  }
}
