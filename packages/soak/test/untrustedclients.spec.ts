import type { Socket } from 'node:net';
import type { EmulatedPlatform } from '@shallotpick/emulator';
import { wait } from '@shallotpick/engine';
import { expect } from 'earl';
import { buildProgram } from './buildprogram.js';
import { LimitedVm, startPlatform, VM_LIMITS } from './limitedvm.js';

const MIB = 1_024 * 1_024;
const LINE_END = '\r\n';
const TEST_TIMEOUT_MS = 90_000;
/** Time that a crowd gets to send; afterwards it stays connected. */
const CROWD_MS = 5_000;
/** Time in which the ordinary caller, which tries again, must be answered once. */
const SERVED_WITHIN_MS = 30_000;
/** The VM must keep descriptors free for instances, store, links and readiness. */
const MAX_DESCRIPTORS = VM_LIMITS.descriptors - 50;

/** A message of the largest legal size, without its end. */
const LARGE_WRITE = `QUERY 1 WRITE large ${'x'.repeat(MIB - 100)}`;
const LARGE_ANSWER_BYTES = 256 * 1_024;

/** Sends `text` in pieces, one a turn of the event loop. */
async function sendInPieces(socket: Socket, text: string, size: number): Promise<void> {
  for (let start = 0; start < text.length && socket.writable; start += size) {
    socket.write(text.slice(start, start + size));
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

/** Reads a little, and again after a pause. */
function readSlowly(socket: Socket): void {
  socket.on('data', () => {
    socket.pause();
    setTimeout(() => socket.resume(), 500);
  });
}

/** What the crowds do; none of their connections is closed by the crowd. */
const CROWDS: Readonly<Record<string, (vm: LimitedVm) => Promise<unknown>>> = {
  'that sends messages of the largest size at once': async (vm) => {
    const crowd = await vm.openSessions(60);
    crowd.forEach((socket) => socket.write(`${LARGE_WRITE}${LINE_END}`.repeat(4)));
  },
  'that sends messages of the largest size in small pieces': async (vm) => {
    const crowd = await vm.openSessions(20);
    const text = `${LARGE_WRITE}${LINE_END}`;
    await Promise.race([
      Promise.all(crowd.map((socket) => sendInPieces(socket, text, 200))),
      wait(CROWD_MS),
    ]);
  },
  'that sends messages far over the limit': async (vm) => {
    const crowd = await vm.openSessions(30);
    crowd.forEach((socket) => socket.write(`QUERY 1 WRITE large ${'x'.repeat(16 * MIB)}`));
  },
  'that sends requests ahead and reads no answer': async (vm) => {
    const crowd = await vm.openSessions(30);
    crowd.forEach((socket) => {
      socket.pause();
      socket.write(`QUERY 1 READ stored${LINE_END}`.repeat(60));
    });
  },
  'that stops in the middle of a message': async (vm) => {
    const crowd = await vm.openSessions(140);
    crowd.forEach((socket) => socket.write(LARGE_WRITE.slice(0, -100_000)));
  },
  'that sends a message byte by byte': async (vm) => {
    const crowd = await vm.openSessions(140);
    const text = `${LARGE_WRITE}${LINE_END}`;
    await Promise.race([
      Promise.all(crowd.map((socket) => sendInPieces(socket, text, 1))),
      wait(CROWD_MS),
    ]);
  },
  'that reads answers slowly': async (vm) => {
    const crowd = await vm.openSessions(60);
    crowd.forEach((socket) => {
      readSlowly(socket);
      socket.write(`QUERY 1 READ stored${LINE_END}`.repeat(30));
    });
  },
  'that opens more connections than there are descriptors': async (vm) => {
    await vm.openCrowd(450);
  },
  'that keeps connections open after they were refused': async (vm) => {
    for (let count = 0; count < 3; count++) {
      const crowd = await vm.openCrowd(150);
      crowd.forEach((socket) => socket.write(`NONSENSE${LINE_END}`));
      await wait(CROWD_MS / 10);
    }
  },
  'that closes its side and keeps the other open': async (vm) => {
    for (let count = 0; count < 3; count++) {
      const crowd = await vm.openSessions(150);
      crowd.forEach((socket) => socket.end(`QUERY 1 READ stored${LINE_END}`));
      await wait(CROWD_MS / 10);
    }
  },
  'that sets values of the largest size': async (vm) => {
    const crowd = await vm.openSessions(40);
    const value = 'x'.repeat(MIB - 100);
    for (let count = 0; count < 5; count++) {
      crowd.forEach((socket) => socket.write(`QUERY 1 SET name${count} ${value}${LINE_END}`));
      await wait(CROWD_MS / 10);
    }
  },
  'that prepares many long statements': async (vm) => {
    const filler = 'x'.repeat(MIB / 2);
    const runOne = async (session: number): Promise<void> => {
      for (let count = 0; count < 80; count++) {
        const shape = `${session}-${count}-${filler}`;
        await vm.runSession([`PREPARE s READ ${shape}`, 'EXECUTE s stored', 'DEALLOC s']);
      }
    };
    await Promise.all([1, 2, 3, 4].map(runOne));
  },
  'that leaves transactions open': async (vm) => {
    const crowd = await vm.openSessions(100);
    crowd.forEach((socket) =>
      socket.write(`QUERY 1 BEGIN${LINE_END}QUERY 2 WRITE large x${LINE_END}`),
    );
  },
  'that sends unfinished messages to the port of the links': async (vm) => {
    const crowd = await vm.openCrowd(30, 'links');
    const length = Buffer.alloc(4);
    length.writeUInt32BE(8 * MIB);
    crowd.forEach((socket) => socket.write(Buffer.concat([length, Buffer.alloc(7 * MIB, 'x')])));
  },
};

describe('a VM with little memory', () => {
  let platform: EmulatedPlatform;
  let program: string;
  let vm: LimitedVm;

  before(async function startServices() {
    this.timeout(TEST_TIMEOUT_MS);
    program = await buildProgram();
    platform = await startPlatform();
  });

  beforeEach(async function startVm() {
    this.timeout(TEST_TIMEOUT_MS);
    vm = new LimitedVm(program, platform);
    await vm.start();
    const stored = `WRITE stored ${'y'.repeat(LARGE_ANSWER_BYTES)}`;
    while (!(await vm.request(stored))) await wait(CROWD_MS / 10);
  });

  afterEach(async () => {
    await vm.stop();
  });

  after(async () => {
    await platform.stop();
  });

  Object.entries(CROWDS).forEach(([name, run]) => {
    // Guards against clients that end the process, fill its memory or keep others from it.
    it(`lives and serves beside a crowd ${name}`, async () => {
      await run(vm);
      await wait(CROWD_MS);
      const isServed = await vm.isServing(SERVED_WITHIN_MS);
      const isReady = await vm.isReady();
      const { exit, peakMemoryMb = 0, peakDescriptors = 0 } = (await vm.readUse()) ?? {};
      process.stdout.write(
        `      ${JSON.stringify({ exit, peakMemoryMb, peakDescriptors, isServed, isReady })}\n`,
      );
      expect({ exit, isServed, isReady }).toEqual({
        exit: undefined,
        isServed: true,
        isReady: true,
      });
      expect(peakMemoryMb).toBeLessThanOrEqual(VM_LIMITS.memoryMb);
      expect(peakDescriptors).toBeLessThanOrEqual(MAX_DESCRIPTORS);
    }).timeout(TEST_TIMEOUT_MS);
  });
});
