import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { PlatformObject, ListedVm } from '@shallotpick/core';
import { UndoLog } from './undolog.js';

const WATCH_TIMEOUT_MS = 5_000;
const MAX_VALUE_BYTES = 1_048_576;
const KEPT_REVISIONS = 10_000;
const WRITES_PER_SECOND = 400;
const READS_PER_SECOND = 2_000;
const SECOND_MS = 1_000;

/** Faults and rate limits of the stand-in; tests may change them. */
export interface PlatformFaults {
  /** Responds 503 to everything. */
  isDown: boolean;
  /** Delay before each response. */
  delayMs: number;
  /** Number of next writes that take effect without a response. */
  unansweredWrites: number;
  /** Calls allowed per second; the rest get 429. A watch counts as one read. */
  writesPerSecond: number;
  readsPerSecond: number;
}

/** Limits calls per one-second window. */
class RateLimit {
  private startedAt = 0;

  private count = 0;

  isExceeded(perSecond: number): boolean {
    const now = Date.now();
    if (now - this.startedAt >= SECOND_MS) {
      this.startedAt = now;
      this.count = 0;
    }
    this.count += 1;
    return this.count > perSecond;
  }
}

/** The value and version of an object. */
interface StoredObject {
  readonly value: string;
  readonly version: number;
}

/** A change and what it replaced. */
interface Change {
  readonly key: string;
  /** The object before the change; undefined when it did not exist. */
  readonly before: StoredObject | undefined;
  readonly revisionBefore: number;
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/** Serves the platform's object API over HTTP from memory. */
export class StandinPlatform {
  readonly faults: PlatformFaults = {
    isDown: false,
    delayMs: 0,
    unansweredWrites: 0,
    writesPerSecond: WRITES_PER_SECOND,
    readsPerSecond: READS_PER_SECOND,
  };

  /** Calls by kind, and the bytes of request and response bodies. */
  readonly callCounts = { reads: 0, writes: 0, watches: 0, throttled: 0, bytes: 0 };

  vms: readonly ListedVm[] = [];

  private readonly objects = new Map<string, StoredObject>();

  private revision = 0;

  /** Rises with each restoration; sent with every response. */
  private era = 1;

  private readonly undoLog = new UndoLog<Change>();

  /** Revision up to which the change history has been compacted. */
  private compactedRevision = 0;

  private readonly writeRate = new RateLimit();

  private readonly readRate = new RateLimit();

  private readonly watchers = new Set<() => void>();

  private readonly server: Server = createServer((request, response) => {
    this.handle(request, response).catch(() => response.destroy());
  });

  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const address = this.server.address();
    const port = address && typeof address === 'object' ? address.port : 0;
    return `http://127.0.0.1:${port}`;
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  /** Writes an object unconditionally, as the platform's own processes do. */
  set(key: string, value: string): void {
    this.undoLog.add({ key, before: this.objects.get(key), revisionBefore: this.revision });
    this.revision += 1;
    this.objects.set(key, { value, version: this.revision });
    this.watchers.forEach((wake) => wake());
  }

  /** Comes back as it was `ageMs` ago: later changes are lost and versions are given out again. */
  restore(ageMs: number): void {
    this.undoLog.takeRecent(ageMs).forEach((change) => this.undo(change));
    this.compactedRevision = Math.min(this.compactedRevision, this.revision);
    this.era += 1;
    this.watchers.forEach((wake) => wake());
  }

  /** Drops the change history, so that a watch from an older revision gets 410. */
  compactHistory(): void {
    this.compactedRevision = this.revision;
    this.watchers.forEach((wake) => wake());
  }

