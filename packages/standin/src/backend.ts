import { setTimeout as sleep } from 'node:timers/promises';
import type { Socket } from 'node:net';
import { match, P } from 'ts-pattern';
import {
  BACKEND,
  CONTROL_USER,
  encodeAuthenticationOk,
  encodeBackendKeyData,
  encodeBare,
  encodeColumns,
  encodeCommandComplete,
  encodeError,
  encodeParameters,
  encodeParameterStatus,
  encodeReady,
  encodeRow,
  type Frame,
  FrameReader,
  FRONTEND,
  MAX_STARTUP_BYTES,
  parseParse,
  parseQuery,
  parseStartup,
  parseTarget,
  type TransactionState,
} from '@shallotpick/wire';
import { parseBindValues } from './bind.js';
import type { StandinInstance } from './instance.js';
import { countParameters, listColumns, parseStatement, type Query } from './query.js';
import type { RowChange } from './store.js';

interface Failure {
  readonly code: string;
  readonly message: string;
}

interface Portal {
  readonly text: string;
  readonly values: readonly (string | null)[];
}

const READ_ONLY: Failure = { code: '25006', message: 'cannot write on a read-only instance' };
const ABORTED: Failure = { code: '25P02', message: 'current transaction is aborted' };

let nextProcessId = 1;

/** Serves one connection of a stand-in instance. */
export class Backend {
  isControl = false;

  started = false;

  private zone = '';

  private readonly reader = new FrameReader(false, MAX_STARTUP_BYTES);

  private state: TransactionState = 'I';

  private changes: RowChange[] = [];

  private releases: (() => void)[] = [];

  private readonly statements = new Map<string, string>();

  private readonly portals = new Map<string, Portal>();

  private skipping = false;

  private output: Buffer[] = [];

  private handling = false;

  private closed = false;

