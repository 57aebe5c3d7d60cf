import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import fc from 'fast-check';
import pg from 'pg';
import { type Cluster, createCluster, PROFILES } from '../src/index.js';

const REPLICA_CATCH_UP_MS = 150;
const SEED = 20_261_204;
const SESSIONS = 3;
const KEYS = ['a', 'b', 'c'];

/** One step of a generated program; `stale` reads under a contract with a maximum age. */
type Step =
  | { readonly kind: 'read'; readonly session: number; readonly key: string }
  | { readonly kind: 'stale'; readonly session: number; readonly key: string }
  | { readonly kind: 'write'; readonly session: number; readonly key: string; value: string }
  | { readonly kind: 'begin' | 'commit' | 'rollback' | 'move'; readonly session: number };

/** Reference model: the committed rows and an overlay per open transaction. */
class Model {
  private readonly rows = new Map<string, string>();

  private readonly overlays = new Map<number, Map<string, string>>();

  run(step: Step): string {
    const overlay = this.overlays.get(step.session);
    if (step.kind === 'move') {
      this.overlays.delete(step.session);
      return 'moved';
    }
    if (step.kind === 'read' || step.kind === 'stale') {
      return overlay?.get(step.key) ?? this.rows.get(step.key) ?? 'none';
    }
    if (step.kind === 'write') {
      (overlay ?? this.rows).set(step.key, step.value);
      return 'INSERT';
    }
    if (step.kind === 'begin') {
      if (!overlay) this.overlays.set(step.session, new Map());
      return 'BEGIN';
    }
    if (step.kind === 'commit') overlay?.forEach((value, key) => this.rows.set(key, value));
    this.overlays.delete(step.session);
    return step.kind.toUpperCase();
  }
}

/** The sessions of a program; each passes its token on when it moves to the other daemon. */
class Callers {
  private readonly clients: pg.Client[] = [];

  private readonly proxies: number[] = [];

  private readonly tokens: (string | undefined)[] = [];

  constructor(private readonly cluster: Cluster) {}

  async open(session: number, proxy: number): Promise<void> {
    const token = this.tokens[session];
    const client = new pg.Client({
      host: '127.0.0.1',
      port: this.cluster.daemons[proxy]?.readCallerPort(),
      user: 'guest',
      database: 'booking-1',
      ...(token ? { options: `shallotpick.token=${token}` } : {}),
    });
    client.on('error', () => undefined);
    const { connection } = client as unknown as { connection: NodeJS.EventEmitter };
    connection.on(
      'parameterStatus',
      (message: { parameterName: string; parameterValue: string }) => {
        if (message.parameterName !== 'shallotpick.token') return;
        this.tokens[session] = message.parameterValue;
      },
    );
    await client.connect();
    this.clients[session] = client;
    this.proxies[session] = proxy;
  }

  async run(step: Step): Promise<string> {
    const client = this.clients[step.session];
    if (!client) throw new Error('no session');
    if (step.kind === 'move') {
      await client.end();
      await this.open(step.session, 1 - (this.proxies[step.session] ?? 0));
      return 'moved';
    }
    if (step.kind === 'read' || step.kind === 'stale') {
      const hint = step.kind === 'stale' ? '/* shallotpick contract=availability */ ' : '';
      const text = `${hint}SELECT value FROM items WHERE key = $1`;
      const { rows } = await client.query({ name: step.kind, text, values: [step.key] });
      return (rows[0] as { value: string } | undefined)?.value ?? 'none';
    }
    if (step.kind === 'write') {
      const text = 'INSERT INTO items (key, value) VALUES ($1, $2)';
      return (await client.query(text, [step.key, step.value])).command;
    }
    return (await client.query(step.kind.toUpperCase())).command;
  }

  async close(): Promise<void> {
    await Promise.all(this.clients.map((client) => client.end()));
  }
}

const session = fc.nat({ max: SESSIONS - 1 });
const key = fc.constantFrom(...KEYS);
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('read' as const), session, key }) },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('write' as const),
      session,
      key,
      value: fc.string({ minLength: 1, maxLength: 4 }).map((text) => text.replaceAll('\0', '0')),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        'begin' as const,
        'commit' as const,
        'rollback' as const,
        'move' as const,
      ),
      session,
    }),
  },
);

describe('sessions that move between daemons', () => {
  let cluster: Cluster;

  beforeEach(async () => {
    // More slots than sessions, since each session may hold a transaction open.
    const profile = { ...PROFILES.walks, slots: 4 };
    cluster = await createCluster({ profile, proxies: 2, statementCostMs: 0 });
  });

  afterEach(() => cluster.stop());

  // Guards against answers that differ from the model, for any sequence of steps.
  it('give the same answers as the reference model', async function () {
    this.timeout(60_000);
    let program = 0;
    const property = fc.asyncProperty(
      fc.array(step, { minLength: 5, maxLength: 40 }),
      async (steps) => {
        program += 1;
        const model = new Model();
        const callers = new Callers(cluster);
        for (let index = 0; index < SESSIONS; index++) await callers.open(index, index % 2);
        for (const one of steps) {
          // Each program uses its own keys, since all programs share the cluster.
          const own = 'key' in one ? { ...one, key: `${program}-${one.key}` } : one;
          expect(await callers.run(own)).toEqual(model.run(own));
        }
        await callers.close();
      },
    );
    await fc.assert(property, { seed: SEED, numRuns: 25, endOnFailure: true });
  });

  // Guards against a read from a replica that has not applied the session's own write yet, on the
  // same daemon or after a move.
  it('read their own writes from replicas', async function () {
    this.timeout(60_000);
    let replicaReads = 0;
    cluster.groups[0]?.instances.forEach((instance, index) => {
      const lagging = instance;
      lagging.applyLagMs = 20 * index;
      lagging.hasFault = (_, stage) => {
        if (stage === 'after' && lagging.role === 'replica') replicaReads += 1;
        return false;
      };
    });
    const callers = new Callers(cluster);
    await callers.open(0, 0);
    const steps = fc
      .sample(step, { seed: SEED, numRuns: 120 })
      .filter(({ kind }) => kind === 'write' || kind === 'move' || kind === 'read');
    const model = new Model();
    for (const one of steps) {
      const own = { ...one, session: 0, kind: one.kind === 'read' ? 'stale' : one.kind } as Step;
      expect(await callers.run(own)).toEqual(model.run(own));
      // Lets the replicas catch up at times, so that some reads are routed to them.
      if (own.kind === 'move') await sleep(REPLICA_CATCH_UP_MS);
    }
    expect(replicaReads > 0).toEqual(true);
    await callers.close();
  });
});