  find(key: string): string | undefined {
    return this.objects.get(key)?.value;
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://platform');
    const body = request.method === 'PUT' ? await readBody(request) : '';
    if (this.faults.delayMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, this.faults.delayMs);
      });
    }
    response.setHeader('store-era', this.era);
    if (this.faults.isDown) {
      response.writeHead(503).end();
      return;
    }
    this.callCounts.bytes += Buffer.byteLength(body);
    if (this.isThrottled(request.method)) {
      this.callCounts.throttled += 1;
      response.writeHead(429, { 'retry-after': '1' }).end();
      return;
    }
    const key = decodeURIComponent(url.pathname.slice('/objects/'.length));
    if (url.pathname === '/vms') this.respond(response, 200, this.vms);
    else if (url.pathname === '/watch') await this.respondToWatch(url, request, response);
    else if (request.method === 'PUT') this.respondToWrite(key, body, request, response);
    else if (url.pathname === '/objects') this.respondToList(url, response);
    else this.respondToRead(key, response);
  }

  private isThrottled(method: string | undefined): boolean {
    const { writesPerSecond, readsPerSecond } = this.faults;
    return method === 'PUT'
      ? this.writeRate.isExceeded(writesPerSecond)
      : this.readRate.isExceeded(readsPerSecond);
  }

  private respond(response: ServerResponse, status: number, value: unknown): void {
    const text = JSON.stringify(value);
    this.callCounts.bytes += Buffer.byteLength(text);
    response.setHeader('store-era', this.era);
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(text);
  }

  private respondToRead(key: string, response: ServerResponse): void {
    this.callCounts.reads += 1;
    const object = this.objects.get(key);
    this.respond(response, object ? 200 : 404, { key, ...object });
  }

  private respondToList(url: URL, response: ServerResponse): void {
    this.callCounts.reads += 1;
    const prefix = url.searchParams.get('prefix') ?? '';
    this.respond(response, 200, {
      revision: this.revision,
      objects: this.listObjectsAfter(prefix, 0),
    });
  }

  private respondToWrite(
    key: string,
    value: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    this.callCounts.writes += 1;
    if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
      this.respond(response, 413, {});
      return;
    }
    const expected = request.headers['if-none-match'] === '*' ? 0 : request.headers['if-match'];
    const version = this.objects.get(key)?.version ?? 0;
    if (!this.isOfEra(request) || (expected !== undefined && Number(expected) !== version)) {
      this.respond(response, 412, { version });
      return;
    }
    this.set(key, value);
    if (this.faults.unansweredWrites > 0) {
      this.faults.unansweredWrites -= 1;
      response.destroy();
      return;
    }
    this.respond(response, 200, { version: this.revision });
  }

  /** A request that names another era than the present one rests on a state that is gone. */
  private isOfEra({ headers }: IncomingMessage): boolean {
    const era = headers['store-era'];
    return era === undefined || Number(era) === this.era;
  }

  private async respondToWatch(
    url: URL,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.callCounts.watches += 1;
    const prefix = url.searchParams.get('prefix') ?? '';
    const from = Number(url.searchParams.get('from') ?? 0);
    const oldest = Math.max(this.compactedRevision, this.revision - KEPT_REVISIONS);
    if (!this.isOfEra(request) || from > this.revision || from < oldest) {
      this.respond(response, 410, { revision: this.revision });
      return;
    }
    const deadline = Date.now() + WATCH_TIMEOUT_MS;
    let objects = this.listObjectsAfter(prefix, from);
    const { era } = this;
    const isWaiting = (): boolean => this.era === era && Date.now() < deadline;
    while (objects.length === 0 && isWaiting() && !response.destroyed) {
      await this.waitForChange(deadline - Date.now(), response);
      objects = this.listObjectsAfter(prefix, from);
    }
    if (this.faults.isDown) response.destroy();
    else this.respond(response, 200, { revision: this.revision, objects });
  }

  private undo({ key, before, revisionBefore }: Change): void {
    if (before) this.objects.set(key, before);
    else this.objects.delete(key);
    this.revision = revisionBefore;
  }

  private async waitForChange(timeoutMs: number, response: ServerResponse): Promise<void> {
    await new Promise<void>((resolve) => {
      const wake = (): void => {
        this.watchers.delete(wake);
        response.off('close', wake);
        resolve();
      };
      this.watchers.add(wake);
      response.once('close', wake);
      setTimeout(wake, timeoutMs).unref();
    });
  }

  private listObjectsAfter(prefix: string, revision: number): readonly PlatformObject[] {
    return [...this.objects]
      .filter(([key, { version }]) => key.startsWith(prefix) && version > revision)
      .map(([key, stored]) => ({ key, ...stored }))
      .sort((a, b) => a.version - b.version);
  }
}
