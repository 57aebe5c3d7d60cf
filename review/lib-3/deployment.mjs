/* eslint-disable no-promise-executor-return, no-console, n/no-process-exit -- stand-ins and scripts of a review */
// A small deployment on loopback addresses: store, calls of duties, services and machines.
import { createWriteStream } from 'node:fs';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Group } from './group.mjs';
import { CloudApi, Store } from './store.mjs';
import { Vm, wait } from './vm.mjs';

/** True unless the script runs without its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

const ROUTES = [
  { suffix: 'p', route_type: 'primary', timeout_ms: 800, target_latency_ms: 150, priority: 1 },
  {
    ...{ suffix: 'b', route_type: 'bounded_staleness', max_staleness_ms: 1500 },
    ...{ timeout_ms: 2000, target_latency_ms: 500, priority: 2 },
  },
  {
    ...{ suffix: 'o', route_type: 'read_your_writes', max_staleness_ms: 2500 },
    ...{ timeout_ms: 800, target_latency_ms: 250, priority: 2 },
  },
];

/** Writes what is sent, answered and run, one JSON line each. */
export class Recorder {
  constructor(folder) {
    this.stream = createWriteStream(join(folder, 'record.txt'), { flags: 'w' });
  }

  add(entry) {
    this.stream.write(`${JSON.stringify({ at: Date.now(), ...entry })}\n`);
  }

  async close() {
    await new Promise((resolve) => this.stream.end(resolve));
  }
}

/** Starts a deployment; `machines` are loopback addresses with their zones. */
export async function startDeployment({ recorder, machines, group: options = {}, vm = {} }) {
  const directory = await mkdtemp(join(tmpdir(), 'review-'));
  const store = new Store();
  const group = new Group(store, { name: 'db1', ...options }, (entry) => recorder.add(entry));
  const cloud = new CloudApi((_, id) => group.promote(id));
  cloud.record = (entry) => recorder.add(entry);
  await store.start();
  await cloud.start();
  await group.start();
  const configuration = {
    version: 10,
    routes: ROUTES.map(({ suffix, ...route }) => ({
      ...{ host: `db1${suffix}`, service: 'db1' },
      ...route,
    })),
    services: [{ name: 'db1', max_conns: group.options.connections, sync_replicas: 1 }],
    limits: { tx_idle_ms: 3000 },
  };
  store.put('config', 'main', configuration);
  const vms = machines.map(
    ({ host, zone }, index) =>
      new Vm({
        ...{ name: `front-${index + 1}`, host, zone, directory },
        ...{ store: store.addr, cloud: cloud.addr },
        onExit: (exit) => recorder.add({ kind: 'exit', ...exit }),
        ...vm,
      }),
  );
  const stop = async () => {
    vms.forEach((one) => one.close());
    group.stop();
    store.stop();
    cloud.stop();
    await rm(directory, { recursive: true, force: true });
    await recorder.close();
  };
  try {
    for (const one of vms) await one.open();
    const ready = await Promise.all(vms.map((one) => one.waitUntilReady()));
    if (!ready.every(Boolean)) throw new Error('a machine is not ready in time');
    await wait(1_500);
  } catch (error) {
    await stop();
    throw error;
  }
  return { store, group, cloud, vms, configuration, stop };
}

/** Runs a case: exits with 1 when it returns true, for a broken rule, 0 when not, 2 on an error. */
export async function runCase(run, limitMs = 115_000) {
  const limit = setTimeout(() => {
    console.log('the case took too long');
    process.exit(2);
  }, limitMs);
  try {
    const isBroken = await run();
    clearTimeout(limit);
    process.exit(isBroken ? 1 : 0);
  } catch (error) {
    console.log(`the case could not run: ${error?.stack ?? error}`);
    process.exit(2);
  }
}
