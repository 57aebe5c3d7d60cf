import { type ChildProcess, spawn } from 'node:child_process';
import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { Millis } from '@shallotpick/core';

const KIB = 1_024;
const SAMPLE_MS: Millis = 20;

/** What a process did under a crowd. */
export interface ProcessUse {
  /** Undefined while the process lives. */
  readonly exit: string | undefined;
  readonly peakMemoryMb: number;
  readonly peakDescriptors: number;
}

/** Limits of a process, besides those that it sets itself. */
export interface ProcessLimits {
  readonly heapMb: number;
  readonly descriptors: number;
}

/** A Node.js process with a small heap and few descriptors, whose use is sampled. */
export class LimitedProcess {
  private readonly child: ChildProcess;

  private readonly sampler: NodeJS.Timeout;

  private use: ProcessUse = { exit: undefined, peakMemoryMb: 0, peakDescriptors: 0 };

  constructor(
    { heapMb, descriptors }: ProcessLimits,
    options: readonly string[],
    environment: Readonly<Record<string, string>>,
  ) {
    const script = `ulimit -n ${descriptors}; exec "$0" "$@"`;
    const heap = [`--max-old-space-size=${heapMb}`, '--max-semi-space-size=4'];
    this.child = spawn('/bin/sh', ['-c', script, process.execPath, ...heap, ...options], {
      env: { PATH: process.env.PATH, ...environment },
      stdio: 'ignore',
    });
    this.child.on('exit', (code, signal) => {
      this.use = { ...this.use, exit: String(signal ?? code) };
    });
    this.sampler = setInterval(() => {
      this.measureUse().catch(() => undefined);
    }, SAMPLE_MS);
  }

  isRunning(): boolean {
    return this.use.exit === undefined;
  }

  async stop(): Promise<void> {
    clearInterval(this.sampler);
    if (!this.isRunning()) return;
    const ended = new Promise((resolve) => {
      this.child.once('exit', resolve);
    });
    this.child.kill('SIGKILL');
    await ended;
  }

  /** Reads what the process has used at most, also when it has ended. */
  async readUse(): Promise<ProcessUse> {
    await this.measureUse().catch(() => undefined);
    return this.use;
  }

  private async measureUse(): Promise<void> {
    const directory = `/proc/${this.child.pid}`;
    const status = await readFile(join(directory, 'status'), 'utf8');
    const [, peakKib = '0'] = /^VmHWM:\s+(\d+) kB/m.exec(status) ?? [];
    const open = await readdir(join(directory, 'fd'));
    const { exit, peakMemoryMb, peakDescriptors } = this.use;
    this.use = {
      exit,
      peakMemoryMb: Math.max(peakMemoryMb, Math.round(Number(peakKib) / KIB)),
      peakDescriptors: Math.max(peakDescriptors, open.length),
    };
  }
}
