import {
  comparePositions,
  type FenceReport,
  type Millis,
  type RegisteredInstance,
} from '@shallotpick/core';
import {
  type Command,
  ConnectionError,
  InstanceConnection,
  InstanceConnector,
  type Reply,
  type TransactionState,
  type Verdict,
  wait,
} from '../src/index.js';

/** Fake instance whose log is only a position; it records the commands that it receives. */
export class FakeInstance {
  isLeader = false;

  isDown = false;

  position = { term: 1, offset: 100 };

  /** True while it receives nothing, although its leader sends. */
  isDeaf = false;

  /** Term up to which it receives nothing; 0 while it receives. */
  heldTerm = 0;

  /** Replicas that receive each commit at once. */
  replicas: readonly FakeInstance[] = [];

  /** Rows of a read; by default one that names the instance. */
  rows: readonly string[] | undefined;

  /** Received commands as `id kind text`, without the proxy's own BEGIN, ROLLBACK and STATUS. */
  readonly received: string[] = [];

  /** Ids of the writes and commits that took effect. */
  readonly committed: string[] = [];

  readonly connections = new Set<FakeConnection>();

  /** Injects a failure for a command: a verdict, or `lose` to close the connection. */
  intercept: (command: Command) => Verdict | 'lose' | undefined = () => undefined;

  /** Time that a command takes. */
  readDelayMs: (command: Command) => Millis = () => 1;

  constructor(readonly id: string) {}

  /** Appends a commit to the leader's log, and to those of the replicas that receive. */
  commit(): void {
    if (!this.isLeader) return;
    this.position = { ...this.position, offset: this.position.offset + 1 };
    this.replicas
      .filter(({ heldTerm, isDeaf }) => heldTerm === 0 && !isDeaf)
      .forEach((replica) => Object.assign(replica, { position: this.position }));
  }

  /** Closes all connections. */
  breakConnections(): void {
    this.connections.forEach((connection) => connection.close());
  }
}

function formatCommand({ id = '-', operation, after }: Command): string {
  const suffix = after ? ` after ${after.term}.${after.offset}` : '';
  const { kind, ...rest } = operation;
  return `${id} ${kind}${suffix} ${Object.values(rest).join(' ')}`.trim();
}

/** Connection to a fake instance. */
export class FakeConnection extends InstanceConnection {
  state: TransactionState = 'idle';

  private isOpen = true;

  private isPlain = false;

  constructor(private readonly target: FakeInstance) {
    super();
    target.connections.add(this);
  }

  override async run(command: Command): Promise<Reply> {
    await wait(this.target.readDelayMs(command));
    if (!this.isOpen || this.target.isDown) throw new ConnectionError('down');
    const fault = this.target.intercept(command);
    const isStatement = !['begin', 'rollback', 'status'].includes(command.operation.kind);
    if (isStatement || command.id !== undefined) this.target.received.push(formatCommand(command));
    if (fault === 'lose') {
      this.close();
      throw new ConnectionError('lost');
    }
    return this.reply(command, fault ?? this.findVerdict(command));
  }

  override countPending(): number {
    return 0;
  }

  override isUsable(): boolean {
    return this.isOpen;
  }

  override close(): void {
    this.isOpen = false;
    this.target.connections.delete(this);
  }

  private createRows(kind: Command['operation']['kind']): readonly string[] {
    const { id, isLeader, heldTerm } = this.target;
    if (kind === 'status') return [isLeader ? 'primary' : 'replica', String(heldTerm)];
    return kind === 'read' ? (this.target.rows ?? [`row of ${id}`]) : [];
  }

  private findVerdict({ operation, after }: Command): Verdict | undefined {
    const { isLeader, position } = this.target;
    const { kind } = operation;
    if (after && comparePositions(position, after) < 0) return 'lagging';
    const isPlainBegin = kind === 'begin' && !operation.isReadOnly;
    if (!isLeader && (isPlainBegin || kind === 'write')) return 'readOnly';
    return !isLeader && this.isPlain && this.state === 'open' && kind !== 'rollback'
      ? 'readOnly'
      : undefined;
  }

  private reply({ id, operation }: Command, verdict: Verdict | undefined): Reply {
    const { kind } = operation;
    const { target } = this;
    if (verdict) {
      if (this.state === 'open') this.state = 'failed';
      const failure = { verdict, reason: target.id };
      return { rows: [], digest: undefined, failure, state: this.state, position: target.position };
    }
    if (kind === 'begin') {
      this.state = 'open';
      this.isPlain = !operation.isReadOnly;
    }
    if (kind === 'commit' || kind === 'rollback') this.state = 'idle';
    const isCommit = kind === 'commit' || (kind === 'write' && this.state === 'idle');
    if (isCommit) target.commit();
    if (isCommit && id !== undefined) target.committed.push(id);
    const rows = this.createRows(kind);
    const digest = `digest of ${target.id}`;
    return { rows, digest, failure: undefined, state: this.state, position: target.position };
  }
}

/** Opens connections to fake instances. */
export class FakeConnector extends InstanceConnector {
  constructor(private readonly instances: ReadonlyMap<string, FakeInstance>) {
    super();
  }

  override async open(
    { id }: RegisteredInstance,
    _timeoutMs?: Millis,
  ): Promise<InstanceConnection> {
    await wait(1);
    const instance = this.instances.get(id);
    if (!instance || instance.isDown) throw new ConnectionError('refused');
    return new FakeConnection(instance);
  }

  /** Parses the reply to a status request; orders to stop get none. */
  override parseFenceReport({ rows, position }: Reply): FenceReport | undefined {
    const [role, heldTerm] = rows;
    if (!position || (role !== 'primary' && role !== 'replica')) return undefined;
    return { role, term: position.term, received: position, heldTerm: Number(heldTerm) };
  }
}
