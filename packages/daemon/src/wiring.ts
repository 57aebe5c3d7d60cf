import { randomInt, randomUUID } from 'node:crypto';
import { createServer } from 'node:net';
import {
  type BorrowGrant,
  type BorrowRequest,
  type Clock,
  createBackoff,
  type DatabaseGroup,
  type DatabaseInstance,
  type ExchangeFeature,
  FixedMembership,
  type MembershipView,
  type PeerLink,
  Spread,
  type Vm,
} from '@shallotpick/core';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { SystemClock } from './clock.js';
import { ControlLink } from './control.js';
import { Daemon } from './daemon.js';
import { RefusedError } from './errors.js';
import { FailoverDriver } from './failover.js';
import { GroupServer } from './group.js';
import { createHealthServer } from './health.js';
import { QuotaDriver } from './lender.js';
import { createLog, type Log } from './log.js';
import { Metrics } from './metrics.js';
import { ObservationFeature } from './observations.js';
import { Peering } from './peering.js';
import { GrpcPeerLink } from './peerlink.js';
import { PeerHub } from './peers.js';
import { PeerServer } from './peerserver.js';
import { OperatorServer } from './operator.js';
import { HttpPlatform } from './platform.js';
import { ConnectionPool } from './pool.js';
import type { Settings } from './settings.js';
import { StatusBoard } from './status.js';
import { CertificateFiles, createPeerCredentials } from './tls.js';
import { PlatformWatcher } from './watcher.js';

const RETRY_BACKOFF = { baseMs: 10, maxMs: 200 };
const MAX_SEED = 2 ** 31;

interface PeeringParts {
  readonly settings: Settings;
  readonly membership: MembershipView;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly findDaemon: () => Daemon;
  /** More subjects of the exchange than the observations. */
  readonly features: readonly ExchangeFeature[];
}

async function handleBorrow(daemon: Daemon, request: BorrowRequest): Promise<BorrowGrant> {
  const group = daemon.listGroups().find(({ name }) => name === request.group);
  const grant = group?.handleBorrow(request);
  if (!grant) throw new RefusedError(`instance ${request.instance} is not served here`);
  return grant;
}

function createPeering(parts: PeeringParts): Peering | undefined {
  const { settings, membership, clock, log, metrics, findDaemon } = parts;
  if (settings.peerPort === undefined) return undefined;
  const { tlsPeerKey: key, tlsPeerCert: cert, tlsPeerCa: ca, host, vm: self } = settings;
  const files = key && cert ? new CertificateFiles({ key, cert, ca }, log) : undefined;
  if (!files) log.warn('no TLS between daemons; anyone who reaches the peer port is a peer');
  const peerName = files && settings.tlsPeerName;
  const credentials = createPeerCredentials(files);
  const observations = new ObservationFeature({
    membership,
    listGroups: () =>
      findDaemon()
        .listGroups()
        .map(({ failover }) => failover),
    listRecords: () => findDaemon().listRecords(),
    handleRecord: (record, version) => findDaemon().handleRecord(record, version),
  });
  const findVm = (id: string): Vm | undefined => membership.listLive().find((vm) => vm.id === id);
  const hub = new PeerHub({
    self,
    clock,
    log,
    features: [observations, ...parts.features],
    createLink: (vm) =>
      new GrpcPeerLink({ self, vm, clock, metrics, credentials: credentials.channel, peerName }),
    listPartners: () => membership.listLive().filter(({ id }) => id !== self),
    findVm,
    readNoteNumber: () => findDaemon().readConfiguration().number,
    hasNews: (now) => observations.hasNews(now),
    handlePing: () => [],
  });
  hub.borrowHandler = (request) => handleBorrow(findDaemon(), request);
  const server = new PeerServer({
    self,
    clock,
    log,
    credentials: credentials.server,
    peerName,
    handler: hub,
  });
  return new Peering({ hub, server, host, port: settings.peerPort, files });
}

/** Constructs a daemon with its real adapters. */
export function createDaemon(settings: Settings): Daemon {
  const { vm, zone, instanceUser } = settings;
  const clock = new SystemClock();
  const log = createLog(settings.logLevel, vm);
  const metrics = new Metrics();
  const platform = new HttpPlatform({
    url: settings.platformUrl,
    onCall: (call, outcome) => metrics.platformCalls.inc({ call, outcome }),
  });
  const applicationName = `shallotpick/${vm}/${zone}`;

  const createLinks = (group: DatabaseGroup): ReadonlyMap<string, ControlLink> =>
    new Map(
      group.instances.map((instance) => [
        instance.id,
        new ControlLink({ instance, database: group.name, applicationName, clock }),
      ]),
    );
  const createPool = (instance: DatabaseInstance, database: string): ConnectionPool =>
    new ConnectionPool({ instance, database, user: instanceUser, applicationName, clock });
  const self: Vm = { id: vm, zone, host: settings.host, peerPort: settings.peerPort ?? 0 };
  const membership = new FixedMembership(self, settings.peers);
  const source: { daemon?: Daemon } = {};
  const findLink = (id: string): PeerLink | undefined => source.daemon?.peering?.hub.findLink(id);
  const createGroup = (group: DatabaseGroup): GroupServer => {
    const links = createLinks(group);
    const shared = { group, clock, log, metrics };
    return new GroupServer({
      ...shared,
      zone,
      createQuota: (onGrant) => new QuotaDriver({ ...shared, membership, onGrant, findLink }),
      pools: new Map(group.instances.map((one) => [one.id, createPool(one, group.name)])),
      createBoard: (onStatus) => new StatusBoard({ ...shared, links, onStatus }),
      failover: new FailoverDriver({
        ...shared,
        links,
        platform,
        membership,
        createAttempt: randomUUID,
        random: Math.random,
      }),
    });
  };
  // The daemon's sources and peers need it before it exists; they call this only once started.
  let daemon: Daemon;
  const findDaemon = (): Daemon => daemon;
  const spread = new Spread((configuration) => findDaemon().handleConfiguration(configuration));
  const startSources = (target: Daemon): (() => void) => {
    const watcher = new PlatformWatcher({
      platform,
      log,
      membership,
      spread,
      createRandom: Math.random,
      onRecord: (record, version) => target.handleRecord(record, version),
    });
    watcher.start();
    return () => {
      watcher.stop();
      platform.close();
    };
  };

  const shared = { settings, clock, log, metrics };
  daemon = new Daemon({
    ...shared,
    peering: createPeering({ ...shared, membership, features: [spread], findDaemon }),
    computeBackoff: createBackoff(RETRY_BACKOFF, xoroshiro128plus(randomInt(MAX_SEED))),
    callerServer: createServer(),
    metricsServer: createHealthServer(metrics, () => daemon.isReady()),
    operatorServer: new OperatorServer({ settings, clock, log }),
    createGroup,
    startSources,
  });
  source.daemon = daemon;
  return daemon;
}
