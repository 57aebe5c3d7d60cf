import { connect } from 'node:net';
import { expect } from 'earl';
import { InstancePaths } from '../src/index.js';
import { INSTANCES_KIND, startPlatform } from './testplatform.js';

const SILENCE_MS = 100;

/** Lists the addresses of the instances as a service of the store shows them. */
async function listAddresses(port: number): Promise<readonly string[]> {
  const response = await fetch(`http://127.0.0.1:${port}/api/objects/${INSTANCES_KIND}`);
  const { items } = (await response.json()) as {
    readonly items: readonly { readonly spec: { readonly addr: string } }[];
  };
  return items.map(({ spec }) => spec.addr);
}

/** True when the instance at the address answers a greeting in time. */
async function isReached(address: string): Promise<boolean> {
  const [host = '', port = ''] = address.split(':');
  const socket = connect(Number(port), host);
  socket.write('CONNECT group vm\r\n');
  const answered = await new Promise<boolean>((resolve) => {
    socket.once('data', () => resolve(true));
    setTimeout(() => resolve(false), SILENCE_MS);
  });
  socket.destroy();
  return answered;
}

describe('the paths of a VM to the instances', () => {
  // Guards against a fault of one VM's path that cuts the instance from all VMs.
  it('are cut for that VM alone', async () => {
    const running = await startPlatform();
    const vms = [new InstancePaths(), new InstancePaths()];
    const services = vms.map((paths) => running.platform.createStoreService(paths));
    await Promise.all(services.map((service) => service.start()));
    const [own, others] = await Promise.all(services.map(({ port }) => listAddresses(port)));
    const address = `127.0.0.1:${running.platform.findProxy(running.leader)!.port}`;
    (await vms[0]!.findProxy(address)).silence('toServer', 'toClient');
    const reached = await Promise.all([own, others].map((list) => isReached(list![0]!)));
    expect(reached).toEqual([false, true]);
    await Promise.all([
      ...services.map((service) => service.stop()),
      ...vms.map((paths) => paths.stop()),
      running.platform.stop(),
    ]);
  });
});
