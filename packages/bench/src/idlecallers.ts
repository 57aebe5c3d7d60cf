import { type ChildProcess, fork } from 'node:child_process';
import { connect, type Socket } from 'node:net';
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';
import { serialize } from '@shallotpick/wire';
import { createCluster } from './cluster.js';
import { PROFILES } from './profile.js';

const DEFAULT_CALLERS = 10_000;
const CALLERS_PER_BATCH = 200;
const SETTLE_MS = 1_000;
const BYTES_PER_MB = 1024 * 1024;
const READY_FOR_QUERY = 'Z'.charCodeAt(0);
/** Size of ReadyForQuery (type, length, status), which ends the answer to the startup message. */
const READY_BYTES = 6;

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const readMemory = (): number => {
  globalThis.gc?.();
  return process.memoryUsage().rss / BYTES_PER_MB;
};

/** Runs the daemon in a separate process, so that its memory does not include the callers. */
async function runServer(): Promise<void> {
  const cluster = await createCluster({
    profile: PROFILES.walks,
    proxies: 1,
    statementCostMs: 0,
    environment: { SHALLOTPICK_MAX_CALLERS: '100000' },
  });
  process.on('message', (message) => {
    if (message === 'memory') process.send?.({ memory: readMemory() });
    else {
      cluster
        .stop()
        .then(() => process.disconnect())
        .catch(() => {
          process.exitCode = 1;
          process.disconnect();
        });
    }
  });
  process.send?.({ port: cluster.daemons[0]?.readCallerPort() });
}

async function openCaller(port: number): Promise<Socket> {
  const socket = connect({ host: '127.0.0.1', port });
  await new Promise<void>((resolve, reject) => {
    let tail = Buffer.alloc(0);
    socket
      .once('error', reject)
      .once('close', () => reject(new Error('the daemon closed the connection during startup')));
    socket.on('data', (chunk) => {
      tail = Buffer.concat([tail, chunk]).subarray(-READY_BYTES);
      if (tail[0] === READY_FOR_QUERY && tail.length === READY_BYTES) resolve();
    });
    socket.write(serialize.startup({ user: 'guest', database: 'booking-1' }));
  });
  return socket;
}

async function request(child: ChildProcess, message: string): Promise<Record<string, number>> {
  const answer = new Promise<Record<string, number>>((resolve) => {
    child.once('message', (received) => resolve(received as Record<string, number>));
  });
  if (message !== '') child.send(message);
  return answer;
}

/** Opens idle callers on one daemon and prints the memory per caller. */
async function run(callers: number): Promise<void> {
  const child = fork(fileURLToPath(import.meta.url), ['--server'], {
    execArgv: ['--expose-gc', ...process.execArgv],
  });
  const { port = 0 } = await request(child, '');
  await sleep(SETTLE_MS);
  const { memory: before = 0 } = await request(child, 'memory');
  const sockets: Socket[] = [];
  while (sockets.length < callers) {
    const count = Math.min(CALLERS_PER_BATCH, callers - sockets.length);
    sockets.push(...(await Promise.all(Array.from({ length: count }, () => openCaller(port)))));
  }
  await sleep(SETTLE_MS);
  const { memory: after = 0 } = await request(child, 'memory');
  const held = sockets.filter(({ destroyed }) => !destroyed).length;
  print(`${held} idle callers held; ${before.toFixed(0)} MB before, ${after.toFixed(0)} MB after`);
  print(`${((after - before) / held).toFixed(4)} MB each`);
  sockets.forEach((socket) => socket.destroy());
  child.send('stop');
}

const work = process.argv.includes('--server')
  ? runServer()
  : run(Number(process.argv[2] ?? DEFAULT_CALLERS));
work.catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
  process.exitCode = 1;
});
