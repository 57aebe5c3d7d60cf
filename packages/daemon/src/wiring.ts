import { randomInt, randomUUID } from 'node:crypto';
import { createServer, type Socket } from 'node:net';
import { getHeapStatistics } from 'node:v8';
import {
  type BorrowGrant,
  type BorrowRequest,
  type Clock,
  computeClientLimits,
  createRetryDelay,
  type DatabaseGroup,
  type DatabaseInstance,
  Membership,
  type PeerLink,
  type Platform,
  NoteGossip,
  type Vm,
} from '@shallotpick/core';
import { ClientGuard, SystemClock } from '@shallotpick/engine';
import { MAX_MESSAGE_BYTES } from '@shallotpick/wire';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { ControlLink } from './control.js';
import { Daemon } from './daemon.js';
import { RefusedError } from './errors.js';
import { FailoverDriver } from './failover.js';
import { CallerHandshake } from './handshake.js';
import { GroupServer } from './group.js';
import { GroupManager } from './groupmanager.js';
import { createHealthServer } from './health.js';
import { LeavingInstancesFeature } from './leaving.js';
import { QuotaDriver } from './quota.js';
import { createLog, type Log } from './log.js';
import { MembershipDriver } from './membership.js';
import { Metrics } from './metrics.js';
import { ObservationFeature } from './observations.js';
import { Peering } from './peering.js';
import { GrpcPeerLink } from './peerlink.js';
import { PeerExchangeService } from './peerexchange.js';
import { PeerServer } from './peerserver.js';
import { OperatorServer } from './operator.js';
import { HttpPlatform } from './platform.js';
import { ConnectionPool } from './pool.js';
import type { Settings } from './settings.js';
import { SkippedEntries, type SkipListener } from './skippedentries.js';
import { StatusMonitor } from './status.js';
import { CertificateFiles, createGrpcCredentials, CaFile } from './tls.js';
import { UsersFile } from './users.js';
import { PlatformWatcher } from './watcher.js';

const RETRY_BACKOFF = { baseMs: 10, maxMs: 200 };
const MAX_SEED = 2 ** 31;
/** Messages of the largest size for which there is always room. */
const MIN_MEMORY_MESSAGES = 2;

/** Dependencies of the peering services. */
interface PeeringDependencies {
  readonly settings: Settings;
  readonly membership: Membership;
  readonly platform: Platform;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly groups: GroupManager;
  readonly noteGossip: NoteGossip;
  readonly onSkipped: SkipListener;
}

/** Uses the start time as incarnation, so that a restarted VM supersedes its predecessor. */
function createMembership({ vm: id, zone, host, peerPort, peers: seeds }: Settings): Membership {
  const self = { id, zone, host, peerPort: peerPort ?? 0 };
  return new Membership({
    self,
    incarnation: Date.now(),
    seeds,
    chooseNumber: (below) => randomInt(below),
  });
}

async function handleBorrow(groups: GroupManager, request: BorrowRequest): Promise<BorrowGrant> {
  const grant = groups.find(request.group)?.handleBorrow(request);
  if (!grant) throw new RefusedError(`instance ${request.instance} is not served here`);
  return grant;
}

function createPeering(dependencies: PeeringDependencies): Peering {
  const { settings, membership, clock, log, metrics, platform, groups, onSkipped } = dependencies;
  const { tlsPeerKey: key, tlsPeerCert: cert, tlsPeerCa: ca, host, vm: self } = settings;
  const files = key && cert ? new CertificateFiles({ key, cert, ca }, log) : undefined;
  if (!files && settings.peerPort !== undefined) {
    log.warn('peer TLS is not configured; any client that reaches the peer port is trusted');
  }
  const peerName = files && settings.tlsPeerName;
  const credentials = createGrpcCredentials(files);
  const observations = new ObservationFeature({
    membership,
    listGroups: () => groups.list().map(({ failover }) => failover),
    listRecords: () => groups.listRecords(),
    handleRecord: (record, version) => groups.handleRecord(record, version),
  });
  const leaving = new LeavingInstancesFeature({
    isInstance: (id) => groups.hasInstance(id),
    onChange: (ids) => groups.updateLeaving(ids),
  });
  const findVm = (id: string): Vm | undefined => membership.listLive().find((vm) => vm.id === id);
  const listExchangePeers = (): readonly Vm[] => {
    const failoverVms = observations.listFailoverVms().flatMap((id) => findVm(id) ?? []);
    return [
      ...new Map(
        [...membership.listPingTargets(), ...failoverVms].map((vm) => [vm.id, vm]),
      ).values(),
    ];
  };
  const exchangeService = new PeerExchangeService({
    self,
    clock,
    log,
    features: [observations, leaving, dependencies.noteGossip],
    createLink: (vm) =>
      new GrpcPeerLink({
        ...{ self, vm, clock, metrics, peerName, onSkipped },
        credentials: credentials.channel,
      }),
    listExchangePeers,
    findVm,
    readNoteNumber: () => groups.readConfiguration().number,
    hasUpdates: (now) =>
      [observations, leaving, dependencies.noteGossip]
        .map((each) => each.hasUpdates(now))
        .includes(true),
  });
  const driver = new MembershipDriver({
    membership,
    platform,
    clock,
    log,
    connect: (vm) => exchangeService.connect(vm),
    onVmList: (vms, now) => leaving.handleVmList(vms, now),
  });
  exchangeService.borrowHandler = (request) => handleBorrow(groups, request);
  const server = new PeerServer({
    self,
    clock,
    log,
    credentials: credentials.server,
    peerName,
    onSkipped,
    handler: {
      handlePing: (from, message) => driver.handlePing(from, message),
      handleExchange: (message) => exchangeService.handleExchange(message),
      handleBorrow: (request) => exchangeService.handleBorrow(request),
    },
  });
  return new Peering({
    membership,
    exchangeService,
    driver,
    server: settings.peerPort === undefined ? undefined : server,
    host,
    port: settings.peerPort ?? 0,
    files,
  });
}

