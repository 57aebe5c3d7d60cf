/** Starts the program of the deploy file as a process of its own, as the platform does. */
import { spawn } from 'node:child_process';
import { readFile, writeFile } from 'node:fs/promises';
import { get } from 'node:http';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const RESTART_MS = 500;
const STATUS_OK = 200;

/** The words of `run` in the deploy file. */
async function readCommand() {
  const deploy = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.+)"$/m.exec(deploy)[1].split(' ');
}

/** One machine with its process; a process that exits is restarted after a short delay. */
export class Vm {
  exits = [];

  constructor({ name, zone, directory, ports, storePort, cloudPort, note }) {
    Object.assign(this, { name, zone, note });
    [this.front, this.ready, this.link] = ports;
    this.host = '127.0.0.1';
    this.settings = join(directory, `${name}.json`);
    const content = {
      node: name,
      role: 'proxy',
      machine_class: 'front',
      serves: ['front'],
      ip: this.host,
      zone,
      region: 'r1',
      zones: { a: 'r1', b: 'r1', c: 'r1' },
      listen: { front: `${this.host}:${this.front}`, ready: `${this.host}:${this.ready}` },
      port_range: [this.link, this.link],
      seeds: [],
      bootstrap: true,
      limits: { cpu_share: 0.675, cores: 2, memory_mb: 610, max_fds: 8400, link_mbps: 2000 },
      data_dir: null,
      discovery: 'platform',
      entry: 'vip',
      heartbeat_ms: 1200,
      bounds: {
        ...{ seed_lag_s: 3, addr_reuse_s: 2, stable_window_ms: 4000, ack_ms: 5000 },
        ...{ catch_up_s: 4, drain_ms: 7000, grace_s: 6, loss_slack_ms: 200 },
        ...{ config_apply_ms: 3000, revert_slack_ms: 250, max_skew_ms: 12000, recovery_s: 12 },
        ...{ require_fence: true, thaw_ms: 300 },
      },
      platform: { addr: `127.0.0.1:${storePort}`, form: 'objects' },
      cloud_api: { addr: `127.0.0.1:${cloudPort}`, duties: ['failover'] },
    };
    this.content = JSON.stringify(content);
  }

  async start() {
    await writeFile(this.settings, this.content);
    const [program, ...words] = await readCommand();
    if (this.isEnded) return;
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, SHALLOTPICK_BOOT: this.settings },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    this.output = '';
    child.stdout.on('data', (chunk) => {
      this.output = (this.output + chunk).slice(-3_000_000);
    });
    child.stderr.on('data', (chunk) => {
      this.errors = ((this.errors ?? '') + chunk).slice(-4_000);
    });
    child.on('exit', (code, signal) => this.handleExit(child, code, signal));
    this.note({ vm: this.name, started: child.pid });
  }

  handleExit(child, code, signal) {
    if (this.child !== child) return;
    this.child = undefined;
    const [reason = ''] = /shallotpick: .*|FATAL ERROR.*/.exec(this.errors ?? '') ?? [];
    const isOwn = !this.isStopping;
    this.note({ vm: this.name, exited: signal ?? code, byItself: isOwn, reason });
    if (!isOwn) return;
    this.exits.push({ at: Date.now(), code, signal, reason });
    this.restartTimer = setTimeout(() => {
      this.start().catch((error) => this.note({ error: String(error) }));
    }, RESTART_MS);
  }

  /** Sends a signal to the process that this object started. */
  kill(signal) {
    if (signal === 'SIGKILL' || signal === 'SIGTERM') this.isStopping = true;
    this.note({ vm: this.name, signal });
    this.child?.kill(signal);
  }

  /** Starts the process again after it was killed. */
  async restart() {
    this.isStopping = false;
    await this.start();
  }

  end() {
    this.isEnded = true;
    this.isStopping = true;
    clearTimeout(this.restartTimer);
    this.child?.kill('SIGKILL');
  }

  /** Probes readiness as the platform does. */
  async isReady() {
    return new Promise((resolve) => {
      const url = `http://${this.host}:${this.ready}/api/readyz`;
      const request = get(url, { timeout: 300, agent: false }, (response) => {
        response.resume();
        resolve(response.statusCode === STATUS_OK);
      });
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve(false));
    });
  }
}
