import { once } from 'node:events';
import { type AddressInfo, createServer } from 'node:net';
import { formatGroupKey, formatNoteKey } from '@shallotpick/core';
import { createDaemon, type Daemon, loadSettings } from '@shallotpick/daemon';
import { StandinGroup, StandinPlatform } from '@shallotpick/standin';
import { createFirstNote, createGroupOptions, type Profile } from './profile.js';

const READY_POLL_MS = 5;

export interface ClusterOptions {
  readonly profile: Profile;
  /** Number of daemons; the profile's own by default. */
  readonly proxies?: number;
  readonly statementCostMs: number;
  /** Whether the daemons exchange what they see, as those of a deployment do. */
  readonly hasPeers?: boolean;
  /** More settings of each daemon, as environment variables. */
  readonly environment?: Readonly<Record<string, string>>;
}

/** What a measurement needs of a proxy, whichever version it is. */
export interface Proxy {
  readCallerPort(): number;
  /** Lets requests finish and stops. */
  drain(): Promise<void>;
  stop(): void;
}

/** Stand-ins and proxies of one deployment in this process, over loopback. */
export interface Deployment {
  readonly groups: readonly StandinGroup[];
  readonly daemons: readonly Proxy[];
  stop(): Promise<void>;
}

/** A deployment of shallotpick. */
export interface Cluster extends Deployment {
  readonly platform: StandinPlatform;
  readonly daemons: readonly Daemon[];
}

/** Starts one version of the proxy over fresh stand-ins. */
export type CreateDeployment = (options: ClusterOptions) => Promise<Deployment>;

async function waitUntilReady(daemon: Daemon): Promise<void> {
  while (!daemon.isReady()) {
    await new Promise((resolve) => {
      setTimeout(resolve, READY_POLL_MS);
    });
  }
}

/** Ports that were free a moment ago. */
async function findFreePorts(count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => createServer().listen(0, '127.0.0.1'));
  await Promise.all(servers.map((server) => once(server, 'listening')));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  servers.forEach((server) => server.close());
  return ports;
}

function listPeerSettings(
  ports: readonly number[],
  zones: readonly string[],
  index: number,
): Readonly<Record<string, string>> {
  const peers = ports
    .map((port, other) => `vm-${other + 1}@${zones[other % zones.length]}@127.0.0.1:${port}`)
    .filter((_, other) => other !== index);
  if (peers.length === 0) return {};
  return { SHALLOTPICK_PEER_PORT: String(ports[index]), SHALLOTPICK_PEERS: peers.join(',') };
}

function createProxy(
  options: ClusterOptions,
  platformUrl: string,
  ports: readonly number[],
  index: number,
): Daemon {
  const { zones } = options.profile;
  return createDaemon(
    loadSettings([], {
      SHALLOTPICK_VM: `vm-${index + 1}`,
      SHALLOTPICK_ZONE: zones[index % zones.length],
      SHALLOTPICK_PLATFORM_URL: platformUrl,
      SHALLOTPICK_CALLER_PORT: '0',
      SHALLOTPICK_METRICS_PORT: '0',
      SHALLOTPICK_LOG_LEVEL: 'error',
      ...listPeerSettings(ports, zones, index),
      ...options.environment,
    }),
  );
}

/** Starts the stand-in groups of a profile. */
export async function startGroups(
  profile: Profile,
  statementCostMs: number,
): Promise<readonly StandinGroup[]> {
  const groups = profile.groups.map(
    (name) => new StandinGroup(createGroupOptions(profile, name, statementCostMs)),
  );
  await Promise.all(groups.map((group) => group.start()));
  return groups;
}

/** Starts the stand-ins, the platform with a first release note, and the daemons. */
export async function createCluster(options: ClusterOptions): Promise<Cluster> {
  const { profile, statementCostMs } = options;
  const platform = new StandinPlatform();
  const platformUrl = await platform.start();
  const groups = await startGroups(profile, statementCostMs);
  groups.forEach((group) => {
    platform.set(formatGroupKey(group.options.name), JSON.stringify(group.toGroupRecord()));
  });
  const note = createFirstNote(groups.map((group) => group.toDatabaseGroup()));
  platform.set(formatNoteKey(1), JSON.stringify(note));
  const count = options.proxies ?? profile.proxies;
  const ports = await findFreePorts(options.hasPeers ? count : 0);
  const daemons = Array.from({ length: count }, (_, index) =>
    createProxy(options, platformUrl, ports, index),
  );
  await Promise.all(daemons.map((daemon) => daemon.start()));
  await Promise.all(daemons.map(waitUntilReady));
  const stop = async (): Promise<void> => {
    daemons.forEach((daemon) => daemon.stop());
    await Promise.all(groups.map((group) => group.stop()));
    await platform.stop();
  };
  return { platform, groups, daemons, stop };
}
