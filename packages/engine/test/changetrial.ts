import { formatPosition, hasPosition, type LogPosition, type Millis } from '@shallotpick/core';
import {
  type CallerRequest,
  type Reply,
  type Session,
  type Statement,
  type Verdict,
  wait,
} from '../src/index.js';
import {
  type Change,
  createConfiguration,
  createRegistration,
  FIRST_SETTINGS,
  GROUPS,
  KEYS,
  listInstances,
  nameDatabase,
  type Step,
  VMS,
} from './changes.js';
import { FakeInstance } from './fake.js';
import { type RunningProxy, VirtualFleet } from './virtualfleet.js';
import { VirtualTime } from './virtualtime.js';

const SESSIONS_PER_VM = 8;
/** Where the logs of the groups end at the start. */
const FIRST_OFFSETS = [1_000, 10] as const;
/** Longest pause of a caller between two requests. */
const MAX_PAUSE_MS: Millis = 30;
const START_MS: Millis = 1_000;
/** Within this time after the last change everything in progress has ended. */
const END_MS: Millis = 4_000;
const GRACE_MS: Millis = 4_000;
/** A reply may be late by a tick, the wait for another permit, and a retry. */
export const REPLY_MARGIN_MS: Millis = 160;

/** These verdicts promise that a request has no effect. */
const NO_EFFECT: ReadonlySet<Verdict> = new Set<Verdict>([
  ...(['overloaded', 'aborted', 'lagging', 'readOnly', 'wrongInstance'] as const),
  ...(['tooManyConnections', 'unauthenticated', 'unknownDatabase', 'malformed'] as const),
]);

/** A request that waits for its reply. */
interface OpenRequest {
  readonly session: Session;
  readonly description: string;
  readonly startedAt: Millis;
}

/** A VM with its callers' sessions. */
interface Vm {
  readonly running: RunningProxy;
  readonly sessions: readonly Session[];
  isServing: boolean;
  /** True once the platform has killed the process after its grace time. */
  isKilled: boolean;
}

