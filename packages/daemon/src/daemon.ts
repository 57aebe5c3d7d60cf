import type { Server as HttpServer } from 'node:http';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { ClientGuard } from '@shallotpick/engine';
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
/** Callers beyond the limit that are told so; further ones are closed at once. */
const MAX_REFUSED = 64;
/** Retries add at most a fifth to the load; the capacity covers the start of a failover. */
const RETRY_BUDGET = { ratio: 0.2, capacity: 500 };

/** Dependencies of {@link Daemon}. */
export interface DaemonDependencies {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Computes the delay before a retry of a request, which is numbered from 1. */
  readonly computeBackoff: (retry: number) => number;
  readonly callerServer: Server;
  /** Bounds what callers make the daemon hold. */
  readonly guard: ClientGuard;
  readonly createHandshake: (socket: Socket) => CallerHandshake;
  readonly metricsServer: HttpServer;
  readonly operatorServer: OperatorServer;
  /** The groups that this daemon serves. */
  readonly groups: GroupManager;
  /** Starts watching the configuration source; returns a function that stops it. */
  readonly startWatching: (daemon: Daemon) => () => void;
  /** Communication with other daemons. */
  readonly peering: Peering;
}

/** The proxy process: its callers and the database groups that it serves. */
export class Daemon {
  /** Sockets whose handshake is in progress. */
  private readonly handshakes = new Set<Socket>();

  private readonly callers = new Set<CallerConnection>();

  private readonly retryBudget = new RetryBudget(RETRY_BUDGET);

  private stopWatching = (): void => {};

  private draining = false;

  constructor(private readonly dependencies: DaemonDependencies) {}

  /** Opens the ports and starts watching the configuration. */
  async start(): Promise<void> {
    const { callerServer, guard, metricsServer, settings } = this.dependencies;
    guard.start();
    callerServer.maxConnections = settings.maxCallers + MAX_REFUSED;
    callerServer.on('drop', () => guard.report('connections'));
    callerServer.on('connection', (socket: Socket) => {
      this.runHandshake(socket).catch(() => socket.destroy());
    });
    await Promise.all([
      this.listen(callerServer, settings.callerPort),
      this.listen(metricsServer, settings.metricsPort),
      this.dependencies.peering.start(),
    ]);
    await this.dependencies.operatorServer.start(this);
    this.dependencies.groups.start();
    this.stopWatching = this.dependencies.startWatching(this);
    const callerPort = this.readCallerPort();
    this.dependencies.log.info('daemon started', {
      callerPort,
      metricsPort: this.readMetricsPort(),
    });
  }

  readCallerPort(): number {
    return (this.dependencies.callerServer.address() as AddressInfo).port;
  }

  readMetricsPort(): number {
    return (this.dependencies.metricsServer.address() as AddressInfo).port;
  }

  get peering(): Peering {
    return this.dependencies.peering;
  }

  get groups(): GroupManager {
    return this.dependencies.groups;
  }

  readConfiguration(): Configuration {
    return this.dependencies.groups.readConfiguration();
  }

  listGroups(): readonly GroupServer[] {
    return this.dependencies.groups.list();
  }

  /** True when the load balancer may send callers to this daemon. */
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
    return this.dependencies.operatorServer.port;
  }

  handleRecord(record: GroupRecord, version: number): void {
    this.dependencies.groups.handleRecord(record, version);
  }

  handleListedRecords(listed: ReadonlySet<string>, version: number): void {
    this.dependencies.groups.handleListedRecords(listed, version);
  }

  /** Stops accepting sessions, waits for running requests up to the drain limit, and ends the rest. */
  async drain(): Promise<void> {
    const { clock, settings, log } = this.dependencies;
    this.draining = true;
    log.info('drain started', { callers: this.callers.size });
    await this.dependencies.peering.leave();
    this.dependencies.callerServer.close();
    const deadline = clock.readNow() + settings.drainLimitMs;
    while (clock.readNow() < deadline) {
      this.callers.forEach((caller) => caller.drain());
      if (this.callers.size === 0) break;
      await new Promise((resolve) => {
        setTimeout(resolve, DRAIN_POLL_MS);
      });
    }
    this.stop();
  }

  /** Ends running requests, each with an answer, and closes the connections of the callers. */
  stop(): void {
    this.stopWatching();
    this.dependencies.peering.stop();
    this.handshakes.forEach((socket) => socket.destroy());
    this.callers.forEach((caller) => caller.stop());
    this.dependencies.groups.stop();
    this.dependencies.callerServer.close();
    this.dependencies.metricsServer.close();
    // Keep-alive connections of the monitoring would delay the process exit for seconds.
    this.dependencies.metricsServer.closeAllConnections();
    this.dependencies.operatorServer.stop();
    this.dependencies.log.info('daemon stopped');
  }

  private async listen(server: Server, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, this.dependencies.settings.host, resolve);
    });
  }

  /** Admits a caller once its startup, TLS handshake and authentication are complete. */
  private async runHandshake(socket: Socket): Promise<void> {
    if (this.callers.size + this.handshakes.size >= this.dependencies.settings.maxCallers) {
      this.dependencies.guard.report('connections');
      refuseSocket(socket, { code: SQLSTATE.tooManyCallers, message: 'too many callers' });
      return;
    }
    this.handshakes.add(socket);
    const ready = await this.dependencies.createHandshake(socket).run();
    this.handshakes.delete(socket);
    if (!ready || ready.destroyed) return;
    this.handleSocket(ready);
    ready.resume();
  }

  private handleSocket(socket: Socket): void {
    const { guard } = this.dependencies;
    const onCancel = (id: number, secret: number): void => this.handleCancel(id, secret);
    const caller = new CallerConnection(socket, guard, onCancel);
    if (this.callers.size >= this.dependencies.settings.maxCallers) {
      caller.refuse({ code: SQLSTATE.tooManyCallers, message: 'too many callers' });
      return;
    }
    const { clock, log, settings, metrics } = this.dependencies;
    caller.handler = new Session({
      caller,
      clock,
      log,
      metrics,
      queueDeadlineMs: settings.queueDeadlineMs,
      retryBudget: this.retryBudget,
      computeBackoff: this.dependencies.computeBackoff,
      findGroup: (name) => this.dependencies.groups.find(name),
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
    const caller = [...this.callers].find((candidate) => candidate.hasCancelKey(processId, secret));
    caller?.handler?.handleCancel();
  }
}
