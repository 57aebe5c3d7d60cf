import type { Server as HttpServer } from 'node:http';
import type { AddressInfo, Server, Socket } from 'node:net';
import type {
  Clock,
  Configuration,
  DatabaseGroup,
  GroupRecord,
  RecordUpdate,
} from '@shallotpick/core';
import { EMPTY_CONFIGURATION, RetryBudget } from '@shallotpick/core';
import { CallerConnection } from './caller.js';
import type { GroupServer } from './group.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import type { Peering } from './peering.js';
import type { OperatorServer } from './operator.js';
import { Session } from './session.js';
import type { Settings } from './settings.js';
import { SQLSTATE } from './sqlstate.js';

const DRAIN_POLL_MS = 10;
/** Retries add at most a fifth to the load; the reserve covers the start of a failover. */
const RETRY_BUDGET = { ratio: 0.2, capacity: 500 };

export interface DaemonParts {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Delay before the given retry of a request, counted from 1. */
  readonly computeBackoff: (retry: number) => number;
  readonly callerServer: Server;
  readonly metricsServer: HttpServer;
  readonly operatorServer: OperatorServer;
  readonly createGroup: (group: DatabaseGroup) => GroupServer;
  /** Starts and stops what feeds the daemon with configuration. */
  readonly startSources: (daemon: Daemon) => () => void;
  /** The traffic with other daemons; none for a daemon that works alone. */
  readonly peering?: Peering | undefined;
}

/** One proxy: its callers and the groups that it serves. */
export class Daemon {
  private readonly groups = new Map<string, GroupServer>();

  private readonly definitions = new Map<string, string>();

  private readonly records = new Map<string, RecordUpdate>();

  private readonly callers = new Set<CallerConnection>();

  private readonly retries = new RetryBudget(RETRY_BUDGET);

  private configuration: Configuration = EMPTY_CONFIGURATION;

  private stopSources = (): void => {};

  private draining = false;

  constructor(private readonly parts: DaemonParts) {}

  /** Opens the ports and starts to follow the configuration. */
  async start(): Promise<void> {
    const { callerServer, metricsServer, settings } = this.parts;
    callerServer.on('connection', (socket: Socket) => this.handleSocket(socket));
    await Promise.all([
      this.listen(callerServer, settings.callerPort),
      this.listen(metricsServer, settings.metricsPort),
      this.parts.peering?.start(),
    ]);
    await this.parts.operatorServer.start(this);
    this.stopSources = this.parts.startSources(this);
    const callerPort = this.readCallerPort();
    this.parts.log.info('daemon started', { callerPort, metricsPort: this.readMetricsPort() });
  }

  readCallerPort(): number {
    return (this.parts.callerServer.address() as AddressInfo).port;
  }

  readMetricsPort(): number {
    return (this.parts.metricsServer.address() as AddressInfo).port;
  }

  get peering(): Peering | undefined {
    return this.parts.peering;
  }

  readConfiguration(): Configuration {
    return this.configuration;
  }

  listGroups(): readonly GroupServer[] {
    return [...this.groups.values()];
  }

  /** True when the balancer may send callers here. */
  isReady(): boolean {
    return !this.draining && this.groups.size > 0;
  }

  isDraining(): boolean {
    return this.draining;
  }

  countCallers(): number {
    return this.callers.size;
  }

  readOperatorPort(): number {
    return this.parts.operatorServer.port;
  }

  handleConfiguration(configuration: Configuration): void {
    if (configuration.number <= this.configuration.number) return;
    this.configuration = configuration;
    const names = new Set(configuration.groups.map(({ name }) => name));
    [...this.groups.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => this.removeGroup(name));
    configuration.groups.forEach((group) => this.updateGroup(group));
  }

  /** The newest records known, for peers. */
  listRecords(): readonly RecordUpdate[] {
    return [...this.records.values()];
  }

  /** Takes in a record from the platform or a peer; an older version changes nothing. */
  handleRecord(record: GroupRecord, version: number): void {
    if (version <= (this.records.get(record.group)?.version ?? -1)) return;
    this.records.set(record.group, { record, version });
    this.groups.get(record.group)?.handleRecord(record, version);
  }

  /** Takes no new sessions, lets requests finish up to the limit, and stops. */
  async drain(): Promise<void> {
    const { clock, settings, log } = this.parts;
    this.draining = true;
    log.info('draining', { callers: this.callers.size });
    this.parts.callerServer.close();
    const deadline = clock.readNow() + settings.drainLimitMs;
    while (clock.readNow() < deadline) {
      this.closeIdleCallers();
      if (this.callers.size === 0) break;
      await new Promise((resolve) => {
        setTimeout(resolve, DRAIN_POLL_MS);
      });
    }
    this.stop();
  }

  stop(): void {
    this.stopSources();
    this.parts.peering?.stop();
    this.callers.forEach((caller) => caller.close());
    this.groups.forEach((group) => group.stop());
    this.groups.clear();
    this.parts.callerServer.close();
    this.parts.metricsServer.close();
    // Kept-alive connections of monitoring would hold the process for seconds.
    this.parts.metricsServer.closeAllConnections();
    this.parts.operatorServer.stop();
    this.parts.log.info('daemon stopped');
  }

  private closeIdleCallers(): void {
    this.callers.forEach((caller) => {
      if (caller.isIdle()) {
        caller.refuse({ code: SQLSTATE.shuttingDown, message: 'the proxy is shutting down' });
      }
    });
  }

  private async listen(server: Server, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, this.parts.settings.host, resolve);
    });
  }

  private handleSocket(socket: Socket): void {
    const caller = new CallerConnection(socket, (id, secret) => this.handleCancel(id, secret));
    if (this.callers.size >= this.parts.settings.maxCallers) {
      caller.refuse({ code: SQLSTATE.tooManyCallers, message: 'too many callers' });
      return;
    }
    const { clock, log, settings, metrics } = this.parts;
    caller.handler = new Session({
      caller,
      clock,
      log,
      metrics,
      queueDeadlineMs: settings.queueDeadlineMs,
      retries: this.retries,
      computeBackoff: this.parts.computeBackoff,
      findGroup: (name) => this.groups.get(name),
      readConfiguration: () => this.configuration,
    });
    this.callers.add(caller);
    metrics.callers.set(this.callers.size);
    socket.once('close', () => {
      this.callers.delete(caller);
      metrics.callers.set(this.callers.size);
    });
  }

  private handleCancel(processId: number, secret: number): void {
    const caller = [...this.callers].find((one) => one.hasKey(processId, secret));
    caller?.handler?.handleCancel();
  }

  private updateGroup(group: DatabaseGroup): void {
    const definition = JSON.stringify(group);
    if (this.definitions.get(group.name) === definition) return;
    this.removeGroup(group.name);
    const server = this.parts.createGroup(group);
    this.groups.set(group.name, server);
    this.definitions.set(group.name, definition);
    server.start();
    const known = this.records.get(group.name);
    if (known) server.handleRecord(known.record, known.version);
  }

  private removeGroup(name: string): void {
    this.groups.get(name)?.stop();
    this.groups.delete(name);
    this.definitions.delete(name);
  }
}