/** A seeded source of numbers from 0 up to 1. */
export function createRandom(seed: number): () => number {
  let state = seed + 1;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

/** Runs callers' requests under a series of changes, in virtual time. */
export class ChangeTrial {
  /** Requests without a reply in time, broken promises, and errors. */
  readonly violations: string[] = [];

  replies = 0;

  successes = 0;

  private readonly random: () => number;

  private readonly time: VirtualTime;

  private readonly instances = new Map<string, FakeInstance>();

  private readonly fleet: VirtualFleet;

  private readonly vms = new Map<string, Vm>();

  private readonly open = new Set<OpenRequest>();

  private readonly promised: string[] = [];

  /** The end of each session's last commit in each group. */
  private readonly committed = new Map<Session, Map<string, LogPosition>>();

  private version = 0;

  private startedAt = 1;

  private nextId = 1;

  private isEnding = false;

  private readonly handleRejection = (error: unknown): void => {
    this.violations.push(`unhandled rejection: ${String(error)}`);
  };

  constructor(seed: number) {
    this.random = createRandom(seed);
    this.time = new VirtualTime(this.random);
    GROUPS.forEach((group, index) => {
      const members = listInstances([group]).map((id) => new FakeInstance(id));
      const [leader, ...replicas] = members;
      Object.assign(leader!, { isLeader: true, replicas });
      // The logs of two groups have different positions.
      const position = { term: 1, offset: FIRST_OFFSETS[index]! };
      members.forEach((one) => this.instances.set(one.id, Object.assign(one, { position })));
    });
    this.fleet = new VirtualFleet(this.instances);
  }

  /** Runs the trial and returns what went wrong. */
  async run(steps: readonly Step[]): Promise<readonly string[]> {
    process.on('unhandledRejection', this.handleRejection);
    try {
      await this.start();
      for (const { afterMs, change } of steps) {
        await this.time.advance(afterMs);
        this.apply(change);
      }
      await this.time.advance(END_MS);
      this.isEnding = true;
      await this.time.advance(END_MS);
      this.checkEnd();
    } finally {
      this.time.restore();
      process.off('unhandledRejection', this.handleRejection);
    }
    return this.violations;
  }

  private async start(): Promise<void> {
    this.instances.forEach((_, id) => {
      this.register(id, false);
      this.fleet.updateInstance(id, 'answer');
    });
    this.apply({ kind: 'configure', settings: FIRST_SETTINGS });
    VMS.forEach((vm) => this.startVm(vm));
    await this.time.advance(START_MS);
  }

  private register(id: string, leaving: boolean): void {
    this.fleet.store.put('instances', id, createRegistration(id, this.startedAt, leaving));
  }

  private startVm(vm: string): void {
    const running = this.fleet.create(vm, 'z');
    running.start().catch(this.handleRejection);
    const sessions: Session[] = [];
    const started = { running, sessions, isServing: true, isKilled: false };
    for (let index = 0; index < SESSIONS_PER_VM; index += 1) {
      sessions.push(this.startSession(started));
    }
    this.vms.set(vm, started);
  }

  private startSession(vm: Vm): Session {
    const { running } = vm;
    const group = this.choose(GROUPS);
    const database = nameDatabase(group, this.random() < 0.5);
    const session = running.proxy.createSession(database, this.choose(KEYS));
    running.proxy.addCaller({
      session,
      isQuiescent: () => false,
      close: () => undefined,
    });
    this.call(session, vm, database).catch(this.handleRejection);
    return session;
  }

  private apply(change: Change): void {
    switch (change.kind) {
      case 'configure':
        this.version += 1;
        this.fleet.store.put(
          'configurations',
          'main',
          createConfiguration(this.version, change.settings),
        );
        return;
      case 'instance':
        this.fleet.updateInstance(change.id, change.mode);
        return;
      case 'breakConnections':
        this.instances.get(change.id)?.breakConnections();
        return;
      case 'restartInstance':
        this.startedAt += 1;
        this.instances.get(change.id)?.breakConnections();
        this.register(change.id, false);
        return;
      case 'hearing':
        Object.assign(this.instances.get(change.id)!, { isDeaf: change.isDeaf });
        return;
      case 'leave':
        this.register(change.id, true);
        return;
      case 'store':
        this.fleet.store.mode = change.mode;
        return;
      case 'links':
        this.fleet.linkMode = change.mode;
        return;
      default:
        this.stopVm(change.vm, change.kind === 'restartVm');
    }
  }

  /** Drains a VM, or stops it at once and starts another process. */
  private stopVm(name: string, isRestart: boolean): void {
    const vm = this.vms.get(name);
    if (!vm?.isServing) {
      if (isRestart) this.startVm(name);
      return;
    }
    vm.isServing = false;
    if (!isRestart) {
      vm.running.proxy
        .drain(GRACE_MS)
        .then(() => vm.running.stopWatchers())
        .catch(this.handleRejection);
      setTimeout(() => {
        vm.isKilled = true;
        this.checkKilled(vm.sessions);
      }, GRACE_MS);
      return;
    }
    vm.running.proxy.stop();
    vm.running.stopWatchers();
    this.startVm(name);
  }

  /** Checks what a process still works on at the end of its grace time; the kill cuts it off. */
  private checkKilled(sessions: readonly Session[]): void {
    this.open.forEach(({ session, description }) => {
      if (sessions.includes(session)) this.violations.push(`${description}: cut by the kill`);
    });
  }

  /** Sends requests one after the other, as a caller does. */
  private async call(session: Session, vm: Vm, database: string): Promise<void> {
    const { running } = vm;
    let transactionLimit: Millis | undefined;
    while (!this.isEnding && !vm.isKilled) {
      await wait(this.random() * MAX_PAUSE_MS);
      const { timeoutMs = 0 } = running.configuration.findRoute(database) ?? {};
      const isOpen = !session.isIdle();
      const request = this.createRequest(isOpen);
      const limit = isOpen ? (transactionLimit ?? timeoutMs) : timeoutMs;
      // The first statement of a transaction opens it, within the timeout, and then runs.
      const reply = await this.send(session, request, isOpen ? 2 * limit : limit);
      if (request.statement.kind === 'begin' && reply && !reply.failure) {
        transactionLimit = timeoutMs;
      }
    }
  }

  private async send(
    session: Session,
    request: CallerRequest,
    limitMs: Millis,
  ): Promise<Reply | undefined> {
    const { id, statement } = request;
    const startedAt = this.time.now;
    const description = `${statement.kind} ${id}, sent at ${Math.round(startedAt)} ms`;
    const one = { session, description, startedAt };
    this.open.add(one);
    try {
      const reply = await session.run(request);
      this.checkReply(request, reply, description, this.time.now - startedAt - limitMs);
      this.checkPosition(session, request, reply, description);
      return reply;
    } catch (error) {
      this.violations.push(`${description}: threw ${String(error)}`);
      return undefined;
    } finally {
      this.open.delete(one);
    }
  }

  private checkReply(
    { id, statement }: CallerRequest,
    { failure }: Reply,
    description: string,
    lateMs: Millis,
  ): void {
    this.replies += 1;
    if (!failure) this.successes += 1;
    const isEffect = statement.kind === 'write' || statement.kind === 'commit';
    if (failure && isEffect && NO_EFFECT.has(failure.verdict)) this.promised.push(id);
    if (lateMs <= REPLY_MARGIN_MS) return;
    const outcome = failure ? `${failure.verdict}, ${failure.reason}` : 'success';
    this.violations.push(`${description}: ${Math.round(lateMs)} ms too late (${outcome})`);
  }

  /** Checks that a read shows what its session has committed in the group that served it. */
  private checkPosition(
    session: Session,
    { statement: { kind } }: CallerRequest,
    { digest, position, state }: Reply,
    description: string,
  ): void {
    const group = digest?.match(/^digest of (\w+)-/)?.[1];
    if (group === undefined || !position) return;
    const known = this.committed.get(session) ?? new Map<string, LogPosition>();
    this.committed.set(session, known);
    if (kind === 'commit' || (kind === 'write' && state === 'idle')) known.set(group, position);
    const required = known.get(group);
    if (kind !== 'read' || !required || hasPosition(position, required)) return;
    this.violations.push(
      `${description}: read at ${formatPosition(position)} of ${digest}, committed ${formatPosition(required)}, ${state}`,
    );
  }

  private checkEnd(): void {
    this.open.forEach(({ description }) => this.violations.push(`${description}: no reply`));
    const committed = new Set([...this.instances.values()].flatMap((one) => one.committed));
    this.promised
      .filter((id) => committed.has(id))
      .forEach((id) => this.violations.push(`${id} took effect though that was denied`));
    this.time.errors.forEach((error) =>
      this.violations.push(`a timer threw ${error instanceof Error ? error.stack : String(error)}`),
    );
  }

  private createRequest(isOpen: boolean): CallerRequest {
    const id = `r${this.nextId}`;
    this.nextId += 1;
    return { id, statement: this.createStatement(id, isOpen) };
  }

  private createStatement(id: string, isOpen: boolean): Statement {
    const draw = this.random();
    if (isOpen && draw < 0.3) return { kind: 'commit' };
    if (isOpen && draw < 0.35) return { kind: 'rollback' };
    if (!isOpen && draw < 0.2) return { kind: 'begin', isReadOnly: this.random() < 0.5 };
    if (draw < 0.4) return { kind: 'set', name: this.choose(['a', 'b']), value: id };
    if (draw < 0.45) return { kind: 'prepare', name: 'p', access: 'read', shape: id };
    if (draw < 0.5) return { kind: 'execute', name: 'p', rest: '' };
    return { kind: draw < 0.75 ? 'read' : 'write', text: id };
  }

  private choose<T>(options: readonly T[]): T {
    const chosen = options[Math.floor(this.random() * options.length)];
    if (chosen === undefined) throw new RangeError('no option');
    return chosen;
  }
}
