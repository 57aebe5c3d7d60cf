import { connect, createServer, type Server, type Socket } from 'node:net';
import { computeClientLimits } from '@shallotpick/core';
import { ClientGuard, createEngineLog, Metrics, wait } from '@shallotpick/engine';
import { expect } from 'earl';
import { CallerConnection } from '../src/caller.js';

const HEAP_BYTES = 256 * 1024 * 1024;
const PAUSE_MS = 100;
/** A startup message without parameters: length, version 3.0, end. */
const STARTUP = Buffer.from([0, 0, 0, 9, 0, 3, 0, 0, 0]);
/** A query of two characters. */
const QUERY = Buffer.from([0x51, 0, 0, 0, 7, 0x3b, 0x3b, 0]);

describe('a caller of the daemon whose message is still arriving', () => {
  let server: Server;
  let socket: Socket;

  afterEach(() => {
    socket.destroy();
    server.close();
  });

  // A draining daemon refused the caller in the middle of its request.
  it('is not idle', async () => {
    const log = createEngineLog('error', 'test');
    const limits = computeClientLimits(undefined, HEAP_BYTES);
    const guard = new ClientGuard({ limits, log, registry: new Metrics().registry });
    const callers: CallerConnection[] = [];
    server = createServer((accepted) => {
      const caller = new CallerConnection(accepted, guard, () => undefined);
      caller.handler = {
        handleStart: async () => undefined,
        handleRequest: async () => undefined,
        handleClose: () => undefined,
        handleStop: () => undefined,
        handleCancel: () => undefined,
        isInTransaction: () => false,
      };
      callers.push(caller);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const address = server.address();
    socket = connect({
      ...{ host: '127.0.0.1', port: address && typeof address === 'object' ? address.port : 0 },
    });
    const isIdleAfter = async (bytes: Buffer): Promise<boolean | undefined> => {
      socket.write(bytes);
      await wait(PAUSE_MS);
      return callers[0]?.isIdle();
    };
    expect(await isIdleAfter(STARTUP)).toEqual(true);
    expect(await isIdleAfter(QUERY.subarray(0, 6))).toEqual(false);
    expect(await isIdleAfter(QUERY.subarray(6))).toEqual(true);
  });
});

describe('a caller of the daemon that is refused for a request', () => {
  // A request behind one that had failed would have run after its caller was told that it had not.
  it('runs none of the requests behind it', async () => {
    const log = createEngineLog('error', 'test');
    const limits = computeClientLimits(undefined, HEAP_BYTES);
    const guard = new ClientGuard({ limits, log, registry: new Metrics().registry });
    let requests = 0;
    const server = createServer((accepted) => {
      const caller = new CallerConnection(accepted, guard, () => undefined);
      caller.handler = {
        handleStart: async () => undefined,
        handleRequest: async () => {
          requests += 1;
          caller.refuse({ code: 'SP001', message: 'not run' });
        },
        handleClose: () => undefined,
        handleStop: () => undefined,
        handleCancel: () => undefined,
        isInTransaction: () => false,
      };
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const address = server.address();
    const port = address && typeof address === 'object' ? address.port : 0;
    const socket = connect({ host: '127.0.0.1', port });
    socket.write(Buffer.concat([STARTUP, QUERY, QUERY]));
    await wait(PAUSE_MS);
    expect(requests).toEqual(1);
    socket.destroy();
    server.close();
  });
});
