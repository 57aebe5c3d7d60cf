import pg from 'pg';
import type { Deployment } from './cluster.js';

/** SQLSTATE connection_does_not_exist. */
const NO_CONNECTION = '08003';

/** Outcome of a statement as its caller sees it. */
export type StatementOutcome =
  | { readonly kind: 'done'; readonly rows: readonly Readonly<Record<string, string>>[] }
  /** The database or the proxy answered with an error. */
  | { readonly kind: 'error'; readonly code: string }
  /** The connection ended before an answer came, so whether the statement ran is unknown. */
  | { readonly kind: 'lost' };

/** A caller with one session over the driver `pg`; the session can move between proxies. */
export class PgClient {
  private client: pg.Client | undefined;

  private proxy = -1;

  constructor(
    private readonly deployment: Deployment,
    readonly name: string,
    private readonly database: string,
  ) {}

  /** Index of the proxy that the session is connected to, or -1. */
  readProxyIndex(): number {
    return this.proxy;
  }

  /** Closes the current connection and opens the session on a proxy. */
  async connect(proxy: number): Promise<void> {
    await this.close();
    const client = new pg.Client({
      host: '127.0.0.1',
      port: this.deployment.daemons[proxy]?.readCallerPort(),
      user: this.name,
      database: this.database,
    });
    const clearClient = (): void => {
      if (this.client === client) this.client = undefined;
    };
    client.on('error', clearClient).on('end', clearClient);
    await client.connect();
    this.client = client;
    this.proxy = proxy;
  }

  async run(text: string, values: readonly string[] = []): Promise<StatementOutcome> {
    const { client } = this;
    // Nothing was sent, so the outcome is certain.
    if (!client) return { kind: 'error', code: NO_CONNECTION };
    try {
      const { rows } = await client.query(text, [...values]);
      return { kind: 'done', rows };
    } catch (error) {
      const { code } = error as { readonly code?: string };
      // A SQLSTATE has five characters; socket errors have longer codes such as ECONNRESET.
      return code !== undefined && /^[0-9A-Z]{5}$/.test(code)
        ? { kind: 'error', code }
        : { kind: 'lost' };
    }
  }

  /** Destroys the connection without a Terminate message, as a crashed caller does. */
  breakConnection(): void {
    const stream = (this.client as unknown as { connection?: { stream: { destroy(): void } } })
      ?.connection?.stream;
    stream?.destroy();
    this.client = undefined;
  }

  async close(): Promise<void> {
    const { client } = this;
    this.client = undefined;
    this.proxy = -1;
    await client?.end().catch(() => undefined);
  }
}
