import { type ChildProcess, spawn } from 'node:child_process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { formatGroupKey, formatNoteKey } from '@shallotpick/core';
import { StandinGroup, StandinPlatform } from '@shallotpick/standin';
import pg from 'pg';
import { createFirstNote, createGroupOptions, PROFILES } from './profile.js';
import { findFreePorts } from './ports.js';

const DAEMON = fileURLToPath(new URL('../../daemon/src/main.ts', import.meta.url));
const STATEMENT_COST_MS = 1;
const READY_TIMEOUT_MS = 20_000;
const WRITE_TIMEOUT_MS = 15_000;

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

/** A daemon in a child process. */
interface RunningDaemon {
  readonly vm: string;
  readonly callerPort: number;
  readonly metricsPort: number;
  readonly operatorPort: number;
  readonly process: ChildProcess;
}

async function startDaemon(vm: string, zone: string, platformUrl: string): Promise<RunningDaemon> {
  const [callerPort = 0, metricsPort = 0, operatorPort = 0] = await findFreePorts(3);
  const child = spawn(process.execPath, ['--conditions=development', '--import', 'tsx', DAEMON], {
    stdio: ['ignore', 'ignore', process.env.QUICKSTART_LOGS ? 'inherit' : 'ignore'],
    env: {
      ...process.env,
      SHALLOTPICK_VM: vm,
      SHALLOTPICK_ZONE: zone,
      SHALLOTPICK_PLATFORM_URL: platformUrl,
      SHALLOTPICK_CALLER_PORT: String(callerPort),
      SHALLOTPICK_METRICS_PORT: String(metricsPort),
      SHALLOTPICK_OPERATOR_PORT: String(operatorPort),
    },
  });
  return { vm, callerPort, metricsPort, operatorPort, process: child };
}

async function waitUntilReady({ vm, metricsPort }: RunningDaemon): Promise<void> {
  const deadline = Date.now() + READY_TIMEOUT_MS;
  while (Date.now() < deadline) {
    const ready = await fetch(`http://127.0.0.1:${metricsPort}/readyz`).then(
      (response) => response.ok,
      () => false,
    );
    if (ready) return;
    await sleep(50);
  }
  throw new Error(`daemon ${vm} was not ready in time`);
}

async function stopDaemon(daemon: RunningDaemon): Promise<number | null> {
  // It has already exited if an operator drained it.
  if (daemon.process.exitCode !== null) return daemon.process.exitCode;
  const exited = new Promise<number | null>((resolve) => {
    daemon.process.once('exit', resolve);
  });
  daemon.process.kill('SIGTERM');
  return exited;
}

async function connect(port: number, database: string): Promise<pg.Client> {
  const client = new pg.Client({ host: '127.0.0.1', port, database, user: 'guest' });
  client.on('error', () => undefined);
  await client.connect();
  return client;
}

/** Repeats a write until it succeeds; returns the time until then in milliseconds. */
async function measureGap(client: pg.Client, key: string): Promise<number> {
  const startedAt = Date.now();
  while (Date.now() - startedAt < WRITE_TIMEOUT_MS) {
    try {
      await client.query('INSERT INTO items (key, value) VALUES ($1, $2)', [key, 'again']);
      return Date.now() - startedAt;
    } catch {
      await sleep(10);
    }
  }
  throw new Error('no write succeeded in time after the loss of the primary');
}

/** Shows session consistency, reads from replicas and a failover through two daemons. */
async function runTour(daemons: readonly RunningDaemon[], group: StandinGroup): Promise<void> {
  const [first, second] = daemons;
  if (!first || !second) throw new Error('the tour needs two daemons');
  const database = group.options.name;
  const writer = await connect(first.callerPort, database);
  const reader = await connect(second.callerPort, database);
  await writer.query('INSERT INTO items (key, value) VALUES ($1, $2)', ['seat-1', 'paid']);
  const own = await writer.query('SELECT value FROM items WHERE key = $1', ['seat-1']);
  print(`write and read through ${first.vm}: ${own.rows[0]?.value}`);
  const roamed = await reader.query('SELECT value FROM items WHERE key = $1', ['seat-1']);
  print(`read through ${second.vm}: ${roamed.rows[0]?.value}`);
  for (let index = 0; index < 100; index++) {
    await reader.query(
      '/* shallotpick contract=availability */ SELECT value FROM items WHERE key = $1',
      ['seat-1'],
    );
  }
  const primary = group.findPrimary();
  const served = group.instances.map(
    ({ options, statementCounts: { reads } }) => `${options.id}=${reads}`,
  );
  print(`reads by instance (primary ${primary?.options.id}): ${served.join(' ')}`);
  await sleep(1_200);
  await primary?.stop();
  const gap = await measureGap(writer, 'seat-2');
  print(`primary ${primary?.options.id} killed; writes went on after ${gap} ms`);
  print(`primary is now ${group.findPrimary()?.options.id}`);
  await writer.end();
  await reader.end();
}

async function run(): Promise<void> {
  const profile = PROFILES.walks;
  const platform = new StandinPlatform();
  const platformUrl = await platform.start();
  const groups = profile.groups.map(
    (name) => new StandinGroup(createGroupOptions(profile, name, STATEMENT_COST_MS)),
  );
  await Promise.all(groups.map((group) => group.start()));
  groups.forEach((group) => {
    platform.set(formatGroupKey(group.options.name), JSON.stringify(group.toGroupRecord()));
  });
  const note = createFirstNote(groups.map((group) => group.toDatabaseGroup()));
  platform.set(formatNoteKey(1), JSON.stringify(note));
  const daemons = await Promise.all([
    startDaemon('vm-1', profile.zones[0] ?? '', platformUrl),
    startDaemon('vm-2', profile.zones[1] ?? '', platformUrl),
  ]);
  await Promise.all(daemons.map(waitUntilReady));
  print(`two daemons are ready on ports ${daemons.map((one) => one.callerPort).join(' and ')}`);
  const [group] = groups;
  if (group) await runTour(daemons, group);
  if (process.argv.includes('--stay')) {
    print(`connect: psql -h 127.0.0.1 -p ${daemons[0]?.callerPort} -U guest booking-2`);
    const operators = daemons.map((one) => `127.0.0.1:${one.operatorPort}`).join(',');
    print(`export SHALLOTPICK_PLATFORM_URL=${platformUrl}`);
    print(`export SHALLOTPICK_DAEMONS=${operators}`);
    print(`metrics and health: http://127.0.0.1:${daemons[0]?.metricsPort}/metrics`);
    await new Promise((resolve) => {
      process.once('SIGINT', resolve);
    });
  }
  const codes = await Promise.all(daemons.map(stopDaemon));
  if (codes.some((code) => code !== 0)) process.exitCode = 1;
  print(`daemons stopped with exit codes ${codes.join(' and ')}`);
  await Promise.all(groups.map((one) => one.stop()));
  await platform.stop();
}

run().catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
  process.exitCode = 1;
});
