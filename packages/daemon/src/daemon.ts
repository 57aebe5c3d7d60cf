import type { Server as HttpServer } from 'node:http';
import type { AddressInfo, Server, Socket } from 'node:net';
import { type Clock, type Configuration, type GroupRecord, RetryBudget } from '@shallotpick/core';
import { CallerConnection } from './caller.js';
import { type CallerHandshake, refuseSocket } from './handshake.js';
import type { GroupServer } from './group.js';
import type { GroupManager } from './groupmanager.js';
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

export interface DaemonDependencies {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Delay before the given retry of a request, counted from 1. */
  readonly computeBackoff: (retry: number) => number;
  readonly callerServer: Server;
  readonly createHandshake: (socket: Socket) => CallerHandshake;
  readonly metricsServer: HttpServer;
  readonly operatorServer: OperatorServer;
  /** The groups that this daemon serves. */
  readonly groups: GroupManager;
  /** Starts and stops what feeds the daemon with configuration. */
  readonly startWatching: (daemon: Daemon) => () => void;
  /** The traffic with other daemons. */
  readonly peering: Peering;
}

/** One proxy: its callers and the groups that it serves. */
export class Daemon {
  /** Sockets whose startup is not complete. */
  private readonly gates = new Set<Socket>();

  private readonly callers = new Set<CallerConnection>();

  private readonly retries = new RetryBudget(RETRY_BUDGET);

  private stopSources = (): void => {};

  private draining = false;

  constructor(private readonly parts: DaemonDependencies) {}

  /** Opens the ports and starts to follow the configuration. */
  async start(): Promise<void> {
    const { callerServer, metricsServer, settings } = this.parts;
    callerServer.on('connection', (socket: Socket) => {
      this.openGate(socket).catch(() => socket.destroy());
    });
    await Promise.all([
      this.listen(callerServer, settings.callerPort),
      this.listen(metricsServer, settings.metricsPort),
      this.parts.peering.start(),
    ]);
    await this.parts.operatorServer.start(this);
    this.parts.groups.start();
    this.stopSources = this.parts.startWatching(this);
    const callerPort = this.readCallerPort();
    this.parts.log.info('daemon started', { callerPort, metricsPort: this.readMetricsPort() });
  }

  readCallerPort(): number {
    return (this.parts.callerServer.address() as AddressInfo).port;
  }

  readMetricsPort(): number {
    return (this.parts.metricsServer.address() as AddressInfo).port;
  }

  get peering(): Peering {
    return this.parts.peering;
  }

  get groups(): GroupManager {
    return this.parts.groups;
  }

  readConfiguration(): Configuration {
    return this.parts.groups.readConfiguration();
  }

  listGroups(): readonly GroupServer[] {
    return this.parts.groups.list();
  }

  /** True when the balancer may send callers here. */
  isReady(): boolean {
    return !this.draining && this.readConfiguration().number > 0;
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

  handleRecord(record: GroupRecord, version: number): void {
    this.parts.groups.handleRecord(record, version);
  }

  /** Takes no new sessions, lets requests finish up to the limit, and stops. */
  async drain(): Promise<void> {
    const { clock, settings, log } = this.parts;
    this.draining = true;
    log.info('draining', { callers: this.callers.size });
    await this.parts.peering.leave();
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
    this.parts.peering.stop();
    this.gates.forEach((socket) => socket.destroy());
    this.callers.forEach((caller) => caller.close());
    this.parts.groups.stop();
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

  /** Lets a caller in once its startup, TLS and authentication are done. */
  private async openGate(socket: Socket): Promise<void> {
    if (this.callers.size + this.gates.size >= this.parts.settings.maxCallers) {
      refuseSocket(socket, { code: SQLSTATE.tooManyCallers, message: 'too many callers' });
      return;
    }
    this.gates.add(socket);
    const ready = await this.parts.createHandshake(socket).run();
    this.gates.delete(socket);
    if (!ready || ready.destroyed) return;
    this.handleSocket(ready);
    ready.resume();
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
      retryBudget: this.retries,
      computeBackoff: this.parts.computeBackoff,
      findGroup: (name) => this.parts.groups.find(name),
      readConfiguration: () => this.readConfiguration(),
    });
    this.callers.add(caller);
    metrics.callers.set(this.callers.size);
    socket.once('close', () => {
      this.callers.delete(caller);
      metrics.callers.set(this.callers.size);
    });
  }

  private handleCancel(processId: number, secret: number): void {
    const caller = [...this.callers].find((one) => one.hasCancelKey(processId, secret));
    caller?.handler?.handleCancel();
  }
}
