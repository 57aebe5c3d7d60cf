import { type ChildProcess, spawn } from 'node:child_process';
import { readFile } from 'node:fs/promises';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { formatGroupKey, formatNoteKey } from '@shallotpick/core';
import { StandinGroup, StandinPlatform } from '@shallotpick/standin';
import { FrameReader, serialize } from '@shallotpick/wire';
import { createFirstNote, createGroupOptions, PROFILES } from './profile.js';
import { findFreePorts } from './ports.js';

const DAEMON = fileURLToPath(new URL('../../daemon/src/main.ts', import.meta.url));
const ROWS = [5_000, 20_000];
const ROW_BYTES = 10_000;
const BYTES_PER_SECOND = 20_000_000;
const READ_INTERVAL_MS = 10;
const SAMPLE_INTERVAL_MS = 100;
const READY_TIMEOUT_MS = 20_000;
const MEGABYTE = 1_000_000;

/** Returns the resident memory of a child process in bytes. */
async function measureMemory({ pid }: ChildProcess): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  return Number(/^VmRSS:\s+(\d+) kB/m.exec(status)?.[1] ?? 0) * 1024;
}

async function waitUntilReady(metricsPort: number): Promise<void> {
  const deadline = Date.now() + READY_TIMEOUT_MS;
  while (Date.now() < deadline) {
    const ready = await fetch(`http://127.0.0.1:${metricsPort}/readyz`).then(
      (response) => response.ok,
      () => false,
    );
    if (ready) return;
    await sleep(SAMPLE_INTERVAL_MS);
  }
  throw new Error('the daemon was not ready in time');
}

/** Sends a message, reads its answer at BYTES_PER_SECOND and returns the number of bytes. */
async function readSlowly(socket: Socket, message: Buffer): Promise<number> {
  const reader = new FrameReader(true);
  let ready = 0;
  let bytes = 0;
  socket.write(message);
  while (ready === 0) {
    await sleep(READ_INTERVAL_MS);
    let allowed = (BYTES_PER_SECOND * READ_INTERVAL_MS) / 1_000;
    for (let chunk = socket.read(); chunk; chunk = allowed > 0 ? socket.read() : null) {
      const data = chunk as Buffer;
      bytes += data.length;
      allowed -= data.length;
      reader.add(data);
      for (let frame = reader.read(); frame; frame = reader.read()) {
        if (frame.type === 'Z'.charCodeAt(0)) ready += 1;
      }
    }
  }
  return bytes;
}

/** Measures the daemon's peak memory while a slow caller reads one large answer. */
async function measureAnswer(
  child: ChildProcess,
  port: number,
  database: string,
  rows: number,
): Promise<string> {
  const socket = connect({ host: '127.0.0.1', port });
  socket.on('readable', () => undefined);
  await readSlowly(socket, serialize.startup({ user: 'guest', database }));
  // Warms up the connection to the instance.
  await readSlowly(socket, serialize.query('SELECT payload(100, 10000)'));
  const before = await measureMemory(child);
  let peak = before;
  const startedAt = Date.now();
  const answer = readSlowly(socket, serialize.query(`SELECT payload(${rows}, ${ROW_BYTES})`));
  let isRunning = true;
  answer.finally(() => {
    isRunning = false;
  });
  while (isRunning) {
    peak = Math.max(peak, await measureMemory(child));
    await sleep(SAMPLE_INTERVAL_MS);
  }
  const bytes = await answer;
  socket.destroy();
  return JSON.stringify({
    answerMegabytes: Math.round(bytes / MEGABYTE),
    seconds: (Date.now() - startedAt) / 1_000,
    rssBeforeMegabytes: Math.round(before / MEGABYTE),
    rssPeakMegabytes: Math.round(peak / MEGABYTE),
  });
}

/** Prints the daemon's memory while a slow caller reads answers of 50 MB and 200 MB. */
async function run(): Promise<void> {
  const profile = PROFILES.walks;
  const platform = new StandinPlatform();
  const platformUrl = await platform.start();
  const [name = ''] = profile.groups;
  const group = new StandinGroup(createGroupOptions(profile, name, 0));
  await group.start();
  platform.set(formatGroupKey(name), JSON.stringify(group.toGroupRecord()));
  platform.set(formatNoteKey(1), JSON.stringify(createFirstNote([group.toDatabaseGroup()])));
  const [callerPort = 0, metricsPort = 0] = await findFreePorts(2);
  const child = spawn(process.execPath, ['--conditions=development', '--import', 'tsx', DAEMON], {
    stdio: 'ignore',
    env: {
      ...process.env,
      SHALLOTPICK_VM: 'vm-1',
      SHALLOTPICK_ZONE: profile.zones[0],
      SHALLOTPICK_PLATFORM_URL: platformUrl,
      SHALLOTPICK_CALLER_PORT: String(callerPort),
      SHALLOTPICK_METRICS_PORT: String(metricsPort),
      SHALLOTPICK_LOG_LEVEL: 'error',
    },
  });
  try {
    await waitUntilReady(metricsPort);
    for (const rows of ROWS) {
      process.stdout.write(`${await measureAnswer(child, callerPort, name, rows)}\n`);
    }
  } finally {
    child.kill('SIGTERM');
    await group.stop();
    await platform.stop();
  }
}

run().catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
  process.exitCode = 1;
});
