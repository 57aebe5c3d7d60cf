import { randomInt, randomUUID } from 'node:crypto';
import { createServer } from 'node:net';
import {
  createBackoff,
  type DatabaseGroup,
  type DatabaseInstance,
  FixedMembership,
} from '@shallotpick/core';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { SystemClock } from './clock.js';
import { ControlLink } from './control.js';
import { Daemon } from './daemon.js';
import { FailoverDriver } from './failover.js';
import { GroupServer } from './group.js';
import { createHealthServer } from './health.js';
import { createLog } from './log.js';
import { Metrics } from './metrics.js';
import { HttpPlatform } from './platform.js';
import { ConnectionPool } from './pool.js';
import type { Settings } from './settings.js';
import { StatusBoard } from './status.js';
import { PlatformWatcher } from './watcher.js';

const RETRY_BACKOFF = { baseMs: 10, maxMs: 200 };
const MAX_SEED = 2 ** 31;

/** Constructs a daemon with its real adapters. */
export function createDaemon(settings: Settings): Daemon {
  const { vm, zone, instanceUser } = settings;
  const clock = new SystemClock();
  const log = createLog(settings.logLevel, vm);
  const metrics = new Metrics();
  const platform = new HttpPlatform(settings.platformUrl, metrics);
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
    const watcher = new PlatformWatcher({
      platform,
      log,
      onConfiguration: (configuration) => daemon.handleConfiguration(configuration),
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
    computeBackoff: createBackoff(RETRY_BACKOFF, xoroshiro128plus(randomInt(MAX_SEED))),
    callerServer: createServer(),
    metricsServer: createHealthServer(metrics, () => daemon.isReady()),
    createGroup,
    startSources,
  });
  return daemon;
}
