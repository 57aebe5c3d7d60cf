import { randomBytes } from 'node:crypto';
import { createConnection } from 'node:net';
import type { Random } from '@shallotpick/bench';
import type { Millis } from '@shallotpick/core';
import type { ItemWrite } from '@shallotpick/emulator';
import {
  ConnectionError,
  type DatabaseRoute,
  type Reply,
  wait,
  waitAtMost,
} from '@shallotpick/engine';
import { formatConnect, LineConnection } from '@shallotpick/platform';
import type { InvariantChecker } from './invariantchecker.js';
import type { SoakOrganisation } from './organisations.js';
import type { SoakVm } from './vm.js';

const ID_BYTES = 8;
const CONNECT_TIMEOUT_MS: Millis = 2_000;
const REPLY_TIMEOUT_MS: Millis = 5_000;
const THINK_TIME_MS: Millis = 25;
const RECONNECT_MS: Millis = 60;
const ITEM_COUNT = 30;
const MAX_STATEMENTS = 3;
/** Shares of the transactions that the caller rolls back, or abandons by disconnecting. */
const ROLLBACK_SHARE = 0.15;
const DISCONNECT_SHARE = 0.05;

/** A request whose connection closed before its response. */
export interface InterruptedRequest {
  readonly vm: SoakVm;
  readonly id: string;
  readonly text: string;
  /** Time from the sending of the request to the close. */
  readonly waitedMs: Millis;
}

/** Settings and collaborators of a caller. */
export interface SoakCallerOptions {
  readonly name: string;
  readonly route: DatabaseRoute;
  /** The organisation whose key the caller gives; undefined where callers need no key. */
  readonly organisation: SoakOrganisation | undefined;
  readonly checker: InvariantChecker;
  readonly random: Random;
  readonly readNow: () => Millis;
  /** Chooses a VM as the load balancer does; undefined when none is available. */
  readonly findVm: () => SoakVm | undefined;
  /** Called when a request was interrupted while its process was shutting down. */
  readonly handleInterruptedRequest: (request: InterruptedRequest) => void;
}

/** Runs random operations in one session at a time; reconnects when the session breaks. */
export class SoakCaller {
  /** Operations by outcome since the last `resetCounts`. */
  counts = { succeeded: 0, failed: 0 };

  private isStopped = false;

  private nextWriteNumber = 1;

  private connection: LineConnection | undefined;

  private vm: SoakVm | undefined;

  /** Id of the session, set as its variable `tag`. */
  private session = '';

  constructor(private readonly options: SoakCallerOptions) {}

  get group(): string {
    return this.options.route.group;
  }

