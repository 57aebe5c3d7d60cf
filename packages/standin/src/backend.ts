import { randomInt } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Socket } from 'node:net';
import { parseScript } from '@shallotpick/core';
import {
  BACKEND,
  CONTROL_USER,
  encodeAuthenticationOk,
  encodeBackendKeyData,
  encodeEmptyMessage,
  encodeRowDescription,
  encodeErrorResponse,
  encodeParameterDescription,
  encodeParameterStatus,
  INCARNATION_PARAMETER,
  encodeReadyForQuery,
  type Frame,
  FrameReader,
  FRONTEND,
  MAX_STARTUP_BYTES,
  parseParse,
  parseQuery,
  parseStartup,
  parseDescribeTarget,
} from '@shallotpick/wire';
import { parseBindValues } from './bindmessage.js';
import { Executor, type Failure, type Portal } from './executor.js';
import type { StandinInstance } from './instance.js';
import { countParameters, listColumns, parseStatement } from './query.js';

const MAX_SECRET = 2 ** 31 - 1;

let nextProcessId = 1;

/** Serves one connection to a stand-in instance over the PostgreSQL protocol. */
export class Backend {
  isControl = false;

  isStarted = false;

  private zone = '';

  private readonly reader = new FrameReader(false, MAX_STARTUP_BYTES);

  private readonly statements = new Map<string, string>();

  private readonly portals = new Map<string, Portal>();

  private isSkippingUntilSync = false;

  private output: Buffer[] = [];

  private isProcessing = false;

  private isClosed = false;

  private readonly executor: Executor;

  private processId = 0;

  private readonly secret = randomInt(1, MAX_SECRET);

