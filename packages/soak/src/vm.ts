import { type ChildProcess, spawn } from 'node:child_process';
import { createWriteStream, type WriteStream } from 'node:fs';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { findFreePorts } from '@shallotpick/bench';
import type { Millis } from '@shallotpick/core';
import { FaultProxy, type HttpService, InstancePaths } from '@shallotpick/emulator';

/** Grace period from SIGTERM to SIGKILL. */
export const GRACE_MS: Millis = 6_000;
const GRACE_SLACK_MS: Millis = 1_500;
/** Limit for a configuration change to take effect. */
export const CONFIGURATION_APPLY_MS: Millis = 3_000;
/** Limit for a revoked key to be refused. */
export const REVOCATION_MS: Millis = 3_000;
/** Limit for the connections to a leaving instance to be released. */
export const DRAIN_MS: Millis = 7_000;
const STABLE_WINDOW_MS: Millis = 4_000;
/** A process that runs again catches up within this time. */
const RESUME_MS: Millis = 1_000;
const READY_TIMEOUT_MS: Millis = 300;
const STATUS_OK = 200;

/** Moves the wall clock of the process 4 s ahead on SIGUSR2, and back on the next one. */
const CLOCK_STEP_SCRIPT = `
const readTime = Date.now.bind(Date);
let offsetMs = 0;
process.on('SIGUSR2', () => { offsetMs = offsetMs === 0 ? 4000 : 0; });
Date.now = () => readTime() + offsetMs;
`;

/** Addresses, files and program of a VM. */
export interface SoakVmOptions {
  readonly name: string;
  readonly zone: string;
  /** Loopback address of the VM, so that VMs don't share a metrics port. */
  readonly host: string;
  /** True when the VM may pass work on to other VMs. */
  readonly hasLinks: boolean;
  /** Time that bytes need between the VM and its callers. */
  readonly callerDelayMs: Millis;
  /** Path of the bundled program. */
  readonly program: string;
  readonly directory: string;
  /** Creates the service of the store that shows the VM its own paths to the instances. */
  readonly createStoreService: (paths: InstancePaths) => HttpService;
  readonly promotionPort: number;
  readonly reportViolation: (invariant: string, detail: string) => void;
}

/** One process of the program under test, with a fault proxy on each of its connections. */
export class SoakVm {
  readonly paths = new InstancePaths();

  readonly storeProxy: FaultProxy;

  private readonly storeService: HttpService;

  readonly promotionProxy: FaultProxy;

  readonly callerProxy: FaultProxy;

  /** True from the request to stop until the process exits. */
  isStopping = false;

  isPaused = false;

  private child: ChildProcess | undefined;

  private ports: readonly number[] = [];

  private readonly log: WriteStream;

  /** When the process logged first, so that it accepts connections soon. */
  private startedAt: Millis = Number.POSITIVE_INFINITY;

  /** When the process ended; infinite while it runs. */
  private exitedAt: Millis = Number.POSITIVE_INFINITY;

  /** Until when the process was killed or paused, or its callers were cut off, last. */
  private disturbedUntil: Millis = Number.NEGATIVE_INFINITY;

  /** True once the process has logged; before, it has no signal handlers and a signal ends it. */
  private hasStarted = false;

  /** The reason for which the process may exit now. */
  private expectedExit: 'none' | 'stop' | 'kill' = 'none';

  constructor(private readonly options: SoakVmOptions) {
    const { name, directory, promotionPort } = options;
    this.storeService = options.createStoreService(this.paths);
    this.storeProxy = new FaultProxy(() => this.storeService.port);
    this.promotionProxy = new FaultProxy(() => promotionPort);
    this.callerProxy = new FaultProxy(() => this.ports[0] ?? 0, options.host);
    this.log = createWriteStream(join(directory, `${name}.log`), { flags: 'w' });
  }

  get name(): string {
    return this.options.name;
  }

  /** True when the process has run since then, and was neither killed nor paused nor cut off from callers since then. */
  isLeftAloneSince(time: Millis): boolean {
    const isServed = time > this.startedAt && time < this.exitedAt;
    return isServed && !this.isPaused && time > this.disturbedUntil;
  }

  isRunning(): boolean {
    return this.child !== undefined;
  }

  /** Prepares proxies, ports and settings, and starts the process. */
  async open(): Promise<void> {
    await Promise.all([
      this.storeService.start(),
      this.storeProxy.start(),
      this.promotionProxy.start(),
      this.callerProxy.start(),
    ]);
    this.callerProxy.delay(this.options.callerDelayMs);
    this.ports = await findFreePorts(3);
    const { directory, name } = this.options;
    await writeFile(join(directory, `${name}.json`), JSON.stringify(this.createSettings()));
    await writeFile(join(directory, 'clock.cjs'), CLOCK_STEP_SCRIPT);
    this.start();
  }