/** Creates the factory of caller handshakes. */
function createHandshakeFactory(settings: Settings, log: Log): (socket: Socket) => CallerHandshake {
  const { tlsCallerKey: key, tlsCallerCert: cert, usersFile } = settings;
  const options = {
    timeoutMs: settings.startupTimeoutMs,
    files: key && cert ? new CertificateFiles({ key, cert }, log) : undefined,
    isTlsRequired: settings.tlsCallerRequired,
    users: usersFile ? new UsersFile(usersFile, log) : undefined,
    method: settings.callerAuth,
  };
  return (socket) => new CallerHandshake(socket, options);
}

function createGuard(settings: Settings, log: Log, { registry }: Metrics): ClientGuard {
  const { heap_size_limit: heapBytes } = getHeapStatistics();
  const limits = computeClientLimits(undefined, heapBytes, {
    firstMessageMs: settings.startupTimeoutMs,
    messageMs: settings.messageTimeoutMs,
    answerMs: settings.answerTimeoutMs,
    maxClients: settings.maxCallers,
  });
  const memoryBytes =
    settings.clientMemoryBytes ??
    Math.max(limits.memoryBytes, MIN_MEMORY_MESSAGES * MAX_MESSAGE_BYTES);
  return new ClientGuard({ limits: { ...limits, memoryBytes }, log, registry });
}

/** Creates a daemon and its dependencies from the settings. */
export function createDaemon(settings: Settings): Daemon {
  const { vm, zone, instanceUser } = settings;
  const clock = new SystemClock();
  const log = createLog(settings.logLevel, vm);
  const metrics = new Metrics();
  const skipped = new SkippedEntries(log, metrics);
  const platform = new HttpPlatform({
    url: settings.platformUrl,
    onCall: (call, outcome) => metrics.platformCalls.inc({ call, outcome }),
    onSkipped: skipped.report,
  });
  const applicationName = `shallotpick/${vm}/${zone}`;

  const caFile = settings.tlsInstanceCa ? new CaFile(settings.tlsInstanceCa, log) : undefined;
  const createLinks = (group: DatabaseGroup): ReadonlyMap<string, ControlLink> =>
    new Map(
      group.instances.map((instance) => [
        instance.id,
        new ControlLink({ instance, database: group.name, applicationName, clock, caFile }),
      ]),
    );
  const createPool = (instance: DatabaseInstance, database: string): ConnectionPool =>
    new ConnectionPool({
      instance,
      database,
      user: instanceUser,
      applicationName,
      caFile,
      clock,
    });
  const membership = createMembership(settings);
  const created: { daemon?: Daemon } = {};
  const findLink = (id: string): PeerLink | undefined =>
    created.daemon?.peering.exchangeService.findLink(id);
  const createGroup = (group: DatabaseGroup): GroupServer => {
    const links = createLinks(group);
    const shared = { group, clock, log, metrics };
    return new GroupServer({
      ...shared,
      zone,
      createQuota: (onGrant) => new QuotaDriver({ ...shared, membership, onGrant, findLink }),
      pools: new Map(
        group.instances.map((instance) => [instance.id, createPool(instance, group.name)]),
      ),
      createMonitor: (onStatus) => new StatusMonitor({ ...shared, links, onStatus }),
      failover: new FailoverDriver({
        ...shared,
        links,
        platform,
        membership,
        createAttempt: randomUUID,
        onSkipped: skipped.report,
        random: Math.random,
      }),
    });
  };
  const { drainLimitMs } = settings;
  const groups = new GroupManager({ clock, log, membership, createGroup, drainLimitMs });
  const noteGossip = new NoteGossip((configuration) => groups.updateConfiguration(configuration));
  const startSources = (target: Daemon): (() => void) => {
    const watcher = new PlatformWatcher({
      platform,
      log,
      membership,
      noteGossip,
      createRandom: Math.random,
      onSkipped: skipped.report,
      onRecord: (record, version) => target.handleRecord(record, version),
      onRecordsListed: (listed, version) => target.handleListedRecords(listed, version),
    });
    watcher.start();
    return () => {
      watcher.stop();
      platform.close();
    };
  };

  const shared = { settings, clock, log, metrics };
  const daemon: Daemon = new Daemon({
    ...shared,
    computeBackoff: createRetryDelay(RETRY_BACKOFF, xoroshiro128plus(randomInt(MAX_SEED))),
    peering: createPeering({
      ...shared,
      membership,
      platform,
      noteGossip,
      groups,
      onSkipped: skipped.report,
    }),
    callerServer: createServer(),
    guard: createGuard(settings, log, metrics),
    metricsServer: createHealthServer(metrics, () => daemon.isReady()),
    operatorServer: new OperatorServer({ settings, clock, log }),
    createHandshake: createHandshakeFactory(settings, log),
    groups,
    startWatching: startSources,
  });
  created.daemon = daemon;
  return daemon;
}
