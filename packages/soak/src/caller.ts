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
import type { SoakVm } from './vm.js';

const ID_BYTES = 8;
const CONNECT_TIMEOUT_MS: Millis = 2_000;
const REPLY_TIMEOUT_MS: Millis = 5_000;
const PAUSE_MS: Millis = 25;
const RECONNECT_MS: Millis = 60;
const ITEMS = 30;
const MAX_STATEMENTS = 3;
/** Part of the transactions that the caller ends without COMMIT, or leaves. */
const ROLLBACK_PART = 0.15;
const LEAVE_PART = 0.05;

/** A request whose connection ended before its answer. */
export interface InterruptedRequest {
  readonly vm: SoakVm;
  readonly id: string;
  readonly text: string;
  /** Time since it was sent. */
  readonly waitedMs: Millis;
}

export interface SoakCallerOptions {
  readonly name: string;
  readonly route: DatabaseRoute;
  readonly checker: InvariantChecker;
  readonly random: Random;
  readonly readNow: () => Millis;
  /** Chooses a VM as the balancer does; undefined when none is ready. */
  readonly findVm: () => SoakVm | undefined;
  /** Called when a request was cut while its process was asked to stop. */
  readonly handleInterruptedRequest: (cut: InterruptedRequest) => void;
}

/** A caller with one session at a time, which it uses until the session breaks. */
export class SoakCaller {
  /** Operations by outcome since the last reset. */
  counts = { succeeded: 0, failed: 0 };

  private isStopped = false;

  private next = 1;

  private connection: LineConnection | undefined;

  private vm: SoakVm | undefined;

  /** Names the session, which its statements carry as a value. */
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
          await wait(PAUSE_MS * (1 + this.options.random.next()));
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

  /** Starts a new count of outcomes. */
  resetCounts(): void {
    this.counts = { succeeded: 0, failed: 0 };
  }

  stop(): void {
    this.isStopped = true;
    this.connection?.close();
  }

  private async connect(): Promise<void> {
    const { findVm, route, name, random } = this.options;
    const vm = findVm();
    if (!vm) throw new ConnectionError('no VM is ready');
    this.vm = vm;
    const { port, host } = vm.callerProxy;
    const connection = new LineConnection(createConnection({ host, port }));
    this.connection = connection;
    this.session = `${name}/${random.nextInt(2 ** 30)}`;
    const greeting = connection.send(formatConnect(route.database, name));
    const { failure } = await waitAtMost(greeting, CONNECT_TIMEOUT_MS);
    if (failure) throw new ConnectionError(failure.reason);
    await this.expectLocal(`SET tag ${this.session}`);
    await this.expectLocal('PREPARE r READ shape');
    await this.expectLocal('PREPARE w WRITE shape');
  }

  private async expectLocal(text: string): Promise<void> {
    const { failure } = await this.send(text);
    if (failure) throw new ConnectionError(failure.reason);
  }

  private async send(text: string): Promise<Reply> {
    const { checker } = this.options;
    const { connection, vm } = this;
    // A session that is closed between two requests cuts none.
    if (!connection?.isUsable() || !vm) throw new ConnectionError('no session');
    const id = randomBytes(ID_BYTES).toString('hex');
    checker.recordSentStatement(id, { caller: this.options.name, text, tag: this.session });
    const wasStopping = vm.isStopping;
    const sentAt = this.options.readNow();
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
    return `item${this.options.random.nextInt(ITEMS)}`;
  }

  private createWrite(): ItemWrite {
    const data = `${this.options.name}.${this.next}`;
    this.next += 1;
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
    const others = (startedAt ?? readNow()) - route.contract.maxAgeMs;
    const { failure, rows } = await this.send(this.formatStatement('READ', item));
    this.count(failure === undefined);
    if (failure) return false;
    checker.checkRow(rows[0], {
      ...{ group: this.group, item, visibleBefore: others },
      session: route.readsOwnWrites ? this.session : undefined,
    });
    return true;
  }

  private async write(): Promise<void> {
    const write = this.createWrite();
    this.options.checker.recordCommitRequest([write]);
    const text = this.formatStatement('WRITE', `${write.item} ${write.data}`);
    const { failure } = await this.send(text);
    this.settle([write], failure);
  }

  /** A transaction of reads and writes, which some callers roll back or leave. */
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
    let isKept = true;
    for (let index = 0; index < length && isKept; index++) {
      if (random.next() < 0.5) {
        isKept = await this.read(startedAt);
      } else {
        const write = this.createWrite();
        const text = this.formatStatement('WRITE', `${write.item} ${write.data}`);
        const { failure } = await this.send(text);
        writes.push(write);
        isKept = failure === undefined;
      }
      await wait(random.nextInt(PAUSE_MS));
    }
    const fate = random.next();
    if (fate < LEAVE_PART) {
      this.connection?.close();
      throw new ConnectionError('the caller leaves');
    }
    if (!isKept || fate < LEAVE_PART + ROLLBACK_PART) await this.rollBack();
    else await this.commit(writes);
  }

  private async commit(writes: readonly ItemWrite[]): Promise<void> {
    this.options.checker.recordCommitRequest(writes);
    const { failure } = await this.send('COMMIT');
    this.settle(writes, failure);
  }

  private async rollBack(): Promise<void> {
    await this.send('ROLLBACK');
  }

  private settle(writes: readonly ItemWrite[], failure: Reply['failure']): void {
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
