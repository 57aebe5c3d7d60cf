import { formatGroupKey, formatNoteKey } from '@shallotpick/core';
import { createDaemon, type Daemon, loadSettings } from '@shallotpick/daemon';
import { StandinGroup, StandinPlatform } from '@shallotpick/standin';
import { createFirstNote, createGroupOptions, type Profile } from './profile.js';
import { findFreePorts } from './ports.js';

const READY_POLL_MS = 5;

/** Options of a deployment. */
export interface ClusterOptions {
  readonly profile: Profile;
  /** Number of proxies; that of the profile by default. */
  readonly proxies?: number;
  readonly statementCostMs: number;
  /** Additional settings of each daemon, as environment variables. */
  readonly environment?: Readonly<Record<string, string>>;
}

/** Operations of a proxy that the measurements use; implemented by the daemon and the naive proxy. */
export interface ProxyUnderTest {
  readCallerPort(): number;
  /** Shuts down after the running requests. */
  drain(): Promise<void>;
  stop(): void;
}

/** Stand-in groups and proxies that run in this process and talk over loopback. */
export interface Deployment {
  readonly groups: readonly StandinGroup[];
  readonly daemons: readonly ProxyUnderTest[];
  stop(): Promise<void>;
}

/** A deployment of shallotpick daemons. */
export interface Cluster extends Deployment {
  readonly platform: StandinPlatform;
  readonly daemons: readonly Daemon[];
}

/** Starts a deployment of one version of the proxy with new stand-ins. */
export type CreateDeployment = (options: ClusterOptions) => Promise<Deployment>;

async function waitUntilReady(daemon: Daemon): Promise<void> {
  while (!daemon.isReady()) {
    await new Promise((resolve) => {
      setTimeout(resolve, READY_POLL_MS);
    });
  }
}

function createProxy(
  options: ClusterOptions,
  platformUrl: string,
  index: number,
  peerPorts: readonly number[],
): Daemon {
  const { zones } = options.profile;
  const peers = peerPorts.flatMap((port, peer) =>
    peer === index ? [] : [`vm-${peer + 1}@${zones[peer % zones.length]}@127.0.0.1:${port}`],
  );
  return createDaemon(
    loadSettings([], {
      SHALLOTPICK_VM: `vm-${index + 1}`,
      SHALLOTPICK_ZONE: zones[index % zones.length],
      SHALLOTPICK_PLATFORM_URL: platformUrl,
      SHALLOTPICK_CALLER_PORT: '0',
      SHALLOTPICK_METRICS_PORT: '0',
      SHALLOTPICK_PEER_PORT: String(peerPorts[index]),
      SHALLOTPICK_PEERS: peers.join(','),
      SHALLOTPICK_LOG_LEVEL: 'error',
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

/** Starts the stand-ins, the platform with an initial release note, and the daemons. */
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
  const peerPorts = await findFreePorts(options.proxies ?? profile.proxies);
  const daemons = peerPorts.map((_, index) => createProxy(options, platformUrl, index, peerPorts));
  await Promise.all(daemons.map((daemon) => daemon.start()));
  await Promise.all(daemons.map(waitUntilReady));
  const stop = async (): Promise<void> => {
    daemons.forEach((daemon) => daemon.stop());
    await Promise.all(groups.map((group) => group.stop()));
    await platform.stop();
  };
  return { platform, groups, daemons, stop };
}
