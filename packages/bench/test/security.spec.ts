import { expect } from 'earl';
import { readFile, writeFile } from 'node:fs/promises';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { createSecureContext, TLSSocket } from 'node:tls';
import { formatNoteKey } from '@shallotpick/core';
import { createVerifier } from '@shallotpick/daemon';
import { type CertificateAuthority, createCertificateAuthority } from '@shallotpick/standin';
import pg from 'pg';
import { type Cluster, createCluster, PROFILES } from '../src/index.js';

const PASSWORD = 'correct horse';

/** Settings as environment variables. */
type Environment = Readonly<Record<string, string>>;

describe('security', () => {
  let authority: CertificateAuthority;
  let environment: Environment;
  let ca = '';
  let cluster: Cluster | undefined;

  before(async () => {
    authority = await createCertificateAuthority();
    const paths = await authority.issue('callers', 'proxy.example');
    ca = await readFile(paths.ca, 'utf8');
    const usersFile = `${paths.cert}.users`;
    await writeFile(usersFile, `guest:${await createVerifier(PASSWORD)}\n`);
    environment = {
      SHALLOTPICK_TLS_CALLER_KEY: paths.key,
      SHALLOTPICK_TLS_CALLER_CERT: paths.cert,
      SHALLOTPICK_USERS_FILE: usersFile,
    };
  });

  afterEach(() => cluster?.stop());

  after(() => authority.remove());

  const start = async (more: Environment): Promise<number> => {
    cluster = await createCluster({
      profile: PROFILES.walks,
      proxies: 1,
      statementCostMs: 0,
      environment: { ...environment, ...more },
    });
    return cluster.daemons[0]?.readCallerPort() ?? 0;
  };

  const runQuery = async (port: number, options: pg.ClientConfig): Promise<string> => {
    const client = new pg.Client({
      host: '127.0.0.1',
      port,
      user: 'guest',
      database: 'booking-1',
      password: PASSWORD,
      ...options,
    });
    client.on('error', () => undefined);
    try {
      await client.connect();
      const { rows } = await client.query("SELECT value FROM items WHERE key = 'none'");
      return `${rows.length} rows`;
    } catch (error) {
      return (error as { code?: string }).code ?? String(error);
    } finally {
      await client.end().catch(() => undefined);
    }
  };

  // Guards against callers that are accepted with a wrong password or an unknown user name.
  it('accepts callers with SCRAM, over TLS and in cleartext', async () => {
    const port = await start({});
    const ssl = { ca };
    expect(await runQuery(port, { ssl })).toEqual('0 rows');
    expect(await runQuery(port, {})).toEqual('0 rows');
    expect(await runQuery(port, { ssl, password: 'wrong' })).toEqual('28P01');
    expect(await runQuery(port, { ssl, user: 'stranger' })).toEqual('28P01');
  });

  // Guards against a password that is sent unencrypted.
  it('accepts a cleartext password over TLS only', async () => {
    const port = await start({ SHALLOTPICK_CALLER_AUTH: 'password' });
    const ssl = { ca };
    expect(await runQuery(port, { ssl })).toEqual('0 rows');
    expect(await runQuery(port, { ssl, password: 'wrong' })).toEqual('28P01');
    expect(await runQuery(port, {})).toEqual('28P01');
  });

  // Guards against callers without TLS although the operator requires it.
  it('refuses cleartext when TLS is required', async () => {
    const port = await start({ SHALLOTPICK_TLS_CALLER_REQUIRED: 'true' });
    expect(await runQuery(port, { ssl: { ca } })).toEqual('0 rows');
    expect(await runQuery(port, {})).toEqual('28P01');
  });

  describe('of instances', () => {
    const relays: Server[] = [];

    afterEach(() => relays.splice(0).forEach((relay) => relay.close()));

    /** Starts a relay that terminates TLS in front of a stand-in without TLS. */
    const startRelay = async (target: number, key: string, cert: string): Promise<number> => {
      const { connect } = await import('node:net');
      const secureContext = createSecureContext({ key, cert });
      const relay = createServer((socket: Socket) => {
        socket.once('data', () => {
          socket.write('S');
          const secure = new TLSSocket(socket, { isServer: true, secureContext });
          const plain = connect(target, '127.0.0.1');
          [secure, plain].forEach((one) => one.on('error', () => one.destroy()));
          secure.pipe(plain).pipe(secure);
          secure.on('close', () => plain.destroy());
          plain.on('close', () => secure.destroy());
        });
      });
      relays.push(relay);
      await new Promise<void>((resolve) => {
        relay.listen(0, '127.0.0.1', resolve);
      });
      return (relay.address() as AddressInfo).port;
    };

    const moveBehindRelays = async (issuer: CertificateAuthority): Promise<void> => {
      const { key, cert } = await issuer.issue('instance', 'instance.example');
      const [keyText, certText] = await Promise.all([
        readFile(key, 'utf8'),
        readFile(cert, 'utf8'),
      ]);
      const [group] = cluster?.groups ?? [];
      if (!group || !cluster) return;
      const { name, instances } = group.toDatabaseGroup();
      const moved = await Promise.all(
        instances.map(async (one) => ({
          ...one,
          port: await startRelay(one.port, keyText, certText),
        })),
      );
      const none = { groups: [], contracts: [] };
      const changed = { ...none, groups: [{ name, instances: moved }] };
      const note = { id: 'moved', base: 1, added: none, changed, withdrawn: none };
      cluster.platform.set(formatNoteKey(2), JSON.stringify(note));
      while (cluster.daemons[0]?.readConfiguration().number !== 2) {
        await new Promise((resolve) => {
          setTimeout(resolve, 5);
        });
      }
    };

    // Guards against instances that are trusted without a certificate of the configured CA.
    it('uses only instances with a certificate of the configured CA', async () => {
      const { ca: file } = await authority.issue('unused', 'unused');
      const settings = {
        SHALLOTPICK_TLS_INSTANCE_CA: file,
        SHALLOTPICK_QUEUE_DEADLINE_MS: '1500',
      };
      const port = await start(settings);
      await moveBehindRelays(authority);
      expect(await runQuery(port, {})).toEqual('0 rows');
      await cluster?.stop();
      const other = await createCertificateAuthority();
      const second = await start(settings);
      await moveBehindRelays(other);
      expect(await runQuery(second, {})).toEqual('SP001');
      await other.remove();
    });
  });
});
