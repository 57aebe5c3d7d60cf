import { once } from 'node:events';
import { connect, createServer, type Server, type Socket } from 'node:net';
import { computeClientLimits } from '@shallotpick/core';
import { ClientGuard, createEngineLog, Metrics, wait } from '@shallotpick/engine';
import { expect } from 'earl';
import { CallerConnection, type CallerHandler } from '../src/caller.js';

const HEAP_BYTES = 256 * 1024 * 1024;
const PAUSE_MS = 100;
/** A startup message without parameters: length, version 3.0, end. */
const STARTUP = Buffer.from([0, 0, 0, 9, 0, 3, 0, 0, 0]);
/** A query of two characters. */
const QUERY = Buffer.from([0x51, 0, 0, 0, 7, 0x3b, 0x3b, 0]);

/** A caller's connection to the daemon over loopback. */
class TestCaller {
  received = '';

  private server: Server | undefined;

  private socket: Socket | undefined;

  private accepted: CallerConnection | undefined;

  /** `handleRequest` takes the place of the session's. */
  constructor(private readonly handleRequest: () => Promise<void>) {}

  /** The daemon's side of the connection. */
  get connection(): CallerConnection {
    if (!this.accepted) throw new Error('the connection is not open');
    return this.accepted;
  }

  async open(): Promise<void> {
    const log = createEngineLog('error', 'test');
    const limits = computeClientLimits(undefined, HEAP_BYTES);
    const guard = new ClientGuard({ limits, log, registry: new Metrics().registry });
    const server = createServer((socket) => {
      this.accepted = new CallerConnection(socket, guard, () => undefined);
      this.accepted.handler = this.createHandler();
    });
    this.server = server;
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const address = server.address();
    const port = address && typeof address === 'object' ? address.port : 0;
    this.socket = connect({ host: '127.0.0.1', port });
    this.socket.on('data', (chunk) => {
      this.received += chunk.toString('latin1');
    });
    await once(server, 'connection');
  }

  /** Sends bytes and waits until what they cause has happened. */
  async send(bytes: Buffer): Promise<void> {
    this.socket?.write(bytes);
    await wait(PAUSE_MS);
  }

  close(): void {
    this.socket?.destroy();
    this.server?.close();
  }

  private createHandler(): CallerHandler {
    return {
      handleStart: async () => undefined,
      handleRequest: this.handleRequest,
      handleClose: () => undefined,
      handleStop: () => undefined,
      handleCancel: () => undefined,
      isInTransaction: () => false,
    };
  }
}

describe('a caller of the daemon', () => {
  let caller: TestCaller;

  afterEach(() => caller.close());

  // A draining daemon refused the caller in the middle of its request.
  it('is not idle while its message is still arriving', async () => {
    caller = new TestCaller(async () => undefined);
    await caller.open();
    const isIdleAfter = async (bytes: Buffer): Promise<boolean> => {
      await caller.send(bytes);
      return caller.connection.isIdle();
    };
    expect(await isIdleAfter(STARTUP)).toEqual(true);
    expect(await isIdleAfter(QUERY.subarray(0, 6))).toEqual(false);
    expect(await isIdleAfter(QUERY.subarray(6))).toEqual(true);
  });

  // Idle callers were looked for every 10 ms, so that one with shorter pauses held up the drain.
  it('is refused behind an answer when the daemon drains, however short its pauses are', async () => {
    let finish: () => void = () => undefined;
    caller = new TestCaller(
      async () =>
        new Promise<void>((resolve) => {
          finish = resolve;
        }),
    );
    await caller.open();
    await caller.send(Buffer.concat([STARTUP, QUERY]));
    caller.connection.drain();
    await wait(PAUSE_MS);
    expect(caller.received.includes('57P01')).toEqual(false);
    finish();
    await wait(PAUSE_MS);
    expect(caller.received).toInclude('57P01');
  });

  // A request behind one that had failed would have run after its caller was told that it had not.
  it('runs none of the requests behind one for which it is refused', async () => {
    let requests = 0;
    caller = new TestCaller(async () => {
      requests += 1;
      caller.connection.refuse({ code: 'SP001', message: 'not run' });
    });
    await caller.open();
    await caller.send(Buffer.concat([STARTUP, QUERY, QUERY]));
    expect(requests).toEqual(1);
  });
});
