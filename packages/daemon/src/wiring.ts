import { randomUUID } from 'node:crypto';
import { createServer } from 'node:net';
import {
  type DatabaseGroup,
  type DatabaseInstance,
  FixedMembership,
  Spread,
} from '@shallotpick/core';
import { SystemClock } from './clock.js';
import { ControlLink } from './control.js';
import { Daemon } from './daemon.js';
import { FailoverDriver } from './failover.js';
import { GroupServer } from './group.js';
import { createHealthServer } from './health.js';
import { createLog } from './log.js';
import { Metrics } from './metrics.js';
import { OperatorServer } from './operator.js';
import { HttpPlatform } from './platform.js';
import { ConnectionPool } from './pool.js';
import type { Settings } from './settings.js';
import { StatusBoard } from './status.js';
import { PlatformWatcher } from './watcher.js';

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
    new ConnectionPool({ instance, database, user: instanceUser, applicationName });
  const membership = new FixedMembership({ id: vm, zone, host: settings.host, peerPort: 0 });
  const createGroup = (group: DatabaseGroup): GroupServer => {
    const links = createLinks(group);
    const shared = { group, clock, log, metrics };
    return new GroupServer({
      ...shared,
      zone,
      pools: new Map(group.instances.map((one) => [one.id, createPool(one, group.name)])),
      createBoard: (onStatus) => new StatusBoard({ ...shared, links, onStatus }),
      failover: new FailoverDriver({
        ...shared,
        links,
        platform,
        membership,
        createAttempt: randomUUID,
      }),
    });
  };
  const startSources = (daemon: Daemon): (() => void) => {
    const spread = new Spread((configuration) => daemon.handleConfiguration(configuration));
    const watcher = new PlatformWatcher({
      platform,
      log,
      membership,
      spread,
      createRandom: Math.random,
      onRecord: (record, version) => daemon.handleRecord(record, version),
    });
    watcher.start();
    return () => watcher.stop();
  };

  const daemon: Daemon = new Daemon({
    settings,
    clock,
    log,
    metrics,
    callerServer: createServer(),
    metricsServer: createHealthServer(metrics, () => daemon.isReady()),
    operatorServer: new OperatorServer({ settings, clock, log }),
    createGroup,
    startSources,
  });
  return daemon;
}
