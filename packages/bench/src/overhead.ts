import { type ChildProcess, fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { formatGroupKey, formatNoteKey } from '@shallotpick/core';
import { createDaemon, loadSettings } from '@shallotpick/daemon';
import { StandinGroup, StandinPlatform } from '@shallotpick/standin';
import { type LoadResult, runLoad } from './load.js';
import { createFirstNote, createGroupOptions, type Profile, PROFILES } from './profile.js';
import { formatNumber } from './stats.js';

/** Has more slots and connections than the load uses, so that the proxy is the bottleneck. */
const UNCONSTRAINED_PROFILE: Profile = {
  ...PROFILES.walks,
  groups: ['wide'],
  zoneDelayMs: 0,
  slots: 64,
  connectionLimit: 400,
  connectCostMs: 0,
  proxies: 1,
};
const LATENCY_RUN_MS = 3_000;
const THROUGHPUT_RUN_MS = 6_000;
const THROUGHPUT_CONNECTIONS = 48;
const LOADERS = 2;
const TEXT = '/* shallotpick contract=availability */ SELECT 1';

/** Addresses that the process with the stand-ins reports. */
interface Ports {
  readonly instancePort: number;
  readonly platformUrl: string;
}

/** Starts a role of the benchmark in a child process. */
function startRole(role: string, ...values: readonly string[]): ChildProcess {
  return fork(fileURLToPath(import.meta.url), [role, ...values], {
    execArgv: ['--conditions=development', '--import', 'tsx'],
    stdio: ['ignore', 'inherit', 'ignore', 'ipc'],
  });
}

async function waitForMessage<T>(child: ChildProcess): Promise<T> {
  return new Promise((resolve, reject) => {
    child.once('message', (message) => resolve(message as T));
    child.once('exit', (code) => reject(new Error(`a child process exited with code ${code}`)));
  });
}

async function runInstances(): Promise<void> {
  const platform = new StandinPlatform();
  const platformUrl = await platform.start();
  const group = new StandinGroup(createGroupOptions(UNCONSTRAINED_PROFILE, 'wide', 0));
  await group.start();
  const definition = group.toDatabaseGroup();
  platform.set(formatGroupKey('wide'), JSON.stringify(group.toGroupRecord()));
  platform.set(formatNoteKey(1), JSON.stringify(createFirstNote([definition])));
  process.send?.({ instancePort: definition.instances[1]?.port ?? 0, platformUrl });
}

async function runDaemon(platformUrl: string, logLevel: string): Promise<void> {
  const daemon = createDaemon(
    loadSettings([], {
      SHALLOTPICK_VM: 'vm-1',
      SHALLOTPICK_ZONE: UNCONSTRAINED_PROFILE.zones[0],
      SHALLOTPICK_PLATFORM_URL: platformUrl,
      SHALLOTPICK_CALLER_PORT: '0',
      SHALLOTPICK_METRICS_PORT: '0',
      SHALLOTPICK_LOG_LEVEL: logLevel,
    }),
  );
  await daemon.start();
  while (!daemon.isReady()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
  process.send?.(daemon.readCallerPort());
}

async function runLoader(port: number): Promise<void> {
  const result = await runLoad({
    port,
    database: 'wide',
    connections: THROUGHPUT_CONNECTIONS / LOADERS,
    durationMs: THROUGHPUT_RUN_MS,
    text: TEXT,
  });
  process.send?.(result);
}

/** Measures the latency of a single caller, to an instance or through the daemon. */
async function measureLatency(port: number): Promise<LoadResult> {
  return runLoad({
    port,
    database: 'wide',
    connections: 1,
    durationMs: LATENCY_RUN_MS,
    text: TEXT,
  });
}

/** Measures the throughput of several loaders, to an instance or through a daemon. */
async function measureThroughput(port: number): Promise<readonly LoadResult[]> {
  const loaders = Array.from({ length: LOADERS }, () => startRole('loader', String(port)));
  const results = await Promise.all(loaders.map((child) => waitForMessage<LoadResult>(child)));
  loaders.forEach((child) => child.kill());
  return results;
}

async function runAll(): Promise<void> {
  const instances = startRole('instances');
  const { instancePort, platformUrl } = await waitForMessage<Ports>(instances);
  const daemon = startRole('daemon', platformUrl, 'warn');
  const port = await waitForMessage<number>(daemon);
  const loggingDaemon = startRole('daemon', platformUrl, 'info');
  const loggingPort = await waitForMessage<number>(loggingDaemon);
  await measureLatency(port);
  const direct = await measureLatency(instancePort);
  const proxied = await measureLatency(port);
  const busyDirect = await measureThroughput(instancePort);
  const busy = await measureThroughput(port);
  const busyLogged = await measureThroughput(loggingPort);
  const sum = (results: readonly LoadResult[]): number =>
    results.reduce((total, { statementsPerSecond }) => total + statementsPerSecond, 0);
  const report = {
    directMedianMs: formatNumber(direct.medianMs),
    proxiedMedianMs: formatNumber(proxied.medianMs),
    overheadMedianMs: formatNumber(proxied.medianMs - direct.medianMs),
    directStatementsPerSecond: sum(busyDirect),
    statementsPerSecond: sum(busy),
    loggedStatementsPerSecond: sum(busyLogged),
    busyMedianMs: formatNumber(busy[0]?.medianMs ?? 0),
    busyP99Ms: formatNumber(busy[0]?.p99Ms ?? 0),
    errors: busy.reduce((total, { errors }) => total + errors, 0),
  };
  process.stdout.write(`${JSON.stringify(report)}\n`);
  [instances, daemon, loggingDaemon].forEach((child) => child.kill());
}

const [role = 'all', value = '', level = ''] = process.argv.slice(2);
const ROLES: Readonly<Record<string, () => Promise<void>>> = {
  all: runAll,
  instances: runInstances,
  daemon: () => runDaemon(value, level),
  loader: () => runLoader(Number(value)),
};

await ROLES[role]?.();
