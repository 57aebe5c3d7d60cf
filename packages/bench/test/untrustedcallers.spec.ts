import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { formatGroupKey, formatNoteKey } from '@shallotpick/core';
import { StandinGroup, StandinPlatform } from '@shallotpick/standin';
import { serialize } from '@shallotpick/wire';
import { expect } from 'earl';
import { createFirstNote, createGroupOptions, PROFILES } from '../src/profile.js';
import { findFreePorts } from '../src/ports.js';
import { LimitedProcess } from './limitedprocess.js';
import { RawClient } from './rawclient.js';

const DAEMON = fileURLToPath(new URL('../../daemon/src/main.ts', import.meta.url));
const MIB = 1_024 * 1_024;
const TEST_TIMEOUT_MS = 90_000;
/** Time that a crowd gets to send; afterwards it stays connected. */
const CROWD_MS = 5_000;
const SERVED_WITHIN_MS = 30_000;
const RETRY_MS = 100;
/** The lowered limits of the daemon; the crowds are fixed for these. */
const LIMITS = { heapMb: 128, descriptors: 400 };
const MAX_MEMORY_MB = 300;
const MAX_DESCRIPTORS = 350;
const SETTINGS = {
  SHALLOTPICK_MAX_CALLERS: '200',
  SHALLOTPICK_STARTUP_TIMEOUT_MS: '1000',
  SHALLOTPICK_CLIENT_MEMORY_BYTES: String(25 * MIB),
  SHALLOTPICK_MESSAGE_TIMEOUT_MS: '2000',
  SHALLOTPICK_ANSWER_TIMEOUT_MS: '2000',
};

/** Opens the connections of a crowd, with or without a session. */
interface Opener {
  openSockets(size: number): readonly Socket[];
  openSessions(size: number): Promise<readonly Socket[]>;
}

type Crowd = (opener: Opener) => Promise<unknown>;

/** What the crowds do; none of their connections is closed by the crowd. */
const CROWDS: Readonly<Record<string, Crowd>> = {
  'that sends large messages at once': async ({ openSessions }) => {
    const crowd = await openSessions(30);
    const message = serialize.query(`SELECT 1 -- ${'x'.repeat(4 * MIB)}`);
    crowd.forEach((socket) => {
      for (let count = 0; count < 4; count++) socket.write(message);
    });
  },
  'that stops in the middle of a message': async ({ openSessions }) => {
    const crowd = await openSessions(30);
    const message = serialize.query('x'.repeat(16 * MIB)).subarray(0, 15 * MIB);
    crowd.forEach((socket) => socket.write(message));
  },
  'that sends a message byte by byte': async ({ openSessions }) => {
    const crowd = await openSessions(10);
    const message = serialize.query('x'.repeat(300_000));
    const end = Date.now() + CROWD_MS;
    for (let index = 0; index < message.length && Date.now() < end; index++) {
      crowd.forEach((socket) => socket.write(message.subarray(index, index + 1)));
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  },
  'that sends a series without its end': async ({ openSessions }) => {
    const crowd = await openSessions(30);
    const message = serialize.parse({ text: `SELECT '${'x'.repeat(MIB)}'` });
    crowd.forEach((socket) => {
      for (let count = 0; count < 15; count++) socket.write(message);
    });
  },
  'that sends requests ahead and reads no answer': async ({ openSessions }) => {
    const crowd = await openSessions(30);
    crowd.forEach((socket) => {
      socket.pause();
      for (let count = 0; count < 20; count++) {
        socket.write(serialize.query('SELECT payload(100, 10000)'));
      }
    });
  },
  'that opens more connections than are allowed and sends nothing': async ({ openSockets }) => {
    openSockets(450);
  },
};

describe('a daemon with little memory', () => {
  const profile = PROFILES.walks;
  const [name = ''] = profile.groups;
  let platform: StandinPlatform;
  let group: StandinGroup;
  let daemon: LimitedProcess;
  let platformUrl = '';
  let port = 0;
  let sockets: Socket[] = [];

  const openSockets = (size: number): readonly Socket[] => {
    const crowd = Array.from({ length: size }, () => connect({ host: '127.0.0.1', port }));
    crowd.forEach((socket) => socket.on('error', () => undefined));
    sockets.push(...crowd);
    return crowd;
  };

  const openSessions = async (size: number): Promise<readonly Socket[]> => {
    const crowd = openSockets(size);
    crowd.forEach((socket) => {
      socket.on('data', () => undefined);
      socket.write(serialize.startup({ user: 'guest', database: name }));
    });
    await sleep(CROWD_MS / 5);
    return crowd;
  };

  /** Runs one ordinary request; false when it is refused. */
  const request = async (): Promise<boolean> => {
    const client = await Promise.race([RawClient.open(port, name), sleep(CROWD_MS)]);
    if (!client) return false;
    const answers = await Promise.race([client.query('SELECT 1'), sleep(CROWD_MS)]);
    client.socket.destroy();
    return answers?.some((answer) => answer.startsWith('C')) ?? false;
  };

  const isServing = async (): Promise<boolean> => {
    const deadline = Date.now() + SERVED_WITHIN_MS;
    while (Date.now() < deadline && daemon.isRunning()) {
      if (await request()) return true;
      await sleep(RETRY_MS);
    }
    return false;
  };

  before(async () => {
    platform = new StandinPlatform();
    group = new StandinGroup(createGroupOptions(profile, name, 0));
    platformUrl = await platform.start();
    await group.start();
    platform.set(formatGroupKey(name), JSON.stringify(group.toGroupRecord()));
    platform.set(formatNoteKey(1), JSON.stringify(createFirstNote([group.toDatabaseGroup()])));
  });

  beforeEach(async function startDaemon() {
    this.timeout(TEST_TIMEOUT_MS);
    const [callerPort = 0, metricsPort = 0] = await findFreePorts(2);
    port = callerPort;
    sockets = [];
    daemon = new LimitedProcess(LIMITS, ['--conditions=development', '--import', 'tsx', DAEMON], {
      ...SETTINGS,
      SHALLOTPICK_VM: 'vm-1',
      SHALLOTPICK_ZONE: profile.zones[0] ?? '',
      SHALLOTPICK_PLATFORM_URL: platformUrl,
      SHALLOTPICK_CALLER_PORT: String(callerPort),
      SHALLOTPICK_METRICS_PORT: String(metricsPort),
      SHALLOTPICK_LOG_LEVEL: 'error',
    });
    if (!(await isServing())) throw new Error('the daemon does not start');
  });

  afterEach(async () => {
    sockets.forEach((socket) => socket.destroy());
    await daemon.stop();
  });

  after(async () => {
    await group.stop();
    await platform.stop();
  });

  Object.entries(CROWDS).forEach(([title, run]) => {
    // Guards against callers that end the daemon, fill its memory or keep others from it.
    it(`lives and serves beside a crowd ${title}`, async () => {
      await run({ openSockets, openSessions });
      await sleep(CROWD_MS);
      const isServed = await isServing();
      const { exit, peakMemoryMb, peakDescriptors } = await daemon.readUse();
      process.stdout.write(
        `      ${JSON.stringify({ exit, peakMemoryMb, peakDescriptors, isServed })}\n`,
      );
      expect({ exit, isServed }).toEqual({ exit: undefined, isServed: true });
      expect(peakMemoryMb).toBeLessThanOrEqual(MAX_MEMORY_MB);
      expect(peakDescriptors).toBeLessThanOrEqual(MAX_DESCRIPTORS);
    }).timeout(TEST_TIMEOUT_MS);
  });
});
