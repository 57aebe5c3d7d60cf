import { expect } from 'earl';
import { connect } from 'node:net';
import { serialize } from '@shallotpick/wire';
import pg from 'pg';
import { type Cluster, createCluster, PROFILES } from '../src/index.js';

const OVERSIZED = Buffer.from([0x51, 0x7f, 0xff, 0xff, 0xff]);
const NEGATIVE = Buffer.from([0x51, 0xff, 0xff, 0xff, 0xff]);

describe('limits of callers and messages', () => {
  let cluster: Cluster;
  let port = 0;

  beforeEach(async () => {
    cluster = await createCluster({
      profile: PROFILES.walks,
      proxies: 1,
      statementCostMs: 0,
      environment: { SHALLOTPICK_MAX_CALLERS: '2', SHALLOTPICK_STARTUP_TIMEOUT_MS: '100' },
    });
    port = cluster.daemons[0]?.readCallerPort() ?? 0;
  });

  afterEach(() => cluster.stop());

  /** Sends bytes and returns all that the daemon sent until it closed the connection. */
  const send = async (bytes: Buffer): Promise<string> =>
    new Promise((resolve) => {
      const received: Buffer[] = [];
      const socket = connect(port, '127.0.0.1', () => socket.write(bytes));
      socket.on('data', (chunk) => received.push(chunk)).on('error', () => undefined);
      socket.on('close', () => resolve(Buffer.concat(received).toString('latin1')));
    });

  const startup = serialize.startup({ user: 'guest', database: 'booking-1' });

  // Guards against a message that is buffered without limit, and against closing other callers'
  // connections.
  it('refuse oversized and malformed messages and close only that connection', async () => {
    const client = new pg.Client({ host: '127.0.0.1', port, user: 'guest', database: 'booking-1' });
    client.on('error', () => undefined);
    await client.connect();
    for (const bad of [OVERSIZED, NEGATIVE]) {
      const answer = await send(Buffer.concat([startup, bad]));
      expect(answer).toMatchRegex(/C08P01.*message length -?\d+ is outside/s);
    }
    const { rows } = await client.query("SELECT value FROM items WHERE key = 'none'");
    expect(rows).toEqual([]);
    await client.end();
  });

  // Guards against a refused caller that continues to send, whose bytes would be kept indefinitely.
  it('close a refused connection whose caller continues to send', async () => {
    const chunk = Buffer.alloc(65_536);
    const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
    socket.on('error', () => undefined).resume();
    socket.write(startup);
    // Waits for the startup to complete, so that only the oversized message can close the connection.
    await new Promise((resolve) => {
      socket.once('data', resolve);
    });
    socket.write(OVERSIZED);
    const timer = setInterval(() => socket.write(chunk), 5);
    await new Promise((resolve) => {
      socket.once('close', resolve);
    });
    clearInterval(timer);
    expect(socket.destroyed).toEqual(true);
  });

  // Guards against callers beyond the limit, and against connections that never send a startup
  // message and still count towards it.
  it('refuse callers beyond the maximum, and those that never send a startup message', async () => {
    const silent = [send(Buffer.alloc(0)), send(Buffer.alloc(1))];
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
    expect(await send(startup)).toMatchRegex(/C53300.*too many callers/s);
    const answers = await Promise.all(silent);
    answers.forEach((answer) => expect(answer).toMatchRegex(/no complete startup in time/));
  });
});
