import { randomInt, randomUUID } from 'node:crypto';
import { createServer, type Socket } from 'node:net';
import {
  type BorrowGrant,
  type BorrowRequest,
  type Clock,
  createBackoff,
  type DatabaseGroup,
  type DatabaseInstance,
  Membership,
  type PeerLink,
  type Platform,
  Spread,
  type Vm,
} from '@shallotpick/core';
import { SystemClock } from '@shallotpick/engine';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { ControlLink } from './control.js';
import { Daemon } from './daemon.js';
import { RefusedError } from './errors.js';
import { FailoverDriver } from './failover.js';
import { CallerGate } from './gate.js';
import { GroupServer } from './group.js';
import { GroupHost } from './host.js';
import { createHealthServer } from './health.js';
import { LeavingFeature } from './leaving.js';
import { QuotaDriver } from './lender.js';
import { createLog, type Log } from './log.js';
import { MembershipDriver } from './membership.js';
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
import { CertificateFiles, createPeerCredentials, TrustFile } from './tls.js';
import { UserFile } from './users.js';
import { PlatformWatcher } from './watcher.js';

const RETRY_BACKOFF = { baseMs: 10, maxMs: 200 };
const MAX_SEED = 2 ** 31;

interface PeeringParts {
  readonly settings: Settings;
  readonly membership: Membership;
  readonly platform: Platform;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly host: GroupHost;
  readonly spread: Spread;
}

/** A new life of a VM has a greater incarnation than those before it. */
function createMembership({ vm: id, zone, host, peerPort, peers: seeds }: Settings): Membership {
  const self = { id, zone, host, peerPort: peerPort ?? 0 };
  return new Membership({
    self,
    incarnation: Date.now(),
    seeds,
    chooseNumber: (below) => randomInt(below),
  });
}

async function handleBorrow(host: GroupHost, request: BorrowRequest): Promise<BorrowGrant> {
  const grant = host.find(request.group)?.handleBorrow(request);
  if (!grant) throw new RefusedError(`instance ${request.instance} is not served here`);
  return grant;
}

function createPeering(parts: PeeringParts): Peering {
  const { settings, membership, clock, log, metrics, platform, host: groups } = parts;
  const { tlsPeerKey: key, tlsPeerCert: cert, tlsPeerCa: ca, host, vm: self } = settings;
  const files = key && cert ? new CertificateFiles({ key, cert, ca }, log) : undefined;
  if (!files && settings.peerPort !== undefined) {
    log.warn('no TLS between daemons; anyone who reaches the peer port is a peer');
  }
  const peerName = files && settings.tlsPeerName;
  const credentials = createPeerCredentials(files);
  const observations = new ObservationFeature({
    membership,
    listGroups: () => groups.list().map(({ failover }) => failover),
    listRecords: () => groups.listRecords(),
    handleRecord: (record, version) => groups.handleRecord(record, version),
  });
  const leaving = new LeavingFeature({
    isInstance: (id) => groups.hasInstance(id),
    onChange: (ids) => groups.updateLeaving(ids),
  });
  const findVm = (id: string): Vm | undefined => membership.listLive().find((vm) => vm.id === id);
  const listPartners = (): readonly Vm[] => {
    const watchers = observations.listWatchers().flatMap((id) => findVm(id) ?? []);
    return [
      ...new Map([...membership.listPartners(), ...watchers].map((vm) => [vm.id, vm])).values(),
    ];
  };
  const hub = new PeerHub({
    self,
    clock,
    log,
    features: [observations, leaving, parts.spread],
    createLink: (vm) =>
      new GrpcPeerLink({ self, vm, clock, metrics, credentials: credentials.channel, peerName }),
    listPartners,
    findVm,
    readNoteNumber: () => groups.readConfiguration().number,
    hasNews: (now) =>
      [observations, leaving, parts.spread].map((one) => one.hasNews(now)).includes(true),
  });
  const driver = new MembershipDriver({
    membership,
    platform,
    clock,
    log,
    connect: (vm) => hub.connect(vm),
    onListing: (listing, now) => leaving.handleListing(listing, now),
  });
  hub.borrowHandler = (request) => handleBorrow(groups, request);
  const server = new PeerServer({
    self,
    clock,
    log,
    credentials: credentials.server,
    peerName,
    handler: {
      handlePing: (from, message) => driver.handlePing(from, message),
      handleExchange: (message) => hub.handleExchange(message),
      handleBorrow: (request) => hub.handleBorrow(request),
    },
  });
  return new Peering({
    membership,
    hub,
    driver,
    server: settings.peerPort === undefined ? undefined : server,
    host,
    port: settings.peerPort ?? 0,
    files,
  });
}

/** Creates what checks a caller's startup. */
function createGates(settings: Settings, log: Log): (socket: Socket) => CallerGate {
  const { tlsCallerKey: key, tlsCallerCert: cert, usersFile } = settings;
  const options = {
    timeoutMs: settings.startupTimeoutMs,
    files: key && cert ? new CertificateFiles({ key, cert }, log) : undefined,
    isTlsRequired: settings.tlsCallerRequired,
    users: usersFile ? new UserFile(usersFile, log) : undefined,
    method: settings.callerAuth,
  };
  return (socket) => new CallerGate(socket, options);
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

  const trust = settings.tlsInstanceCa ? new TrustFile(settings.tlsInstanceCa, log) : undefined;
  const createLinks = (group: DatabaseGroup): ReadonlyMap<string, ControlLink> =>
    new Map(
      group.instances.map((instance) => [
        instance.id,
        new ControlLink({ instance, database: group.name, applicationName, clock, trust }),
      ]),
    );
  const createPool = (instance: DatabaseInstance, database: string): ConnectionPool =>
    new ConnectionPool({ instance, database, user: instanceUser, applicationName, trust, clock });
  const membership = createMembership(settings);
  const source: { daemon?: Daemon } = {};
  const findLink = (id: string): PeerLink | undefined => source.daemon?.peering.hub.findLink(id);
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
  const { drainLimitMs } = settings;
  const host = new GroupHost({ clock, log, membership, createGroup, drainLimitMs });
  const spread = new Spread((configuration) => host.updateConfiguration(configuration));
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
  const daemon: Daemon = new Daemon({
    ...shared,
    computeBackoff: createBackoff(RETRY_BACKOFF, xoroshiro128plus(randomInt(MAX_SEED))),
    peering: createPeering({
      ...shared,
      membership,
      platform,
      spread,
      host,
    }),
    callerServer: createServer(),
    metricsServer: createHealthServer(metrics, () => daemon.isReady()),
    operatorServer: new OperatorServer({ settings, clock, log }),
    createGate: createGates(settings, log),
    host,
    startSources,
  });
  source.daemon = daemon;
  return daemon;
}
