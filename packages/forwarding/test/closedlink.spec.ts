import { expect } from 'earl';
import { ManualClock } from '@shallotpick/core';
import { createForwarding } from './fleet.js';
import { RawHome } from './rawhome.js';

/** Longer than the delay before a link is opened again. */
const LATER_MS = 1_000;

describe('a link that is closed while it is opened', () => {
  // A VM that had closed it at once, for lack of memory, never opened another one to that home.
  it('is opened again later', async () => {
    const home = new RawHome();
    const address = { id: 'home', zone: 'z', host: '127.0.0.1', port: await home.listen() };
    const clock = new ManualClock();
    const { forwarding, guard } = createForwarding(0, [address], { clock });
    const { limitBytes } = guard.memory;
    const other = guard.memory.open(() => undefined);
    other.startMessage(limitBytes);
    forwarding.handleTick();
    other.finishMessage(limitBytes);
    clock.advance(LATER_MS);
    forwarding.handleTick();
    const [hello] = await home.waitFor('hello');
    expect(hello?.vm).toEqual('test');
    forwarding.stop();
    home.close();
  }).timeout(5_000);
});
