import { FaultProxy } from './faultproxy.js';

/** The paths of one VM to the instances, each through a proxy of its own. */
export class InstancePaths {
  /** The proxies by the address to which they lead, and as promises while they start. */
  private readonly proxies = new Map<string, Promise<FaultProxy>>();

  /** Returns the proxy on this VM's path to an address, `127.0.0.1:PORT`. */
  async findProxy(address: string): Promise<FaultProxy> {
    const known = this.proxies.get(address);
    if (known) return known;
    const started = this.startProxy(address);
    this.proxies.set(address, started);
    return started;
  }

  /** Returns the address under which this VM reaches another one. */
  async findAddress(address: string): Promise<string> {
    const { host, port } = await this.findProxy(address);
    return `${host}:${port}`;
  }

  async stop(): Promise<void> {
    const proxies = await Promise.all(this.proxies.values());
    await Promise.all(proxies.map((proxy) => proxy.stop()));
  }

  private async startProxy(address: string): Promise<FaultProxy> {
    const port = Number(address.split(':').at(-1));
    const proxy = new FaultProxy(() => port);
    await proxy.start();
    return proxy;
  }
}
