import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { connect, createServer, type AddressInfo, type Server } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import type { MemberUpdate, PeerExchange } from '@shallotpick/core';
import {
  CertificateFiles,
  createLog,
  createGrpcCredentials,
  GrpcPeerLink,
  Metrics,
  PeerServer,
  SystemClock,
} from '@shallotpick/daemon';
import { generate } from 'selfsigned';

const PEER_NAME = 'shallotpick-peer';
const WARM_UP_CALLS = 20;
const DIGEST = 0xabcdef01;
const CALLS = 200;
/** Pause between calls, so that no two share a TLS record or a packet. */
const GAP_MS = 5;

/** Bytes and chunks of a TCP stream in both directions. */
interface TrafficCounter {
  bytes: number;
  chunks: number;
}

/** Starts a TCP relay to the port that counts the traffic. */
async function createRelay(port: number, counter: TrafficCounter): Promise<Server> {
  const relay = createServer((socket) => {
    const target = connect(port, '127.0.0.1');
    const count = (chunk: Buffer): void => {
      Object.assign(counter, { bytes: counter.bytes + chunk.length, chunks: counter.chunks + 1 });
    };
    [socket, target].forEach((one) => one.setNoDelay(true).on('data', count));
    [socket, target].forEach((one) => one.on('error', () => one.destroy()));
    socket.pipe(target).pipe(socket);
  });
  await new Promise<void>((resolve) => {
    relay.listen(0, '127.0.0.1', resolve);
  });
  return relay;
}

async function createCertificateFiles(directory: string): Promise<CertificateFiles> {
  const attributes = [{ name: 'commonName', value: PEER_NAME }];
  const { cert, private: key } = await generate(attributes, {
    keyType: 'ec',
    algorithm: 'sha256',
    extensions: [{ name: 'subjectAltName', altNames: [{ type: 2, value: PEER_NAME }] }],
  });
  const paths = { key: join(directory, 'key.pem'), cert: join(directory, 'cert.pem') };
  await Promise.all([writeFile(paths.key, key), writeFile(paths.cert, cert)]);
  return new CertificateFiles({ ...paths, ca: paths.cert }, createLog('error', 'bench'));
}

const EMPTY_EXCHANGE: PeerExchange = {
  from: 'vm-0001',
  noteNumber: 40_000,
  members: [],
  observations: [],
  records: [],
  notes: [],
};

const createMember = (index: number): MemberUpdate => ({
  vm: { id: `vm-${1_000 + index}`, zone: 'region-1-b', host: '10.20.30.40', peerPort: 7_432 },
  incarnation: 1_796_000_000_000 + index,
  state: 'suspect',
});

async function measure(
  name: string,
  counter: TrafficCounter,
  call: (index: number) => Promise<unknown>,
): Promise<void> {
  for (let index = 0; index < WARM_UP_CALLS; index++) await call(index);
  await sleep(100);
  const before = { ...counter };
  for (let index = 0; index < CALLS; index++) {
    await call(index);
    await sleep(GAP_MS);
  }
  const bytes = (counter.bytes - before.bytes) / CALLS;
  const chunks = (counter.chunks - before.chunks) / CALLS;
  process.stdout.write(`${name}: ${bytes.toFixed(0)} bytes, ${chunks.toFixed(1)} chunks a call\n`);
}

/** Prints the traffic per call between daemons over mutual TLS. */
async function run(): Promise<void> {
  const directory = await mkdtemp(join(tmpdir(), 'shallotpick-peercost-'));
  const files = await createCertificateFiles(directory);
  const { server: credentials, channel } = createGrpcCredentials(files);
  const [clock, log, metrics] = [new SystemClock(), createLog('error', 'bench'), new Metrics()];
  const members = [createMember(1)];
  const server = new PeerServer({
    self: 'vm-0002',
    clock,
    log,
    credentials,
    peerName: PEER_NAME,
    handler: {
      handlePing: (_from, sent) => sent,
      handleExchange: (message) => message,
      handleBorrow: () => Promise.reject(new Error('not measured')),
    },
  });
  const counter: TrafficCounter = { bytes: 0, chunks: 0 };
  const relay = await createRelay(await server.start('127.0.0.1', 0), counter);
  const { port } = relay.address() as AddressInfo;
  const vm = { id: 'vm-0002', zone: 'z', host: '127.0.0.1', peerPort: port };
  const options = { self: 'vm-0001', vm, clock, metrics, credentials: channel };
  const link = new GrpcPeerLink({ ...options, peerName: PEER_NAME });
  await link.ping({ members: [], digest: DIGEST });
  process.stdout.write(`first call with handshake: ${counter.bytes} bytes\n`);
  await measure('ping', counter, () => link.ping({ members: [], digest: DIGEST }));
  await measure('ping with 1 member each way', counter, () =>
    link.ping({ members, digest: DIGEST }),
  );
  await measure('exchange', counter, () => link.exchange(EMPTY_EXCHANGE));
  link.close();
  server.stop();
  relay.close();
  files.stop();
  await rm(directory, { recursive: true });
}

run().catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
  process.exitCode = 1;
});
