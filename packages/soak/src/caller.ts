import type { Random } from '@shallotpick/bench';
import type { Millis } from '@shallotpick/core';
import type { ItemWrite } from '@shallotpick/emulator';
import { ConnectionError, type DatabaseRoute, wait } from '@shallotpick/engine';
import type { AnswerChecker } from './answerchecker.js';
import { CallerSession, type SessionReply } from './callersession.js';
import type { InvariantChecker } from './invariantchecker.js';
import type { SoakOrganisation } from './organisations.js';
import type { SoakVm } from './vm.js';

const THINK_TIME_MS: Millis = 25;
const RECONNECT_MS: Millis = 60;
const ITEM_COUNT = 30;
/** Settings and collaborators of a caller. */
export interface SoakCallerOptions {
  readonly name: string;
  readonly route: DatabaseRoute;
  /** The organisation whose key the caller gives; undefined where callers need no key. */
  readonly organisation: SoakOrganisation | undefined;
  readonly checker: InvariantChecker;
  readonly answers: AnswerChecker;
  readonly random: Random;
  readonly readNow: () => Millis;
  /** Chooses a VM as the load balancer does; undefined when none is available. */
  readonly findVm: () => SoakVm | undefined;
}

/** Runs random operations in one session at a time; reconnects when the session breaks. */
export abstract class SoakCaller {
  /** Operations by outcome since the last `resetCounts`. */
  counts = { succeeded: 0, failed: 0 };

  private isStopped = false;

  private nextWriteNumber = 1;

  private session: CallerSession | undefined;

  /** Id of the session, set as its variable `tag`. */
  private tag = '';

  constructor(protected readonly options: SoakCallerOptions) {}

  get group(): string {
    return this.options.route.group;
  }

  async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        await this.connect(this.openSession());
        while (!this.isStopped) {
          await this.runOperation();
          await wait(THINK_TIME_MS * (1 + this.options.random.next()));
        }
      } catch (error) {
        if (!(error instanceof ConnectionError)) throw error;
        this.counts.failed += 1;
        await wait(RECONNECT_MS);
      } finally {
        this.session?.close();
      }
    }
  }

  /** Resets the counts of outcomes. */
  resetCounts(): void {
    this.counts = { succeeded: 0, failed: 0 };
  }

  stop(): void {
    this.isStopped = true;
    this.session?.close();
  }

  /** Opens the session and prepares it for operations. */
  protected abstract connect(session: CallerSession): Promise<void>;

  protected abstract runOperation(): Promise<void>;

  /** Sends what the operations of a session presuppose; the answers come in this order. */
  protected listSetup(): readonly string[] {
    return [`SET tag ${this.tag}`, 'PREPARE r READ shape', 'PREPARE w WRITE shape'];
  }

  /** @throws ConnectionError when the VM refuses the statement, since the session must end then. */
  protected async sendSetup(text: string): Promise<void> {
    const { failure } = await this.send(text);
    if (failure) throw new ConnectionError(failure.reason);
  }

  protected async send(text: string): Promise<SessionReply> {
    if (!this.session) throw new ConnectionError('the session is closed');
    return this.session.run(text);
  }

  /** Notes the value of the variable `note` that the VM has acknowledged. */
  protected rememberNote(note: string): void {
    if (this.session) this.session.note = note;
  }

  /** Ends the session without a word, as some callers do. */
  protected leave(): never {
    this.session?.close();
    throw new ConnectionError('the caller disconnects');
  }

  protected createWrite(): ItemWrite {
    const data = `${this.options.name}.${this.nextWriteNumber}`;
    this.nextWriteNumber += 1;
    return { item: this.chooseItem(), data };
  }

  protected formatStatement(access: 'READ' | 'WRITE', rest: string): string {
    const isPrepared = this.options.random.next() < 0.3;
    const name = access === 'READ' ? 'r' : 'w';
    return isPrepared ? `EXECUTE ${name} ${rest}` : `${access} ${rest}`;
  }

  protected async read(startedAt?: Millis): Promise<boolean> {
    const { checker, route, readNow } = this.options;
    const { tag } = this;
    const item = this.chooseItem();
    const visibleBefore = (startedAt ?? readNow()) - route.contract.maxAgeMs;
    const { failure, rows, id } = await this.send(this.formatStatement('READ', item));
    this.count(failure === undefined);
    if (failure) return false;
    checker.checkRow(rows[0], {
      ...{ group: this.findGroup(id), item, visibleBefore },
      session: route.readsOwnWrites ? tag : undefined,
    });
    return true;
  }

  protected async write(): Promise<void> {
    const write = this.createWrite();
    this.options.checker.recordCommitRequest([write]);
    const text = this.formatStatement('WRITE', `${write.item} ${write.data}`);
    this.recordOutcome([write], await this.send(text));
  }

  protected recordOutcome(writes: readonly ItemWrite[], { failure, id }: SessionReply): void {
    const { checker } = this.options;
    this.count(failure === undefined);
    if (failure) checker.recordRefusal(writes, failure.verdict);
    else checker.recordAcknowledgement(this.findGroup(id), this.tag, writes);
  }

  /** The group that a request ran in; the operator may move databases. */
  private findGroup(id: string): string {
    return this.options.checker.findGroup(id) ?? this.group;
  }

  protected count(isSuccess: boolean): void {
    if (isSuccess) this.counts.succeeded += 1;
    else this.counts.failed += 1;
  }

  private openSession(): CallerSession {
    const { findVm, name, random, organisation, checker, answers, readNow } = this.options;
    const vm = findVm();
    if (!vm) throw new ConnectionError('no VM is ready');
    this.tag = `${name}/${random.nextInt(2 ** 30)}`;
    this.session = new CallerSession({
      ...{ vm, caller: name, tag: this.tag, organisation, checker, answers, readNow },
    });
    return this.session;
  }

  private chooseItem(): string {
    return `item${this.options.random.nextInt(ITEM_COUNT)}`;
  }
}