  constructor(
    private readonly instance: StandinInstance,
    private readonly socket: Socket,
    private readonly onClose: () => void,
  ) {
    socket.setNoDelay(true);
    socket.on('data', (chunk) => {
      this.reader.add(chunk);
      this.wake();
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.handleClose());
  }

  close(): void {
    this.socket.destroy();
  }

  /** Goes on with messages that waited, for instance after a pause. */
  wake(): void {
    if (this.handling) return;
    this.handling = true;
    this.handleFrames()
      .catch(() => this.socket.destroy())
      .finally(() => {
        this.handling = false;
      });
  }

  private handleClose(): void {
    this.closed = true;
    this.finishTransaction();
    this.onClose();
  }

  /** True while the process is stopped or the proxy's zone is cut off. */
  private isHeld(): boolean {
    return this.instance.paused || this.instance.cutZones.has(this.zone);
  }

  private async handleFrames(): Promise<void> {
    while (!this.closed && !this.isHeld()) {
      const frame = this.reader.read();
      if (!frame) {
        await this.flush();
        return;
      }
      if (this.started) await this.handleFrame(frame);
      else await this.handleStartup(frame);
    }
  }

  private async handleStartup(frame: Frame): Promise<void> {
    const startup = parseStartup(frame.body);
    if (startup.kind === 'ssl' || startup.kind === 'gss') {
      this.socket.write('N');
      return;
    }
    if (startup.kind === 'cancel') {
      this.socket.end();
      return;
    }
    this.isControl = startup.parameters.get('user') === CONTROL_USER;
    this.zone = startup.parameters.get('application_name')?.split('/')[2] ?? '';
    const { options } = this.instance;
    if (!this.isControl) {
      if (this.instance.countConnections() >= options.connectionLimit) {
        const message = 'sorry, too many clients already';
        this.socket.end(encodeError({ severity: 'FATAL', code: '53300', message }));
        return;
      }
      this.started = true;
      const open = this.instance.countConnections();
      this.instance.peakConnections = Math.max(this.instance.peakConnections, open);
      await sleep(options.connectCostMs);
    }
    this.started = true;
    this.reader.startTyped();
    nextProcessId += 1;
    this.output.push(
      encodeAuthenticationOk(),
      encodeParameterStatus('server_version', '15.0 (stand-in)'),
      encodeParameterStatus('client_encoding', 'UTF8'),
      encodeParameterStatus('standard_conforming_strings', 'on'),
      encodeBackendKeyData(nextProcessId, nextProcessId),
      encodeReady('I'),
    );
    await this.flush();
  }

  private async handleFrame({ type, body }: Frame): Promise<void> {
    if (type === FRONTEND.sync) {
      this.skipping = false;
      this.output.push(encodeReady(this.state));
      await this.flush();
      return;
    }
    if (type === FRONTEND.terminate) {
      this.socket.end();
      return;
    }
    if (type === FRONTEND.query) {
      await this.runSimple(parseQuery(body));
      return;
    }
    if (!this.skipping) await this.handleExtended(type, body);
  }

  private async runSimple(source: string): Promise<void> {
    const texts = source.split(';').filter((text) => text.trim() !== '');
    if (texts.length === 0) this.output.push(encodeBare(BACKEND.emptyQuery));
    for (const text of texts) {
      if (!(await this.runStatement({ text, values: [] }, true))) break;
    }
    this.output.push(encodeReady(this.state));
    await this.flush();
  }

  private async handleExtended(type: number, body: Buffer): Promise<void> {
    if (type === FRONTEND.parse) {
      const { name, text } = parseParse(body);
      this.statements.set(name, text);
      this.output.push(encodeBare(BACKEND.parseComplete));
      return;
    }
    if (type === FRONTEND.bind) {
      const { portal, statement, values } = parseBindValues(body);
      const text = this.statements.get(statement);
      if (text === undefined) {
        this.fail({ code: '26000', message: `prepared statement "${statement}" does not exist` });
        return;
      }
      this.portals.set(portal, { text, values });
      this.output.push(encodeBare(BACKEND.bindComplete));
      return;
    }
    if (type === FRONTEND.describe) this.describe(body);
    else if (type === FRONTEND.execute) {
      const name = body.toString('utf8', 0, body.indexOf(0));
      const portal = this.portals.get(name);
      if (portal) await this.runStatement(portal, false);
      else this.fail({ code: '34000', message: `portal "${name}" does not exist` });
    } else if (type === FRONTEND.close) {
      const { kind, name } = parseTarget(body);
      (kind === 'statement' ? this.statements : this.portals).delete(name);
      this.output.push(encodeBare(BACKEND.closeComplete));
    } else if (type === FRONTEND.flush) await this.flush();
    else this.fail({ code: '0A000', message: 'message type is not supported' });
  }

  private describe(body: Buffer): void {
    const { kind, name } = parseTarget(body);
    const text = kind === 'statement' ? this.statements.get(name) : this.portals.get(name)?.text;
    if (text === undefined) {
      this.fail({ code: '26000', message: `${kind} "${name}" does not exist` });
      return;
    }
    if (kind === 'statement') this.output.push(encodeParameters(countParameters(text)));
    const columns = listColumns(parseStatement(text).query);
    this.output.push(columns ? encodeColumns(columns) : encodeBare(BACKEND.noData));
  }

  private fail({ code, message }: Failure): false {
    this.output.push(encodeError({ severity: 'ERROR', code, message }));
    this.skipping = true;
    if (this.state === 'T') this.state = 'E';
    return false;
  }

  private async runStatement(portal: Portal, isSimple: boolean): Promise<boolean> {
    const { query, costMs } = parseStatement(portal.text, portal.values);
    if (this.state === 'E' && query.kind !== 'rollback' && query.kind !== 'commit') {
      return this.finishFailed(ABORTED, isSimple);
    }
    const needsSlot = !this.isControl && !['begin', 'set', 'empty'].includes(query.kind);
    const cost = costMs ?? this.instance.options.statementCostMs;
    const outcome = needsSlot
      ? await this.instance.slots.run(async () => {
          if (cost > 0) await sleep(cost);
          return this.closed ? ABORTED : this.runQuery(query, isSimple);
        })
      : await this.runQuery(query, isSimple);
    return outcome ? this.finishFailed(outcome, isSimple) : true;
  }

  private finishFailed(failure: Failure, isSimple: boolean): false {
    this.fail(failure);
    if (isSimple) this.skipping = false;
    return false;
  }

  private async runQuery(query: Query, isSimple: boolean): Promise<Failure | undefined> {
    return match(query)
      .with({ kind: 'begin' }, () => {
        this.state = 'T';
        return this.complete('BEGIN');
      })
      .with({ kind: 'commit' }, () => this.runCommit())
      .with({ kind: 'rollback' }, () => {
        this.finishTransaction();
        return this.complete('ROLLBACK');
      })
      .with({ kind: 'empty' }, () => {
        this.output.push(encodeBare(BACKEND.emptyQuery));
        return undefined;
      })
      .with({ kind: 'set' }, ({ tag }) => this.complete(tag))
      .with({ kind: 'put' }, ({ key, value, tag }) => this.write('items', key, value, tag))
      .with({ kind: 'increment' }, ({ key }) => {
        const value = String(Number(this.findValue(key) ?? 0) + 1);
        return this.write('items', key, value, 'UPDATE 1');
      })
      .with({ kind: 'once' }, ({ key }) => this.writeOnce(key))
      .with({ kind: 'unsupported' }, ({ text }): Failure => ({
        code: '42601',
        message: `statement is not supported by the stand-in: ${text.slice(0, 80)}`,
      }))
      .with({ kind: 'payload' }, (payload) => this.sendPayload(payload, isSimple))
      .otherwise((read) => {
        const rows = this.listRows(read);
        if (isSimple) this.output.push(encodeColumns(listColumns(read) ?? []));
        rows.forEach((row) => this.output.push(encodeRow(row)));
        if (!this.isControl) this.instance.served.reads += 1;
        return this.complete(`SELECT ${rows.length}`);
      });
  }

  private complete(tag: string): undefined {
    this.output.push(encodeCommandComplete(tag));
    return undefined;
  }

  private findValue(key: string): string | undefined {
    const own = this.changes.findLast((change) => change.key === key && change.table === 'items');
    return own?.value ?? this.instance.store.findRow('items', key);
  }

  private write(
    table: RowChange['table'],
    key: string,
    value: string,
    tag: string,
  ): Failure | undefined {
    if (!this.instance.isWritable()) return READ_ONLY;
    const change = { table, key, value };
    if (this.state === 'T') this.changes.push(change);
    else if (!this.instance.commit([change])) return READ_ONLY;
    this.instance.served.writes += 1;
    return this.complete(tag);
  }

  private async writeOnce(key: string): Promise<Failure | undefined> {
    const release = await this.instance.lockOnceKey(key);
    if (this.instance.store.findRow('once', key) !== undefined) {
      release();
      return { code: '23505', message: 'duplicate key value violates unique constraint' };
    }
    this.releases.push(release);
    const failure = this.write('once', key, '', 'INSERT 0 1');
    if (this.state !== 'T' || failure) this.releaseKeys();
    return failure;
  }

  private runCommit(): Failure | undefined {
    const { state, changes } = this;
    if (state === 'E') {
      this.finishTransaction();
      return this.complete('ROLLBACK');
    }
    const committed = changes.length === 0 || this.instance.commit(changes);
    this.finishTransaction();
    if (committed) return this.complete('COMMIT');
    return { code: '40001', message: 'the instance was fenced; the transaction was rolled back' };
  }

  private finishTransaction(): void {
    this.changes = [];
    this.state = 'I';
    this.releaseKeys();
  }

  private releaseKeys(): void {
    const { releases } = this;
    this.releases = [];
    releases.forEach((release) => release());
  }

  private async sendPayload(
    { rows, bytes }: { readonly rows: number; readonly bytes: number },
    isSimple: boolean,
  ): Promise<undefined> {
    if (isSimple) this.output.push(encodeColumns(['payload']));
    const row = encodeRow(['x'.repeat(bytes)]);
    for (let index = 0; index < rows && !this.closed; index++) {
      this.output.push(row);
      if (this.output.length >= 64) await this.flush();
    }
    return this.complete(`SELECT ${rows}`);
  }

  private listRows(query: Query): readonly (readonly (string | null)[])[] {
    const { instance } = this;
    const { store } = instance;
    return match(query)
      .with({ kind: 'find' }, ({ key }) => {
        const value = this.findValue(key);
        return value === undefined ? [] : [[value]];
      })
      .with({ kind: 'list' }, () => store.listRows('items'))
      .with({ kind: 'count' }, () => [[String(store.listRows('items').length)]])
      .with({ kind: 'constant' }, ({ value }) => [[value]])
      .with({ kind: 'status' }, () => {
        const durable = store.readDurable();
        const applied = store.readApplied();
        return [
          [
            instance.role,
            ...[instance.fenceTerm, durable.term, durable.offset, applied.term, applied.offset].map(
              String,
            ),
            instance.following,
            String(instance.countConnections()),
            String(instance.slots.countRunning()),
          ],
        ];
      })
      .with({ kind: 'fence' }, ({ term }) => {
        const granted = instance.fence(term);
        const durable = store.readDurable();
        return [[granted ? 't' : 'f', String(durable.term), String(durable.offset)]];
      })
      .with({ kind: 'promote' }, ({ term }) => [[instance.promote(term) ? 't' : 'f']])
      .with({ kind: 'follow' }, ({ term, primary }) => [
        [instance.follow(term, primary) ? 't' : 'f'],
      ])
      .with({ kind: P.any }, () => [])
      .exhaustive();
  }

  private async flush(): Promise<void> {
    if (this.output.length === 0 || this.closed) return;
    const bytes = Buffer.concat(this.output);
    this.output = [];
    const { answerDelayMs } = this.instance.options;
    if (answerDelayMs > 0) await sleep(answerDelayMs);
    // A paused process, or one beyond a cut link, answers only after it comes back.
    while (this.isHeld() && !this.closed) await sleep(5);
    if (this.closed || this.socket.write(bytes)) return;
    await new Promise<void>((resolve) => {
      this.socket.once('drain', resolve).once('close', resolve);
    });
  }
}