  async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        await this.connect();
        while (!this.isStopped) {
          await this.runOperation();
          await wait(THINK_TIME_MS * (1 + this.options.random.next()));
        }
      } catch (error) {
        if (!(error instanceof ConnectionError)) throw error;
        this.counts.failed += 1;
        await wait(RECONNECT_MS);
      } finally {
        this.connection?.close();
      }
    }
  }

  /** Resets the counts of outcomes. */
  resetCounts(): void {
    this.counts = { succeeded: 0, failed: 0 };
  }

  stop(): void {
    this.isStopped = true;
    this.connection?.close();
  }

  private async connect(): Promise<void> {
    const { findVm, route, name, random, organisation } = this.options;
    const vm = findVm();
    if (!vm) throw new ConnectionError('no VM is ready');
    this.vm = vm;
    const { port, host } = vm.callerProxy;
    const connection = new LineConnection(createConnection({ host, port }));
    this.connection = connection;
    this.session = `${name}/${random.nextInt(2 ** 30)}`;
    const greeting = connection.send(formatConnect(route.database, organisation?.key ?? name));
    const { failure } = await waitAtMost(greeting, CONNECT_TIMEOUT_MS);
    if (failure) throw new ConnectionError(failure.reason);
    await this.sendSetup(`SET tag ${this.session}`);
    await this.sendSetup('PREPARE r READ shape');
    await this.sendSetup('PREPARE w WRITE shape');
  }

  private async sendSetup(text: string): Promise<void> {
    const { failure } = await this.send(text);
    if (failure) throw new ConnectionError(failure.reason);
  }

  private async send(text: string): Promise<Reply> {
    const { checker } = this.options;
    const { connection, vm } = this;
    // A session that was closed between two requests interrupts none.
    if (!connection?.isUsable() || !vm) throw new ConnectionError('the session is closed');
    const id = randomBytes(ID_BYTES).toString('hex');
    const { name, organisation } = this.options;
    const sentAt = this.options.readNow();
    const tag = this.session;
    checker.recordSentStatement(id, { caller: name, text, tag, organisation, sentAt });
    const wasStopping = vm.isStopping;
    try {
      return await waitAtMost(connection.send(`QUERY ${id} ${text}`), REPLY_TIMEOUT_MS);
    } catch (error) {
      if (!this.isStopped && (wasStopping || vm.isStopping)) {
        const waitedMs = this.options.readNow() - sentAt;
        this.options.handleInterruptedRequest({ vm, id, text, waitedMs });
      }
      throw error;
    }
  }

  private async runOperation(): Promise<void> {
    const { random } = this.options;
    const kind = random.next();
    if (kind < 0.5) await this.read();
    else if (kind < 0.75) await this.write();
    else await this.runTransaction();
  }

  private chooseItem(): string {
    return `item${this.options.random.nextInt(ITEM_COUNT)}`;
  }

  private createWrite(): ItemWrite {
    const data = `${this.options.name}.${this.nextWriteNumber}`;
    this.nextWriteNumber += 1;
    return { item: this.chooseItem(), data };
  }

  private formatStatement(access: 'READ' | 'WRITE', rest: string): string {
    const isPrepared = this.options.random.next() < 0.3;
    const name = access === 'READ' ? 'r' : 'w';
    return isPrepared ? `EXECUTE ${name} ${rest}` : `${access} ${rest}`;
  }

  private async read(startedAt?: Millis): Promise<boolean> {
    const { checker, route, readNow } = this.options;
    const item = this.chooseItem();
    const visibleBefore = (startedAt ?? readNow()) - route.contract.maxAgeMs;
    const { failure, rows } = await this.send(this.formatStatement('READ', item));
    this.count(failure === undefined);
    if (failure) return false;
    checker.checkRow(rows[0], {
      ...{ group: this.group, item, visibleBefore },
      session: route.readsOwnWrites ? this.session : undefined,
    });
    return true;
  }

  private async write(): Promise<void> {
    const write = this.createWrite();
    this.options.checker.recordCommitRequest([write]);
    const text = this.formatStatement('WRITE', `${write.item} ${write.data}`);
    const { failure } = await this.send(text);
    this.recordOutcome([write], failure);
  }

  /** Runs a transaction of reads and writes; some are rolled back or abandoned. */
  private async runTransaction(): Promise<void> {
    const { random, readNow } = this.options;
    const startedAt = readNow();
    const begun = await this.send('BEGIN');
    if (begun.failure) {
      this.count(false);
      return;
    }
    const writes: ItemWrite[] = [];
    const length = 1 + random.nextInt(MAX_STATEMENTS);
    let isIntact = true;
    for (let index = 0; index < length && isIntact; index++) {
      if (random.next() < 0.5) {
        isIntact = await this.read(startedAt);
      } else {
        const write = this.createWrite();
        const text = this.formatStatement('WRITE', `${write.item} ${write.data}`);
        const { failure } = await this.send(text);
        writes.push(write);
        isIntact = failure === undefined;
      }
      await wait(random.nextInt(THINK_TIME_MS));
    }
    const ending = random.next();
    if (ending < DISCONNECT_SHARE) {
      this.connection?.close();
      throw new ConnectionError('the caller disconnects');
    }
    if (!isIntact || ending < DISCONNECT_SHARE + ROLLBACK_SHARE) await this.rollBack();
    else await this.commit(writes);
  }

  private async commit(writes: readonly ItemWrite[]): Promise<void> {
    this.options.checker.recordCommitRequest(writes);
    const { failure } = await this.send('COMMIT');
    this.recordOutcome(writes, failure);
  }

  private async rollBack(): Promise<void> {
    await this.send('ROLLBACK');
  }

  private recordOutcome(writes: readonly ItemWrite[], failure: Reply['failure']): void {
    const { checker } = this.options;
    this.count(failure === undefined);
    if (failure) checker.recordRefusal(writes, failure.verdict);
    else checker.recordAcknowledgement(this.group, this.session, writes);
  }

  private count(isSuccess: boolean): void {
    if (isSuccess) this.counts.succeeded += 1;
    else this.counts.failed += 1;
  }
}
