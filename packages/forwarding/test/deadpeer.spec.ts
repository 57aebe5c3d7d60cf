import { expect } from 'earl';
import { wait } from '@shallotpick/engine';
import { SilenceMeter } from '../src/silence.js';
import { createForwarding, type FakeFleet, findFreePort, startFleet } from './fleet.js';
import { RawPeer } from './rawpeer.js';
import { SlowHome } from './slowhome.js';

const PING_INTERVAL_MS = 500;
/** Longer than a probe holds its transaction. */
const PROBE_MS = 50;
const TICK_MS = 25;
/** Together longer than a link may be without an answer. */
const PIECES = 90;
const PIECE_INTERVAL_MS = 50;

describe('a VM whose link is silent', () => {
  let fleet: FakeFleet;
  let peers: RawPeer[] = [];

  const listOpen = () => [...fleet.leader.connections].filter(({ state }) => state === 'open');

  /** Counts the transactions that last; those of probes end at once. */
  const countTransactions = async (): Promise<number> => {
    const before = listOpen();
    await wait(PROBE_MS);
    return listOpen().filter((connection) => before.includes(connection)).length;
  };

  const openPeer = (): RawPeer => {
    const entry = fleet.vms.find(({ isHome }) => !isHome)!;
    const home = fleet.vms.find(({ isHome }) => isHome)!;
    const peer = new RawPeer(entry.id, home.port);
    peers.push(peer);
    return peer;
  };

  beforeEach(async () => {
    fleet = await startFleet();
    fleet.vms.filter(({ isHome }) => !isHome).forEach((entry) => entry.stop());
  });

  afterEach(() => {
    peers.forEach((peer) => peer.close());
    peers = [];
    fleet.stop();
  });

  // A home kept the connections and transactions of a VM that had lost power until it restarted.
  it('holds no connection of the home once it is gone', async () => {
    const peer = openPeer();
    await peer.begin(1);
    expect(await countTransactions()).toEqual(1);
    await peer.closed;
    expect(await countTransactions()).toEqual(0);
    expect(fleet.messages).toInclude('peer of a link is gone');
  }).timeout(10_000);

  // A transaction may pause for longer than a link may be silent.
  it('keeps what it holds while it sends pings', async () => {
    const peer = openPeer();
    await peer.begin(1);
    for (let count = 0; count < 12; count += 1) {
      await wait(PING_INTERVAL_MS);
      peer.send({ type: 'ping', number: count });
    }
    expect(await countTransactions()).toEqual(1);
  }).timeout(15_000);

  // A process that restarts within the time of silence left its former transactions open.
  it('holds nothing from before its process started again', async () => {
    const former = openPeer();
    await former.begin(1);
    openPeer();
    await former.closed;
    expect(await countTransactions()).toEqual(0);
    expect(fleet.messages.includes('peer of a link is gone')).toEqual(false);
  }).timeout(10_000);
});

describe('a home that sends a large message slowly', () => {
  // The answer to a ping waits behind it; the link was closed with all of its work.
  it('keeps its link until it sends nothing more', async () => {
    const home = new SlowHome();
    const address = { id: 'home', zone: 'z', host: '127.0.0.1', port: await home.listen() };
    const { forwarding } = createForwarding(await findFreePort(), [address]);
    const ticks = setInterval(() => forwarding.handleTick(), TICK_MS);
    await home.opened;
    await home.sendPieces(PIECES, PIECE_INTERVAL_MS);
    expect(home.countClosed()).toEqual(0);
    await home.closed;
    clearInterval(ticks);
    forwarding.stop();
    home.close();
  }).timeout(15_000);
});

describe('the time for which a peer is silent', () => {
  // A process that has stood still must not take what it could not read for the peer's silence.
  it('counts a stall of this process as one tick', () => {
    const meter = new SilenceMeter(0);
    meter.handleTick(25);
    meter.handleTick(60_000);
    expect(meter.measure()).toEqual(125);
    meter.reset();
    meter.handleTick(60_050);
    expect(meter.measure()).toEqual(50);
  });
});