  constructor(
    private readonly instance: StandinInstance,
    private readonly socket: Socket,
    private readonly onClose: () => void,
  ) {
    this.executor = new Executor({
      instance,
      isControl: () => this.isControl,
      send: (bytes) => this.output.push(bytes),
      flush: () => this.flush(),
      drop: () => this.drop(),
    });
    socket.setNoDelay(true);
    socket.on('data', (chunk) => {
      this.reader.add(chunk);
      this.processPending();
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.handleClose());
  }

  close(): void {
    this.socket.destroy();
  }

  hasCancelKey(processId: number, secret: number): boolean {
    return this.processId === processId && this.secret === secret;
  }

  /** Interrupts the running statement. */
  cancel(): void {
    this.executor.cancel();
  }

  /** Processes buffered messages, for example after a pause. */
  processPending(): void {
    if (this.isProcessing) return;
    this.isProcessing = true;
    this.handleFrames()
      .catch(() => this.socket.destroy())
      .finally(() => {
        this.isProcessing = false;
      });
  }

  private handleClose(): void {
    this.isClosed = true;
    this.executor.close();
    this.onClose();
  }

  private drop(): void {
    this.output = [];
    this.isClosed = true;
    this.executor.close();
    this.socket.destroy();
  }

  /** Tells whether the instance is paused or the proxy's zone is blocked. */
  private isBlocked(): boolean {
    return this.instance.isPaused || this.instance.blockedZones.has(this.zone);
  }

  private async handleFrames(): Promise<void> {
    while (!this.isClosed && !this.isBlocked()) {
      const frame = this.reader.read();
      if (!frame) {
        await this.flush();
        return;
      }
      if (this.isStarted) await this.handleFrame(frame);
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
      this.instance.cancel(startup.processId, startup.secret);
      this.socket.end();
      return;
    }
    this.isControl = startup.parameters.get('user') === CONTROL_USER;
    this.zone = startup.parameters.get('application_name')?.split('/')[2] ?? '';
    const { options } = this.instance;
    if (!this.isControl) {
      if (this.instance.countConnections() >= options.connectionLimit) {
        const message = 'sorry, too many clients already';
        this.socket.end(encodeErrorResponse({ severity: 'FATAL', code: '53300', message }));
        return;
      }
      this.isStarted = true;
      const open = this.instance.countConnections();
      this.instance.peakConnections = Math.max(this.instance.peakConnections, open);
      await sleep(options.connectCostMs);
    }
    this.isStarted = true;
    this.reader.startTyped();
    this.processId = nextProcessId;
    nextProcessId += 1;
    this.output.push(
      encodeAuthenticationOk(),
      encodeParameterStatus('server_version', '15.0 (stand-in)'),
      encodeParameterStatus('client_encoding', 'UTF8'),
      encodeParameterStatus('standard_conforming_strings', 'on'),
      encodeParameterStatus(INCARNATION_PARAMETER, this.instance.incarnation),
      encodeBackendKeyData(this.processId, this.secret),
      encodeReadyForQuery('I'),
    );
    await this.flush();
  }

  private async handleFrame({ type, body }: Frame): Promise<void> {
    if (type === FRONTEND.sync) {
      const failure = this.executor.finishImplicitTransaction(!this.isSkippingUntilSync);
      if (failure) this.output.push(encodeErrorResponse({ severity: 'ERROR', ...failure }));
      this.isSkippingUntilSync = false;
      await this.sendReady();
      return;
    }
    if (type === FRONTEND.terminate) {
      this.socket.end();
      return;
    }
    if (type === FRONTEND.query) {
      await this.handleSimpleQuery(parseQuery(body));
      return;
    }
    if (!this.isSkippingUntilSync) await this.handleExtended(type, body);
  }

  private async sendReady(): Promise<void> {
    if (this.executor.state === 'I') this.portals.clear();
    this.output.push(encodeReadyForQuery(this.executor.state));
    await this.flush();
  }

  private async handleSimpleQuery(source: string): Promise<void> {
    const texts = parseScript(source).map((statement) => statement.source);
    if (texts.length > 1) this.executor.startImplicitTransaction();
    // A simple Query destroys the unnamed statement.
    this.statements.delete('');
    let failure: Failure | undefined;
    for (const text of texts) {
      if (text !== texts[0]) this.executor.startImplicitTransaction();
      failure = await this.executor.run({ text, values: [] }, true);
      if (failure) break;
    }
    const commitFailure = this.executor.finishImplicitTransaction(!failure);
    if (failure ?? commitFailure) this.failStatement((failure ?? commitFailure) as Failure);
    this.isSkippingUntilSync = false;
    await this.sendReady();
  }

  private async handleExtended(type: number, body: Buffer): Promise<void> {
    if (type === FRONTEND.parse) {
      const { name, text } = parseParse(body);
      if (name !== '' && this.statements.has(name)) {
        this.failStatement({
          code: '42P05',
          message: `prepared statement "${name}" already exists`,
        });
        return;
      }
      this.statements.set(name, text);
      this.output.push(encodeEmptyMessage(BACKEND.parseComplete));
      return;
    }
    if (type === FRONTEND.bind) {
      const { portal, statement, values } = parseBindValues(body);
      const text = this.statements.get(statement);
      if (text === undefined) {
        this.failStatement({
          code: '26000',
          message: `prepared statement "${statement}" does not exist`,
        });
        return;
      }
      this.portals.set(portal, { text, values });
      this.output.push(encodeEmptyMessage(BACKEND.bindComplete));
      return;
    }
    if (type === FRONTEND.describe) this.describe(body);
    else if (type === FRONTEND.execute) {
      const name = body.toString('utf8', 0, body.indexOf(0));
      const portal = this.portals.get(name);
      const maxRows = body.readInt32BE(body.indexOf(0) + 1);
      this.executor.startImplicitTransaction();
      if (portal) await this.runPortal(portal, maxRows);
      else this.failStatement({ code: '34000', message: `portal "${name}" does not exist` });
    } else if (type === FRONTEND.close) {
      const { kind, name } = parseDescribeTarget(body);
      (kind === 'statement' ? this.statements : this.portals).delete(name);
      this.output.push(encodeEmptyMessage(BACKEND.closeComplete));
    } else if (type === FRONTEND.flush) await this.flush();
    else this.failStatement({ code: '0A000', message: 'message type is not supported' });
  }

  private describe(body: Buffer): void {
    const { kind, name } = parseDescribeTarget(body);
    const text = kind === 'statement' ? this.statements.get(name) : this.portals.get(name)?.text;
    if (text === undefined) {
      this.failStatement({ code: '26000', message: `${kind} "${name}" does not exist` });
      return;
    }
    if (kind === 'statement') this.output.push(encodeParameterDescription(countParameters(text)));
    const columns = listColumns(parseStatement(text).query);
    this.output.push(columns ? encodeRowDescription(columns) : encodeEmptyMessage(BACKEND.noData));
  }

  private async runPortal(portal: Portal, maxRows: number): Promise<void> {
    const failure = await this.executor.run(portal, false, maxRows);
    if (failure) this.failStatement(failure);
  }

  private failStatement({ code, message }: Failure): void {
    this.output.push(encodeErrorResponse({ severity: 'ERROR', code, message }));
    this.isSkippingUntilSync = true;
    this.executor.handleFailure();
  }

  private async flush(): Promise<void> {
    if (this.output.length === 0 || this.isClosed) return;
    const bytes = Buffer.concat(this.output);
    this.output = [];
    const { answerDelayMs } = this.instance.options;
    if (answerDelayMs > 0) await sleep(answerDelayMs);
    // A paused instance or a blocked zone gets its responses only after the fault ends.
    while (this.isBlocked() && !this.isClosed) await sleep(5);
    if (this.isClosed || this.socket.write(bytes)) return;
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        this.socket.off('drain', finish).off('close', finish);
        resolve();
      };
      this.socket.on('drain', finish).on('close', finish);
    });
  }
}
