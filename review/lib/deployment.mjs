/** A small deployment: the platform's stand-ins, groups of three instances, and machines. */
import { createWriteStream } from 'node:fs';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Group } from './group.mjs';
import { findPorts, wait } from './net.mjs';
import { Path } from './path.mjs';
import { Promotions, Store } from './store.mjs';
import { Vm } from './vm.mjs';

const ZONES = ['a', 'b', 'c'];
const TICK_MS = 20;
/** `heartbeat_ms` of the settings. */
const HEARTBEAT_MS = 1_200;
const READY_LIMIT_MS = 15_000;

/** Writes each event as a line of `record.txt` beside the script. */
export function createRecord(directory) {
  const stream = createWriteStream(join(directory, 'record.txt'));
  const startedAt = Date.now();
  return (event) => {
    stream.write(`${JSON.stringify({ ms: Date.now() - startedAt, ...event })}\n`);
  };
}

/** The routes of one group: one of each type. */
export function createRoutes(group, timeoutMs = 1_500, types = undefined) {
  const common = { service: group, timeout_ms: timeoutMs, target_latency_ms: 200, priority: 1 };
  const routes = [
    { host: `${group}-fresh`, ...common, route_type: 'primary' },
    { host: `${group}-aged`, ...common, route_type: 'bounded_staleness', max_staleness_ms: 1_500 },
    { host: `${group}-own`, ...common, route_type: 'read_your_writes', max_staleness_ms: 2_500 },
  ];
  return routes.filter((route) => types === undefined || types.includes(route.route_type));
}

/** The platform and its machines on the loopback address. */
export class Deployment {
  groups = [];

  vms = [];

  /** Paths of the links of each machine to the others. */
  links = [];

  store = new Store();

  promotions = new Promotions((name) => this.groups.find((one) => one.name === name));

  constructor(note) {
    this.note = note;
  }

  async start({ groups = ['base'], vms = 2, timeoutMs, types, maxConns = 16, instances = 3 }) {
    this.directory = await mkdtemp(join(tmpdir(), 'review-'));
    const [cloudPort] = await findPorts(1);
    await this.promotions.listen(cloudPort);
    for (const name of groups) {
      const group = new Group(name, this.store, this.note);
      this.groups.push(group);
      const ports = await findPorts(instances);
      for (const [index, port] of ports.entries()) {
        const instance = group.add(`i-${name}-${index}`, ZONES[index % ZONES.length]);
        instance.maxConns = maxConns;
        await instance.listen(port);
        group.publish(instance);
      }
    }
    this.version = 1;
    this.writeConfiguration(
      groups.flatMap((name) => createRoutes(name, timeoutMs, types)),
      maxConns,
    );
    this.routes = groups.flatMap((name) => createRoutes(name, timeoutMs, types));
    this.heartbeats = setInterval(() => {
      this.groups.forEach((group) => group.instances.forEach((one) => group.publish(one)));
    }, HEARTBEAT_MS);
    this.timer = setInterval(() => this.groups.forEach((group) => group.tick()), TICK_MS);
    const ports = await findPorts(vms * 3);
    for (let index = 0; index < vms; index += 1) {
      const own = ports.slice(index * 3, index * 3 + 3);
      const { directory, note } = this;
      const storePort = await this.openStore(index);
      const zone = ZONES[index % ZONES.length];
      const name = `front-${zone}-${index}`;
      const vm = new Vm({ name, zone, directory, ports: own, storePort, cloudPort, note });
      this.vms.push(vm);
    }
    await this.openLinks(this.vms.map(({ link }) => link));
    for (const vm of this.vms) await vm.start();
    await this.waitUntilReady();
  }

  /** A machine loses power: its process ends, and the others hear nothing more of its links. */
  losePower(vm) {
    this.links[this.vms.indexOf(vm)].forEach((link) => link.losePower());
    vm.kill('SIGKILL');
  }

  async returnPower(vm) {
    this.links[this.vms.indexOf(vm)].forEach((link) => link.returnPower());
    await vm.restart();
  }

  /** Gives each pair of machines a path of its own for links; call it before `start`. */
  async openLinks(ports) {
    this.hasLinkPaths = true;
    for (const links of this.links) {
      const free = await findPorts(ports.length);
      for (const [number, port] of ports.entries()) {
        const link = new Path(() => port);
        await link.listen(free[number]);
        links.set(port, link);
      }
    }
  }

  /** Opens the store for one machine, with a path of its own to each instance. */
  async openStore(index) {
    const instances = this.groups.flatMap((group) => group.instances);
    const [storePort, ...ports] = await findPorts(instances.length + 1);
    const paths = new Map();
    for (const [number, instance] of instances.entries()) {
      const path = new Path(() => instance.port);
      await path.listen(ports[number]);
      paths.set(`127.0.0.1:${instance.port}`, path);
      instance.paths ??= [];
      instance.paths[index] = path;
    }
    const links = new Map();
    this.links[index] = links;
    await this.store.listen(storePort, index, (object, kind) => {
      if (kind === 'proxies' && object.spec?.port && this.hasLinkPaths) {
        const link = links.get(object.spec.port);
        return link ? { ...object, spec: { ...object.spec, port: link.port } } : object;
      }
      const path = kind === 'servers' && paths.get(object.spec?.addr);
      if (!path) return object;
      return { ...object, spec: { ...object.spec, addr: `127.0.0.1:${path.port}` } };
    });
    return storePort;
  }

  writeConfiguration(routes, maxConns = 16) {
    const services = this.groups.map(({ name }) => ({
      ...{ name, max_conns: maxConns, sync_replicas: 1 },
    }));
    const spec = { version: this.version, routes, services, limits: { tx_idle_ms: 3_000 } };
    this.store.put('config', 'main', spec);
    this.version += 3;
  }

  /** The operator changes the time limit of a route. */
  changeTimeout() {
    const [first, ...others] = this.routes;
    this.writeConfiguration([{ ...first, timeout_ms: first.timeout_ms + 100 }, ...others]);
  }

  async waitUntilReady() {
    const limit = Date.now() + READY_LIMIT_MS;
    for (;;) {
      const answers = await Promise.all(this.vms.map((vm) => vm.isReady()));
      if (answers.every(Boolean)) return;
      if (Date.now() > limit) throw new Error('the machines did not become ready');
      await wait(100);
    }
  }

  async end() {
    clearInterval(this.timer);
    clearInterval(this.heartbeats);
    this.vms.forEach((vm) => vm.end());
    this.groups.forEach(({ instances }) => {
      instances.forEach((one) => {
        one.stop();
        one.paths?.forEach((path) => path.close());
      });
    });
    this.store.close();
    this.promotions.close();
    if (this.directory) await rm(this.directory, { recursive: true, force: true });
  }
}

/** Runs a case: exit code 1 when its rule was broken, 0 when it held, 2 when it could not run. */
export async function runCase(directory, play) {
  const note = createRecord(directory);
  const deployment = new Deployment(note);
  let code = 2;
  const stop = async () => {
    await deployment.end();
    // Timers of the stand-ins would keep this process alive.
    // eslint-disable-next-line n/no-process-exit
    process.exit(code);
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  try {
    const broken = await play(deployment, note);
    broken.forEach((line) => note({ broken: line }));
    note({ verdict: broken.length > 0 ? 'broken' : 'held' });
    code = broken.length > 0 ? 1 : 0;
    process.stdout.write(`${broken.length > 0 ? `broken: ${broken.join('; ')}` : 'held'}\n`);
  } catch (error) {
    note({ error: String(error.stack) });
    process.stdout.write(`could not run: ${error}\n`);
  }
  await stop();
}
