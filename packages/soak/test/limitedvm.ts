import { writeFile } from 'node:fs/promises';
import { connect, type Socket } from 'node:net';
import { dirname, join } from 'node:path';
import { findFreePorts } from '@shallotpick/bench';
import { DEFAULT_CONTRACT, type Millis } from '@shallotpick/core';
import { DEFAULT_PROMOTION_RULES, EmulatedPlatform, EmulatorObserver } from '@shallotpick/emulator';
import { wait, waitAtMost } from '@shallotpick/engine';
import { formatConnect, LineConnection } from '@shallotpick/platform';
// eslint-disable-next-line import-x/no-relative-packages -- Test code is not in its package.
import { LimitedProcess, type ProcessUse } from '../../bench/test/limitedprocess.js';

const HOST = '127.0.0.1';
const DATABASE = 'group0-fresh';
const RETRY_MS: Millis = 100;
const REPLY_TIMEOUT_MS: Millis = 3_000;

/** The lowered limits of the VM under test; the crowds are fixed for these. */
export const VM_LIMITS = { memoryMb: 200, heapMb: 100, descriptors: 400 };
/** Lowered time limits, so that a crowd that waits for them ends soon. */
const TIME_LIMITS = {
  SHALLOTPICK_FIRST_MESSAGE_TIMEOUT_MS: '1000',
  SHALLOTPICK_MESSAGE_TIMEOUT_MS: '2000',
  SHALLOTPICK_ANSWER_TIMEOUT_MS: '2000',
};

/** Ignores what instances do; these tests look at the process only. */
class SilentObserver extends EmulatorObserver {
  override handleStatement(): void {}

  override handleCommit(): void {}

  override handlePromotion(): void {}

  override handlePromotionRequest(): void {}
}

/** Starts the emulated platform with one group of three instances. */
export async function startPlatform(): Promise<EmulatedPlatform> {
  const platform = new EmulatedPlatform({
    ...{ zones: ['zone-a'], instancesPerGroup: 3, observer: new SilentObserver() },
    random: () => 0.5,
    groups: [
      {
        ...{ name: 'group0', synchronousReplicas: 1, promoteMs: 400, applyLagMs: 5 },
        ...{ replicationDelayMs: 2, promotionRules: DEFAULT_PROMOTION_RULES },
        instance: { slots: 3, statementCostMs: 1, connectCostMs: 1, connectionLimit: 24 },
      },
    ],
  });
  await platform.start();
  platform.writeConfiguration({
    version: 1,
    transactionIdleMs: 3_000,
    groups: [{ name: 'group0', connectionLimit: 24, synchronousReplicas: 1 }],
    routes: [
      {
        ...{ database: DATABASE, group: 'group0', contract: { ...DEFAULT_CONTRACT, maxAgeMs: 0 } },
        ...{ readsOwnWrites: true, timeoutMs: 2_000, targetLatencyMs: 500, priority: 1 },
      },
    ],
  });
  return platform;
}

/** The bundled program as a process with little memory and few descriptors. */
export class LimitedVm {
  private process: LimitedProcess | undefined;

  private ports: readonly number[] = [];

  readonly sockets: Socket[] = [];

  constructor(
    private readonly program: string,
    private readonly platform: EmulatedPlatform,
  ) {}

  async start(): Promise<void> {
    this.ports = await findFreePorts(3);
    const settings = join(dirname(this.program), 'limited.json');
    await writeFile(settings, JSON.stringify(this.createSettings()));
    this.process = new LimitedProcess(VM_LIMITS, [this.program], {
      ...{ SHALLOTPICK_BOOT: settings, ...TIME_LIMITS },
    });
    if (!(await this.isServing(20_000))) throw new Error('the VM does not start');
  }

  async stop(): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    await this.process?.stop();
  }

  /** Opens the connections of a crowd, which stay open until the VM is stopped. */
  async openCrowd(size: number, port: 'callers' | 'links' = 'callers'): Promise<readonly Socket[]> {
    const number = this.ports[port === 'callers' ? 0 : 2] ?? 0;
    const crowd = Array.from({ length: size }, () =>
      connect({ host: HOST, port: number, allowHalfOpen: true }),
    );
    this.sockets.push(...crowd);
    // A refused client of the crowd is not a fault.
    crowd.forEach((socket) => socket.on('error', () => undefined));
    await Promise.all(
      crowd.map(
        (socket) =>
          new Promise<void>((resolve) => {
            socket.once('connect', resolve).once('close', () => resolve());
          }),
      ),
    );
    return crowd;
  }

  /** Opens a crowd that has sent CONNECT. */
  async openSessions(size: number): Promise<readonly Socket[]> {
    const crowd = await this.openCrowd(size);
    crowd.forEach((socket) => socket.write(`${formatConnect(DATABASE, 'crowd')}\r\n`));
    return crowd;
  }

  /** True when an ordinary caller gets an answer to one request within `limitMs`, with retries. */
  async isServing(limitMs: Millis): Promise<boolean> {
    const deadline = performance.now() + limitMs;
    while (performance.now() < deadline && this.process?.isRunning()) {
      if (await this.request('READ ordinary')) return true;
      await wait(RETRY_MS);
    }
    return false;
  }

  /** Runs one statement in a session of its own; false when it is refused. */
  async request(text: string): Promise<boolean> {
    return this.runSession([text]);
  }

  /** Runs statements in a session of its own; false when one is refused. */
  async runSession(texts: readonly string[]): Promise<boolean> {
    const connection = new LineConnection(connect({ host: HOST, port: this.ports[0] ?? 0 }));
    try {
      const messages = [
        formatConnect(DATABASE, 'ordinary'),
        ...texts.map((text) => `QUERY 1 ${text}`),
      ];
      for (const message of messages) {
        const reply = await waitAtMost(connection.send(message), REPLY_TIMEOUT_MS);
        if (reply.failure) return false;
      }
      return true;
    } catch {
      return false;
    } finally {
      connection.close();
    }
  }

  /** True when the readiness check answers. */
  async isReady(): Promise<boolean> {
    try {
      const url = `http://${HOST}:${this.ports[1]}/api/readyz`;
      return (await fetch(url, { signal: AbortSignal.timeout(REPLY_TIMEOUT_MS) })).ok;
    } catch {
      return false;
    }
  }

  /** Reads what the process has used at most, also when it has ended. */
  async readUse(): Promise<ProcessUse | undefined> {
    return this.process?.readUse();
  }

  private createSettings(): unknown {
    const [callers, readiness, link] = this.ports;
    const { memoryMb, descriptors } = VM_LIMITS;
    return {
      ...{ node: 'vm-0', zone: 'zone-a', port_range: [link, link] },
      listen: { front: `${HOST}:${callers}`, ready: `${HOST}:${readiness}` },
      bounds: { grace_s: 6, drain_ms: 7_000, config_apply_ms: 3_000 },
      limits: { cpu_share: 1, cores: 1, memory_mb: memoryMb, max_fds: descriptors },
      platform: { addr: `${HOST}:${this.platform.storeService.port}` },
      cloud_api: { addr: `${HOST}:${this.platform.promotionService.port}` },
    };
  }
}
