/* eslint-disable no-promise-executor-return -- stand-ins and scripts of a review */
// Starts the program as deploy/system.toml says, as a process of its own on a loopback address.
import { spawn } from 'node:child_process';
import { readFile, writeFile } from 'node:fs/promises';
import { createServer, connect } from 'node:net';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const REPOSITORY = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const wait = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

function findFreePort(host) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** The words of `run` in the deploy file. */
async function readCommand() {
  const text = await readFile(join(REPOSITORY, 'deploy', 'system.toml'), 'utf8');
  const [, command] = /^run = "(.*)"$/m.exec(text) ?? [];
  if (!command) throw new Error('the deploy file has no run command');
  return command.split(' ');
}

/** A machine with one process. A process that ends by itself is started again after 200 ms. */
export class Vm {
  exits = [];

  starts = 0;

  constructor(options) {
    this.options = options;
    this.name = options.name;
    this.host = options.host;
  }

  async open() {
    const { host, name, zone, directory, store, cloud, bounds = {}, limits = {} } = this.options;
    const [front, ready, control, link] = await Promise.all(
      [0, 1, 2, 3].map(() => findFreePort(host)),
    );
    this.front = front;
    this.ready = ready;
    this.path = join(directory, `${name}.json`);
    const settings = {
      node: name,
      role: 'proxy',
      machine_class: 'front',
      serves: ['front'],
      ip: host,
      zone,
      region: 'region-1',
      zones: { 'zone-a': 'region-1', 'zone-b': 'region-1', 'zone-c': 'region-1' },
      listen: {
        front: `${host}:${front}`,
        ready: `${host}:${ready}`,
        control: `${host}:${control}`,
      },
      port_range: [link, link],
      seeds: [],
      bootstrap: true,
      count_loss: false,
      limits: {
        ...{ cpu_share: 0.675, cores: 2, memory_mb: 610, max_fds: 8400 },
        ...{ link_mbps: 2000.0, disk_mb: 0 },
        ...limits,
      },
      data_dir: null,
      discovery: 'platform',
      entry: 'vip',
      heartbeat_ms: 1200,
      contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sql', 'platform'],
      fault_tolerance: { machines: 1, zones: 1, regions: 0 },
      bounds: {
        ...{ seed_lag_s: 3, addr_reuse_s: 2, stable_window_ms: 4000, ack_ms: 5000, catch_up_s: 4 },
        ...{ drain_ms: 7000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 3000 },
        ...{ revert_slack_ms: 250, max_skew_ms: 12000, recovery_s: 12, require_fence: true },
        ...{ thaw_ms: 300 },
        ...bounds,
      },
      platform: {
        ...{ addr: store, form: 'objects', writes_per_s: 400, reads_per_s: 2000, history_s: 20 },
        ...{ value_bytes: 1048576, ttl_min_ms: 1000 },
      },
      cloud_api: { addr: cloud, rate_per_s: 50, duties: ['failover'], duty_per_s: 50 },
    };
    await writeFile(this.path, JSON.stringify(settings, undefined, 2));
    this.command = await readCommand();
    this.start();
  }

  start() {
    const [program, ...words] = this.command;
    const { PATH, HOME, LANG } = process.env;
    this.output = '';
    this.starts += 1;
    const child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: REPOSITORY,
      env: { PATH, HOME, LANG, SHALLOTPICK_BOOT: this.path },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    const keep = (chunk) => {
      this.output = (this.output + chunk.toString()).slice(-20_000);
      this.options.onOutput?.(chunk.toString());
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.on('exit', (code, signal) => {
      if (this.child !== child) return;
      this.child = undefined;
      this.exits.push({ at: Date.now(), code, signal, asked: this.asked });
      this.options.onExit?.({ name: this.name, code, signal, asked: this.asked });
      const isRestarted = !this.isClosed && this.asked !== 'stay down';
      this.asked = undefined;
      if (isRestarted) setTimeout(() => !this.isClosed && !this.child && this.start(), 200);
    });
  }

  /** Sends a signal; the end of the process is then no end by itself. */
  signal(signal, isEnd = true) {
    if (isEnd) this.asked = signal;
    this.child?.kill(signal);
  }

  /** Removes the machine for good, with SIGTERM. */
  remove() {
    this.asked = 'stay down';
    this.child?.kill('SIGTERM');
  }

  async isReady() {
    try {
      const signal = AbortSignal.timeout(500);
      const { status } = await fetch(`http://${this.host}:${this.ready}/api/readyz`, { signal });
      return status === 200;
    } catch {
      return false;
    }
  }

  async waitUntilReady(limitMs = 15_000) {
    const end = Date.now() + limitMs;
    while (Date.now() < end) {
      if (await this.isReady()) return true;
      await wait(50);
    }
    return false;
  }

  close() {
    this.isClosed = true;
    this.child?.kill('SIGKILL');
  }
}

/** A client of the wire. */
export class Client {
  text = '';

  lines = [];

  isClosed = false;

  constructor({ host, front }) {
    this.socket = connect({ host, port: front });
    this.socket.setNoDelay(true);
    this.socket.on('data', (chunk) => this.read(chunk));
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => {
      this.isClosed = true;
      this.wake?.();
    });
  }

  read(chunk) {
    const parts = [this.text, chunk.toString('latin1')].join('').split('\r\n');
    this.text = parts.pop();
    this.lines.push(...parts);
    this.wake?.();
  }

  async readLine(limitMs) {
    const end = Date.now() + limitMs;
    while (this.lines.length === 0) {
      const restMs = end - Date.now();
      if (this.isClosed || restMs <= 0) return undefined;
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, restMs);
        this.wake = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
    return this.lines.shift();
  }

  /** Reads an answer up to its READY; undefined when it isn't complete in time. */
  async readAnswer(limitMs = 5_000) {
    const end = Date.now() + limitMs;
    const answer = { rows: 0, rowBytes: 0 };
    for (;;) {
      const line = await this.readLine(end - Date.now());
      if (line === undefined) return { ...answer, end: this.isClosed ? 'closed' : 'none' };
      const [word] = line.split(' ', 1);
      const rest = line.slice(word.length + 1);
      if (word === 'ROW') {
        answer.rows += 1;
        answer.rowBytes += rest.length;
        answer.row = rest.slice(0, 80);
      } else if (word === 'DONE') answer.digest = rest;
      else if (word === 'ERROR') answer.error = rest;
      else if (word === 'READY') return { ...answer, ready: rest, end: 'complete' };
    }
  }

  async connect(database, user = 'u1', limitMs = 2_000) {
    this.socket.write(`CONNECT ${database} ${user}\r\n`);
    return this.readAnswer(limitMs);
  }

  async query(id, text, limitMs = 5_000) {
    this.socket.write(`QUERY ${id} ${text}\r\n`, 'latin1');
    return this.readAnswer(limitMs);
  }

  close() {
    this.socket.destroy();
  }
}
