import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { getHeapStatistics } from 'node:v8';
import { computeClientLimits, type DatabaseInstance, type Millis } from '@shallotpick/core';
import {
  type ResponseSink,
  CallerConnection,
  type CallerHandler,
  type CallerRequest,
  ClientGuard,
  ConnectionPool,
  createLog,
  type InstanceConnection,
  Metrics,
  SystemClock,
} from '@shallotpick/daemon';
import {
  encodeErrorResponse,
  encodeReadyForQuery,
  type ErrorFields,
  type Frame,
} from '@shallotpick/wire';
import {
  type ClusterOptions,
  type Deployment,
  type ProxyUnderTest,
  startGroups,
} from './cluster.js';
import { formatNaiveApplicationName, NaiveGroup } from './naivegroup.js';

const DRAIN_POLL_MS: Millis = 10;

/** Counting semaphore with `limit` permits, granted in order of arrival. */
class FifoSemaphore {
  private free: number;

  private readonly waiting: (() => void)[] = [];

  constructor(limit: number) {
    this.free = limit;
  }

  async acquire(): Promise<void> {
    if (this.free > 0) {
      this.free -= 1;
      return;
    }
    await new Promise<void>((resolve) => {
      this.waiting.push(resolve);
    });
  }

  release(): void {
    const next = this.waiting.shift();
    if (next) next();
    else this.free += 1;
  }
}

/** Forwards each message of the instance unchanged to the caller. */
class ForwardingSink implements ResponseSink {
  private output: Buffer[] = [];

  constructor(
    private readonly caller: CallerConnection,
    private readonly connection: InstanceConnection,
  ) {}

  handleFrame({ raw }: Frame): void {
    this.output.push(raw);
  }

  flush(): boolean {
    if (this.output.length === 0) return false;
    const bytes = Buffer.concat(this.output);
    this.output = [];
    return this.caller.send(bytes, () => this.connection.resume());
  }
}

/** State that all sessions of a naive proxy share for one group. */
interface NaiveTarget {
  readonly group: NaiveGroup;
  readonly semaphore: FifoSemaphore;
  findPool(instance: DatabaseInstance): ConnectionPool;
}

/** A caller's session, which holds a connection from the first request to the end of a transaction. */
class NaiveSession implements CallerHandler {
  private target: NaiveTarget | undefined;

  private connection: InstanceConnection | undefined;

  private pool: ConnectionPool | undefined;

  constructor(
    private readonly caller: CallerConnection,
    private readonly findTarget: (database: string) => NaiveTarget | undefined,
  ) {}

  async handleStart(parameters: ReadonlyMap<string, string>): Promise<ErrorFields | undefined> {
    this.target = this.findTarget(parameters.get('database') ?? '');
    return undefined;
  }

  async handleRequest({ kind, frames }: CallerRequest): Promise<void> {
    const { target } = this;
    if (kind === 'terminate' || !target) {
      this.caller.close();
      return;
    }
    try {
      if (!this.connection) await this.open(target);
      const { connection } = this;
      if (!connection) return;
      const bytes = Buffer.concat(frames.map(({ raw }) => raw));
      const state = await connection.run(bytes, new ForwardingSink(this.caller, connection));
      if (state === 'I') this.release(target);
    } catch {
      this.release(target);
      const message = 'the connection to the database broke';
      const error = encodeErrorResponse({ severity: 'ERROR', code: '08006', message });
      this.caller.send(Buffer.concat([error, encodeReadyForQuery('I')]));
    }
  }

  handleStop(): void {
    this.caller.close();
  }

  handleClose(): void {
    this.connection?.close();
    if (this.target) this.release(this.target);
  }

  handleCancel(): void {
    // The naive proxy does not support cancel requests.
  }

  isInTransaction(): boolean {
    return this.connection !== undefined;
  }

  private async open(target: NaiveTarget): Promise<void> {
    await target.semaphore.acquire();
    const pool = target.findPool(target.group.primary);
    try {
      this.connection = await pool.connect();
      this.pool = pool;
    } catch (error) {
      target.semaphore.release();
      throw error;
    }
  }

  private release(target: NaiveTarget): void {
    if (!this.connection) return;
    this.pool?.release(this.connection);
    this.connection = undefined;
    target.semaphore.release();
  }
}

/** Baseline for measurements: sends all work to the primary, first come, first served. */
class NaiveProxy implements ProxyUnderTest {
  private readonly server: Server = createServer((socket) => this.handleSocket(socket));

  private readonly callers = new Set<CallerConnection>();

  private readonly targets = new Map<string, NaiveTarget>();

  private readonly pools = new Map<string, ConnectionPool>();

  private readonly guard = new ClientGuard({
    limits: computeClientLimits(undefined, getHeapStatistics().heap_size_limit),
    log: createLog('error', 'naive'),
    registry: new Metrics().registry,
  });

  constructor(
    groups: readonly NaiveGroup[],
    share: number,
    private readonly zone: string,
  ) {
    groups.forEach((group) => {
      const { name } = group.group.options;
      const findPool = (instance: DatabaseInstance): ConnectionPool =>
        this.findPool(instance, name);
      this.targets.set(name, { group, semaphore: new FifoSemaphore(share), findPool });
    });
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
  }

  readCallerPort(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Accepts no more callers and closes the open ones, as most simple proxies do. */
  async drain(): Promise<void> {
    this.server.close();
    await new Promise((resolve) => {
      setTimeout(resolve, DRAIN_POLL_MS);
    });
    this.stop();
  }

  stop(): void {
    this.server.close();
    this.callers.forEach((caller) => caller.close());
    this.pools.forEach((pool) => pool.close());
  }

  private findPool(instance: DatabaseInstance, database: string): ConnectionPool {
    const known = this.pools.get(instance.id);
    if (known) return known;
    const pool = new ConnectionPool({
      instance,
      database,
      user: 'shallotpick',
      applicationName: formatNaiveApplicationName(this.zone),
      clock: new SystemClock(),
    });
    this.pools.set(instance.id, pool);
    return pool;
  }

  private handleSocket(socket: Socket): void {
    const caller = new CallerConnection(socket, this.guard, () => undefined);
    caller.handler = new NaiveSession(caller, (database) => this.targets.get(database));
    this.callers.add(caller);
    socket.once('close', () => this.callers.delete(caller));
  }
}

/** Starts stand-in instances and naive proxies, which share each primary's connections evenly. */
export async function createNaiveDeployment(options: ClusterOptions): Promise<Deployment> {
  const { profile, statementCostMs } = options;
  const { zones } = profile;
  const groups = await startGroups(profile, statementCostMs);
  const watched = groups.map((group) => new NaiveGroup(group, zones[0] ?? ''));
  const count = options.proxies ?? profile.proxies;
  const share = Math.max(1, Math.floor(profile.connectionLimit / count));
  const daemons = Array.from(
    { length: count },
    (_, index) => new NaiveProxy(watched, share, zones[index % zones.length] ?? ''),
  );
  await Promise.all(daemons.map((daemon) => daemon.start()));
  const stop = async (): Promise<void> => {
    daemons.forEach((daemon) => daemon.stop());
    watched.forEach((group) => group.stop());
    await Promise.all(groups.map((group) => group.stop()));
  };
  return { groups, daemons, stop };
}
