/** Starts the program under review as the deploy file says, one process for each machine. */
import { spawn } from 'node:child_process';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { connect, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { readLines, splitWords } from './group.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** The words of the `run` line of the role in the deploy file. */
async function readCommand() {
  const deploy = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, command] = /^run = "([^"]+)"/m.exec(deploy) ?? [];
  if (!command) throw new Error('no run line in deploy/system.toml');
  return command.split(' ');
}

/** Returns a port that is free at the address. */
export async function findPort(host) {
  const server = createServer();
  await new Promise((done) => {
    server.listen(0, host, done);
  });
  const { port } = server.address();
  await new Promise((done) => {
    server.close(done);
  });
  return port;
}

export async function wait(ms) {
  await new Promise((done) => {
    setTimeout(done, ms);
  });
}

/** Bounds of the site `wanjiru-walks`, as its sheet and the example of DEPLOY.md give them. */
export const WALKS_BOUNDS = {
  ...{ seed_lag_s: 3, addr_reuse_s: 2, stable_window_ms: 4000, ack_ms: 5000, catch_up_s: 4 },
  ...{ drain_ms: 7000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 3000 },
  ...{ revert_slack_ms: 250, max_skew_ms: 12000, recovery_s: 12, require_fence: true },
  thaw_ms: 300,
};

/** A machine that runs one process of the program; an ended process is started again. */
export class Machine {
  exits = [];

  isStopped = false;

  constructor({ name, zone, host, zones, storePort, promotionPort, limits, bounds, record }) {
    Object.assign(this, { name, zone, host, zones, storePort, promotionPort, record });
    this.limits = limits;
    this.bounds = bounds ?? WALKS_BOUNDS;
  }

  async open() {
    this.command = await readCommand();
    this.directory = await mkdtemp(join(tmpdir(), 'review-2-'));
    this.port = await findPort(this.host);
    this.readyPort = await findPort(this.host);
    this.controlPort = await findPort(this.host);
    const linkPort = await findPort(this.host);
    const settings = {
      ...{ node: this.name, role: 'proxy', machine_class: 'front', serves: ['front'] },
      ...{ ip: this.host, zone: this.zone, region: 'ke-coast' },
      zones: Object.fromEntries(this.zones.map((zone) => [zone, 'ke-coast'])),
      listen: {
        front: `${this.host}:${this.port}`,
        ready: `${this.host}:${this.readyPort}`,
        control: `${this.host}:${this.controlPort}`,
      },
      port_range: [linkPort, linkPort],
      ...{ seeds: [], bootstrap: true, count_loss: false, limits: this.limits, data_dir: null },
      ...{ discovery: 'platform', entry: 'vip', heartbeat_ms: 1200 },
      contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sql', 'platform'],
      fault_tolerance: { machines: 1, zones: 1, regions: 0 },
      bounds: this.bounds,
      platform: {
        ...{ addr: `127.0.0.1:${this.storePort}`, form: 'objects', writes_per_s: 400 },
        ...{ reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000 },
      },
      cloud_api: {
        ...{ addr: `127.0.0.1:${this.promotionPort}`, rate_per_s: 50 },
        ...{ duties: ['failover'], duty_per_s: 50 },
      },
    };
    this.settings = join(this.directory, 'settings.json');
    await writeFile(this.settings, JSON.stringify(settings));
    this.start();
  }

  start() {
    const [program, ...words] = this.command;
    const child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: this.directory, SHALLOTPICK_BOOT: this.settings },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    this.startedAt = Date.now();
    this.log = [];
    const keep = (chunk) => {
      this.log.push(...chunk.toString().split('\n'));
      this.log = this.log.slice(-2_000);
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.on('exit', (code, signal) => this.handleExit(child, code, signal));
    this.record(`${this.name}: started as process ${child.pid}`);
  }

  handleExit(child, code, signal) {
    if (this.child === child) this.child = undefined;
    if (this.isStopped) return;
    const isOwn = !child.isKilledHere;
    const reason = this.log.find((line) => line.startsWith('FATAL ERROR')) ?? '';
    const by = isOwn ? 'by itself' : 'as ordered';
    this.record(`${this.name}: process ${child.pid} ended ${by} (${signal ?? code}) ${reason}`);
    if (isOwn) this.exits.push({ at: Date.now(), code, signal });
    if (!this.isEnding) setTimeout(() => !this.isStopped && this.start(), 500);
  }

  /** Ends the process with a signal; it is started again. */
  kill(signal = 'SIGKILL') {
    if (!this.child) return;
    this.child.isKilledHere = true;
    this.child.kill(signal);
  }

  /** Stops the process as the platform does, for good: SIGTERM, and SIGKILL after the grace time. */
  terminate(graceMs) {
    this.isEnding = true;
    const { child } = this;
    this.kill('SIGTERM');
    setTimeout(() => child === this.child && this.kill(), graceMs);
  }

  /** Resident memory of the process in MiB. */
  async readMemory() {
    try {
      const status = await readFile(`/proc/${this.child.pid}/status`, 'utf8');
      const [, kilobytes] = /^VmRSS:\s+(\d+)/m.exec(status);
      return Math.round(Number(kilobytes) / 1024);
    } catch {
      return undefined;
    }
  }

  async isReady(timeoutMs = 1_000) {
    try {
      const url = `http://${this.host}:${this.readyPort}/api/readyz`;
      return (await fetch(url, { signal: AbortSignal.timeout(timeoutMs) })).status === 200;
    } catch {
      return false;
    }
  }

  async waitUntilReady(limitMs = 15_000) {
    const deadline = Date.now() + limitMs;
    while (Date.now() < deadline) {
      if (await this.isReady()) return true;
      await wait(100);
    }
    return false;
  }

  async close() {
    this.isStopped = true;
    this.child?.kill('SIGKILL');
    if (this.directory) await rm(this.directory, { recursive: true, force: true });
  }
}

/** A client's session with a machine. */
export class Client {
  pending = [];

  rows = [];

  isClosed = false;

  constructor(machine) {
    this.socket = connect({ host: machine.host, port: machine.port });
    this.socket.setNoDelay(true);
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => {
      this.isClosed = true;
      this.pending.splice(0).forEach((resolve) => resolve({ error: 'CLOSED' }));
    });
    readLines(this.socket, (line) => this.handle(line));
  }

  handle(line) {
    const [word, rest = ''] = splitWords(line, 1);
    if (word === 'ROW') this.rows.push(rest);
    if (word === 'DONE') this.digest = rest;
    if (word === 'ERROR') this.error = rest;
    if (word !== 'READY') return;
    const { rows, digest, error } = this;
    Object.assign(this, { rows: [], digest: undefined, error: undefined });
    const [state, position] = rest.split(' ');
    this.pending.shift()?.({ rows, digest, error, state, position });
  }

  /** Sends a line and waits for the READY that ends its answer. */
  async send(line, limitMs = 5_000) {
    if (this.isClosed) return { error: 'CLOSED' };
    this.socket.write(`${line}\r\n`, 'latin1');
    return new Promise((resolve) => {
      this.pending.push(resolve);
      setTimeout(() => resolve({ error: 'NOANSWER' }), limitMs);
    });
  }

  close() {
    this.socket.destroy();
  }
}
