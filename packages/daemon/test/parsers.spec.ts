import { expect } from 'earl';
import fc from 'fast-check';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import {
  decodeExchange,
  decodePing,
  FrameReader,
  parseBind,
  parseColumnNames,
  parseErrorFields,
  parseStringPair,
  parseParse,
  parsePassword,
  parseQuery,
  parseReadyForQuery,
  parseDataRow,
  parseSaslInitialResponse,
  parseStartup,
  parseDescribeTarget,
  PEER_SERVICE,
} from '@shallotpick/wire';
import { InstanceConnection } from '../src/connection.js';
import { CallerHandshake, type HandshakeOptions } from '../src/handshake.js';

const SEED = 20_261_204;
const LIMIT = 1_000;

const bytes = fc.uint8Array({ maxLength: 64 }).map((array) => Buffer.from(array));

/** Messages with a correct or wrong length, and random bytes. */
const stream = fc
  .array(
    fc.oneof(
      bytes,
      fc
        .tuple(fc.constantFrom(...'RSKZETDCpQX12'), bytes, fc.integer({ min: -1, max: 5 }))
        .map(([type, body, error]) => {
          const header = Buffer.from([type.charCodeAt(0), 0, 0, 0, 0]);
          header.writeInt32BE(body.length + 4 + (error === 5 ? 1 : 0), 1);
          return Buffer.concat([header, body]);
        }),
      fc
        .tuple(fc.constantFrom(196_608, 80_877_103, 80_877_104, 80_877_102), bytes)
        .map(([code, body]) => {
          const header = Buffer.alloc(8);
          header.writeInt32BE(body.length + 8, 0);
          header.writeInt32BE(code, 4);
          return Buffer.concat([header, body]);
        }),
    ),
    { maxLength: 8 },
  )
  .map((parts) => Buffer.concat(parts));

const tryRun = (run: () => unknown): void => {
  try {
    run();
  } catch (error) {
    expect(error instanceof Error).toEqual(true);
  }
};

describe('parsers', () => {
  // Guards against input that makes a parser loop forever or throw something other than an error.
  it('terminate on any input', () => {
    const parsers = [
      parseBind,
      parseColumnNames,
      parseErrorFields,
      parseStringPair,
      parseParse,
      parsePassword,
      parseQuery,
      parseReadyForQuery,
      parseDataRow,
      parseSaslInitialResponse,
      parseStartup,
      parseDescribeTarget,
      (body: Buffer) => decodeExchange(PEER_SERVICE.exchange.requestDeserialize(body), 0),
      (body: Buffer) => decodePing(PEER_SERVICE.ping.requestDeserialize(body)),
      (body: Buffer) => PEER_SERVICE.borrow.requestDeserialize(body),
    ];
    fc.assert(
      fc.property(bytes, (body) => parsers.forEach((parse) => tryRun(() => parse(body)))),
      { seed: SEED, numRuns: 500 },
    );
  });

  // Guards against framing that depends on how the network splits the bytes, and an exceeded limit.
  it('read the same messages from any split into chunks, within the limit', () => {
    const read = (typed: boolean, chunks: readonly Buffer[]): readonly string[] => {
      const reader = new FrameReader(typed, LIMIT);
      const frames: string[] = [];
      tryRun(() =>
        chunks.forEach((chunk) => {
          reader.add(chunk);
          for (let frame = reader.read(); frame; frame = reader.read()) {
            frames.push(frame.raw.toString('hex'));
          }
        }),
      );
      return frames;
    };
    fc.assert(
      fc.property(fc.boolean(), stream, fc.integer({ min: 1, max: 7 }), (typed, whole, size) => {
        const count = Math.ceil(whole.length / size);
        const chunks = Array.from({ length: count }, (_, index) =>
          whole.subarray(index * size, (index + 1) * size),
        );
        expect(read(typed, chunks)).toEqual(read(typed, [whole]));
      }),
      { seed: SEED, numRuns: 2_000 },
    );
  });
});

describe('connections', () => {
  const servers: Server[] = [];

  afterEach(() => servers.splice(0).forEach((server) => server.close()));

  const listen = async (onSocket: (socket: Socket) => void): Promise<number> => {
    const server = createServer(onSocket);
    servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return (server.address() as AddressInfo).port;
  };

  const options: HandshakeOptions = {
    timeoutMs: 50,
    files: undefined,
    isTlsRequired: false,
    users: undefined,
    method: 'scram',
  };

  /** Sends bytes to a handshake, waits until the socket closes and returns the response. */
  const sendToHandshake = async (port: number, sent: Buffer): Promise<Buffer> =>
    new Promise((resolve) => {
      const received: Buffer[] = [];
      const socket = connect(port, '127.0.0.1', () => socket.write(sent));
      socket.on('data', (chunk) => received.push(chunk)).on('error', () => undefined);
      socket.on('close', () => resolve(Buffer.concat(received)));
    });

  // Guards against input of a caller that crashes the daemon or holds a socket forever.
  it('of callers terminate on any input before the startup', async () => {
    const port = await listen((socket) => {
      new CallerHandshake(socket, options)
        .run()
        .then((ready) => ready?.destroy())
        .catch(() => socket.destroy());
    });
    await fc.assert(
      fc.asyncProperty(stream, async (sent) => {
        await sendToHandshake(port, sent);
      }),
      { seed: SEED, numRuns: 100 },
    );
  });

  // Guards against buffering an oversized startup, or refusing a caller without a reason.
  it('of callers are refused with a reason', async () => {
    const port = await listen((socket) => {
      new CallerHandshake(socket, options).run().catch(() => socket.destroy());
    });
    const oversized = await sendToHandshake(
      port,
      Buffer.from([0x7f, 0xff, 0xff, 0xff, 0, 3, 0, 0]),
    );
    expect(oversized.toString()).toMatchRegex(/C08P01.*outside 4 to 10000 bytes/s);
    const silent = await sendToHandshake(port, Buffer.from([0]));
    expect(silent.toString()).toMatchRegex(/no complete startup in time/);
  });

  // Guards against a response of an instance that crashes the daemon or never ends the request.
  it('to instances terminate on any response', async () => {
    let response = Buffer.alloc(0);
    const port = await listen((socket) => {
      socket.on('error', () => undefined).resume();
      socket.end(response);
    });
    const slots = { slots: 1, connectionLimit: 1 };
    const instance = { id: 'i', zone: 'z', host: '127.0.0.1', port, ...slots };
    await fc.assert(
      fc.asyncProperty(stream, async (sent) => {
        response = Buffer.from(sent);
        const names = { database: 'd', user: 'u', applicationName: 'a' };
        await InstanceConnection.open({ instance, ...names, timeoutMs: 500 }).then(
          (connection) => connection.close(),
          (error: unknown) => expect(error instanceof Error).toEqual(true),
        );
      }),
      { seed: SEED, numRuns: 200 },
    );
  });
});
