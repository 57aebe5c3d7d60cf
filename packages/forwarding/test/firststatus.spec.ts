import { expect } from 'earl';
import { DEFAULT_CONTRACT } from '@shallotpick/core';
import { type Lease, SystemClock, wait, type WorkRequest } from '@shallotpick/engine';
import { createForwarding, findFreePort } from './fleet.js';
import { RawHome } from './rawhome.js';

const TICK_MS = 25;
/** Shorter than the time after which a home without an answer is passed over. */
const STATUS_DELAY_MS = 60;

function createRequest(): WorkRequest {
  const deadline = new SystemClock().readNow() + 2_000;
  return {
    ...{ requestId: 'r', kind: 'write', caller: 'o', organisation: 'o', database: 'd' },
    ...{ contract: DEFAULT_CONTRACT, objective: deadline, deadline, priority: 0 },
    ...{ lastCommit: undefined, excluded: new Set() },
  };
}

describe('work in the name of an organisation, at a home that has told nothing yet', () => {
  let homes: readonly RawHome[];
  let close: () => void;
  let admitted: Promise<Lease | string>;

  /** Asks a VM whose links have just been opened, and which has this many homes, for a lease. */
  const start = async (count: number): Promise<void> => {
    homes = Array.from({ length: count }, () => new RawHome());
    const ports = await Promise.all(homes.map((home) => home.listen()));
    const addresses = ports.map((port, index) => ({
      ...{ id: `home-${index}`, zone: 'z', host: '127.0.0.1', port },
    }));
    const { forwarding } = createForwarding(await findFreePort(), addresses);
    const ticks = setInterval(() => forwarding.handleTick(), TICK_MS);
    close = () => {
      clearInterval(ticks);
      forwarding.stop();
      homes.forEach((home) => home.close());
    };
    admitted = forwarding.admit('g', createRequest()).catch((error: unknown) => String(error));
  };

  const grant = async (home: RawHome): Promise<void> => {
    const [admit] = await home.waitFor('admit');
    const lease = admit?.lease ?? 0;
    home.send({ type: 'granted', lease, instance: 'i', isLeader: true, latencyMs: 1 });
  };

  const describeAdmission = async (): Promise<unknown> => {
    const lease = await admitted;
    return typeof lease === 'string' ? lease : lease.instance;
  };

  afterEach(() => close());

  // Beside a change of homes, callers were refused since "the home knows no organisations": the link
  // had just been opened, and the home's first status had not arrived.
  it('waits for the first status', async () => {
    await start(1);
    await wait(STATUS_DELAY_MS);
    homes.forEach((home) => home.sendStatus(['organisations']));
    await Promise.all(homes.map(grant));
    expect(await describeAdmission()).toEqual('i');
  });

  it('goes to another home when the first one does not know the field', async () => {
    await start(2);
    await wait(STATUS_DELAY_MS);
    const asked = homes.map(async (home) => {
      await home.waitFor('ping');
      home.sendStatus(home === homes[0] ? [] : ['organisations']);
    });
    await Promise.all(asked);
    await grant(homes[1]!);
    expect(await describeAdmission()).toEqual('i');
    expect(homes[0]?.received.some(({ type }) => type === 'admit')).toEqual(false);
  });

  it('is refused when the only home does not know the field', async () => {
    await start(1);
    homes.forEach((home) => home.sendStatus([]));
    await homes[0]!.waitFor('hello');
    homes.forEach((home) => home.sendStatus([]));
    expect(String(await describeAdmission())).toInclude('the home knows no organisations');
  });

  it('is refused when the home drains', async () => {
    await start(1);
    await homes[0]!.waitFor('hello');
    homes.forEach((home) => home.sendStatus(['organisations'], true));
    expect(String(await describeAdmission())).toInclude('the home takes no more work');
  });

  it('is refused when the home tells nothing', async () => {
    await start(1);
    expect(String(await describeAdmission())).toInclude('the home is silent');
  });

  it('is refused when the link breaks', async () => {
    await start(1);
    await homes[0]!.waitFor('hello');
    homes.forEach((home) => home.breakLink());
    expect(String(await describeAdmission())).toInclude('closed by the peer');
  });
});