  start(): void {
    if (this.child) return;
    const { directory, name, program } = this.options;
    const child = spawn(process.execPath, ['--require', join(directory, 'clock.cjs'), program], {
      env: { PATH: process.env.PATH, SHALLOTPICK_BOOT: join(directory, `${name}.json`) },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(this.log, { end: false });
    child.stderr.pipe(this.log, { end: false });
    child.on('exit', (code, signal) => this.handleExit(code, signal));
    this.child = child;
    this.hasStarted = false;
    child.stdout.once('data', () => {
      if (this.child !== child) return;
      this.hasStarted = true;
      this.startedAt = performance.now();
      this.exitedAt = Number.POSITIVE_INFINITY;
    });
    this.expectedExit = 'none';
    this.isStopping = false;
    this.isPaused = false;
  }

  /** Stops the process as the platform does: SIGTERM, then SIGKILL after the grace period. */
  async stop(): Promise<void> {
    const { child } = this;
    if (!child || this.isStopping) return;
    this.isStopping = true;
    this.expectedExit = 'stop';
    await this.waitForExit(child, 'SIGTERM', GRACE_MS + GRACE_SLACK_MS);
    if (this.child !== child) return;
    this.options.reportViolation('a process exits within its grace period', this.name);
    await this.kill();
  }

  async kill(): Promise<void> {
    const { child } = this;
    if (!child) return;
    this.expectedExit = 'kill';
    this.disturbedUntil = performance.now();
    await this.waitForExit(child, 'SIGKILL', GRACE_MS);
  }

  pause(): void {
    this.isPaused = true;
    this.child?.kill('SIGSTOP');
  }

  resume(): void {
    if (this.isPaused) this.disturbedUntil = performance.now() + RESUME_MS;
    this.isPaused = false;
    this.child?.kill('SIGCONT');
  }

  /** Resets the connections of the callers. */
  resetCallers(): void {
    this.disturbedUntil = performance.now();
    this.callerProxy.resetConnections();
  }

  /** Sends SIGHUP to reload the settings, unless the process is still starting. */
  reload(): void {
    if (this.hasStarted) this.child?.kill('SIGHUP');
  }

  /** Steps the wall clock, unless the process is still starting. */
  stepClock(): void {
    if (this.hasStarted) this.child?.kill('SIGUSR2');
  }

  /** Probes readiness as the load balancer does. */
  async isReady(): Promise<boolean> {
    if (!this.child || this.isPaused) return false;
    try {
      const url = `http://${this.options.host}:${this.ports[1]}/api/readyz`;
      const response = await fetch(url, { signal: AbortSignal.timeout(READY_TIMEOUT_MS) });
      return response.status === STATUS_OK;
    } catch {
      // An unreachable process is not ready.
      return false;
    }
  }

  async close(): Promise<void> {
    this.resume();
    await this.kill();
    await Promise.all([
      this.storeProxy.stop(),
      this.promotionProxy.stop(),
      this.callerProxy.stop(),
    ]);
    await Promise.all([this.storeService.stop(), this.paths.stop()]);
    this.log.end();
  }

  private async waitForExit(child: ChildProcess, signal: NodeJS.Signals, limitMs: Millis) {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, limitMs);
      child.once('exit', () => {
        clearTimeout(timer);
        resolve();
      });
      child.kill(signal);
    });
  }

  private handleExit(code: number | null, signal: NodeJS.Signals | null): void {
    this.child = undefined;
    this.isStopping = false;
    const { expectedExit: expectedEnd, name } = this;
    const exit = signal ?? code;
    this.exitedAt = performance.now();
    if (signal) this.disturbedUntil = this.exitedAt;
    // A process that exits has removed its handlers; no platform sends the signal of the clock.
    const hasNoSignalHandler = (signal === 'SIGTERM' && !this.hasStarted) || signal === 'SIGUSR2';
    if (expectedEnd === 'stop' && code !== 0 && signal !== 'SIGKILL' && !hasNoSignalHandler) {
      this.options.reportViolation('a stopped process exits with code 0', `${name}: ${exit}`);
    } else if (expectedEnd === 'none') {
      this.options.reportViolation('no process exits unexpectedly', `${name}: ${exit}`);
    }
  }

  private createSettings(): unknown {
    const { name, zone, host, hasLinks } = this.options;
    const [callers, readiness, link] = this.ports;
    return {
      node: name,
      zone,
      listen: { front: `${host}:${callers}`, ready: `${host}:${readiness}` },
      ...(hasLinks ? { port_range: [link, link] } : {}),
      bounds: {
        grace_s: GRACE_MS / 1_000,
        drain_ms: DRAIN_MS,
        config_apply_ms: CONFIGURATION_APPLY_MS,
        stable_window_ms: STABLE_WINDOW_MS,
        strict_revoke: true,
        revoke_ms: REVOCATION_MS,
      },
      platform: { addr: `127.0.0.1:${this.storeProxy.port}` },
      cloud_api: { addr: `127.0.0.1:${this.promotionProxy.port}` },
    };
  }
}
