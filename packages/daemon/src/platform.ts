import {
  CompactedError,
  decodeStoreVersion,
  encodeStoreVersion,
  MAX_ERA,
  MAX_REVISION,
  type Millis,
  Platform,
  type PlatformListing,
  type PlatformObject,
  type PlatformWriteOutcome,
  type ListedVm,
} from '@shallotpick/core';
import {
  circuitBreaker,
  ConsecutiveBreaker,
  ExponentialBackoff,
  handleAll,
  handleWhen,
  type IPolicy,
  retry,
  wrap,
} from 'cockatiel';
import { z } from 'zod';
import { PlatformError } from './errors.js';
import type { SkipListener } from './skippedentries.js';

const CALL_TIMEOUT_MS: Millis = 1_000;
/** Exceeds the time for which the platform holds a watch without a change. */
const WATCH_TIMEOUT_MS: Millis = 10_000;
const MAX_RETRIES = 3;
const RETRY_DELAY_MS: Millis = 50;
const MAX_RETRY_DELAY_MS: Millis = 1_000;
/** Consecutive failures that open the circuit breaker. */
const BREAK_AFTER_FAILURES = 5;
const BREAK_MS: Millis = 200;
const MAX_BREAK_MS: Millis = 2_000;
const STATUS_TOO_MANY = 429;
const STATUS_GONE = 410;
/** Rises by one each time the store comes back from an older copy. */
const ERA_HEADER = 'store-era';

const revisionSchema = z.int().nonnegative().max(MAX_REVISION);
const objectSchema = z.object({ key: z.string(), value: z.string(), version: revisionSchema });
/** Items are parsed one by one, so that an invalid one does not hide the others. */
const listingSchema = z.object({ revision: revisionSchema, objects: z.array(z.unknown()) });
const versionSchema = z.object({ version: revisionSchema });
const vmSchema = z.object({
  id: z.string().min(1),
  zone: z.string(),
  state: z.enum(['live', 'leaving']),
});
/** What is read of an invalid entry: a VM that is listed in any way is not absent. */
const listedVmSchema = z.object({
  id: z.string().min(1),
  zone: z.string().catch(''),
  state: z.enum(['live', 'leaving']).catch('live'),
});
/** What is read of an invalid object, for the report. */
const keySchema = z.object({
  key: z.string().catch('unknown'),
  version: z.number().catch(0),
});

/** A kind of platform call, as labelled in the metrics. */
export type PlatformCall = 'read' | 'write' | 'list' | 'watch' | 'vms';

/** The platform rejected the call because of its rate; it had no effect. */
const ThrottledError = PlatformError.subclass('ThrottledError');

/** Options of {@link HttpPlatform}. */
export interface HttpPlatformOptions {
  readonly url: string;
  /** Called for each request sent, with the HTTP status or `failed`. */
  readonly onCall?: (call: PlatformCall, outcome: string) => void;
  readonly timeoutMs?: Millis;
  /** Called for each invalid item of a list each time it is read. */
  readonly onSkipped?: SkipListener;
}

/** Reads the era of a response; a store that is never restored from a copy names none. */
function readEra({ headers }: Response): number {
  const era = Number(headers.get(ERA_HEADER) ?? 0);
  if (!Number.isSafeInteger(era) || era < 0 || era > MAX_ERA) {
    throw new PlatformError('invalid store era');
  }
  return era;
}

/** Formats the header that lets a request fail in another era; none for a store without eras. */
function formatEra(era: number): Record<string, string> {
  return era === 0 ? {} : { [ERA_HEADER]: String(era) };
}

/** Creates a circuit breaker that opens after consecutive failures, for longer each time. */
function createBreaker(): IPolicy {
  const halfOpenAfter = new ExponentialBackoff({ initialDelay: BREAK_MS, maxDelay: MAX_BREAK_MS });
  return circuitBreaker(
    handleWhen((error) => !(error instanceof ThrottledError)),
    { halfOpenAfter, breaker: new ConsecutiveBreaker(BREAK_AFTER_FAILURES) },
  );
}

const createBackoff = (): ExponentialBackoff<unknown> =>
  new ExponentialBackoff({ initialDelay: RETRY_DELAY_MS, maxDelay: MAX_RETRY_DELAY_MS });

/**
 * Client of the platform's object API over HTTP. Each call has a timeout and is counted. Reads
 * are retried with jittered backoff; a write is retried only when it was throttled, because after
 * any other failure it may have taken effect. Watches have their own circuit breaker, so that a
 * long-running watch does not occupy the call that probes whether the platform is back.
 *
 * Versions and revisions include the era of the store, so that they rise also when the store comes
 * back from an older copy and gives its revisions out again.
 */
export class HttpPlatform extends Platform {
  private readonly breaker = createBreaker();

  private readonly readPolicy = wrap(
    retry(handleAll, { maxAttempts: MAX_RETRIES, backoff: createBackoff() }),
    this.breaker,
  );

  private readonly writePolicy = wrap(
    retry(
      handleWhen((error) => error instanceof ThrottledError),
      { maxAttempts: MAX_RETRIES, backoff: createBackoff() },
    ),
    this.breaker,
  );

  private readonly watchPolicy = createBreaker();

  private readonly closing = new AbortController();

  /** Newest era of the store seen in any response. */
  private era = 0;

  constructor(private readonly options: HttpPlatformOptions) {
    super();
  }

  /** Aborts calls in progress; a pending watch would keep the process alive. */
  close(): void {
    this.closing.abort();
  }

  override async read(key: string): Promise<PlatformObject | undefined> {
    const response = await this.request('read', `/objects/${encodeURIComponent(key)}`);
    if (response.status === 404) return undefined;
    const object = objectSchema.parse(await this.readJson(response));
    return { ...object, version: this.encodeVersion(object.version, response) };
  }

  override async write(
    key: string,
    value: string,
    expectedVersion: number,
  ): Promise<PlatformWriteOutcome> {
    const { era, revision } = decodeStoreVersion(expectedVersion);
    const condition: Record<string, string> =
      revision === 0 ? { 'if-none-match': '*' } : { 'if-match': String(revision) };
    const headers = { ...condition, ...formatEra(era) };
    try {
      const path = `/objects/${encodeURIComponent(key)}`;
      const response = await this.request('write', path, { method: 'PUT', body: value, headers });
      if (response.status === 412) return { kind: 'conflict' };
      const { version } = versionSchema.parse(await this.readJson(response));
      return { kind: 'written', version: this.encodeVersion(version, response) };
    } catch {
      return { kind: 'lost' };
    }
  }

  override async list(prefix: string): Promise<PlatformListing> {
    const response = await this.request('list', `/objects?prefix=${encodeURIComponent(prefix)}`);
    return this.readListing(response);
  }

  override async watch(prefix: string, from: number): Promise<PlatformListing> {
    const { era, revision } = decodeStoreVersion(from);
    const path = `/watch?prefix=${encodeURIComponent(prefix)}&from=${revision}`;
    const response = await this.request('watch', path, { headers: formatEra(era) });
    // In a later era the revision has been given out again, so changes before it are missing.
    if (response.status === STATUS_GONE || readEra(response) !== era) {
      throw new CompactedError(`the changes after revision ${revision} are gone`);
    }
    return this.readListing(response);
  }

  override async listVms(): Promise<readonly ListedVm[]> {
    const items = z
      .array(z.unknown())
      .parse(await this.readJson(await this.request('vms', '/vms')));
    return items.flatMap((item) => this.readVm(item));
  }

  private async request(call: PlatformCall, path: string, init?: RequestInit): Promise<Response> {
    const policies = { write: this.writePolicy, watch: this.watchPolicy } as const;
    const policy = call === 'write' || call === 'watch' ? policies[call] : this.readPolicy;
    try {
      return await policy.execute(() => this.send(call, path, init));
    } catch (cause) {
      throw new PlatformError(`platform call "${call}" failed`, { cause });
    }
  }

  private async send(call: PlatformCall, path: string, init?: RequestInit): Promise<Response> {
    const { url, timeoutMs = CALL_TIMEOUT_MS, onCall } = this.options;
    const signal = AbortSignal.any([
      AbortSignal.timeout(call === 'watch' ? WATCH_TIMEOUT_MS : timeoutMs),
      this.closing.signal,
    ]);
    const response = await fetch(`${url}${path}`, { ...init, signal }).catch((cause: unknown) => {
      onCall?.(call, 'failed');
      throw new PlatformError('no response', { cause });
    });
    onCall?.(call, String(response.status));
    if (response.status === STATUS_TOO_MANY) throw new ThrottledError('too many calls');
    if (response.status >= 500) throw new PlatformError(`status ${response.status}`);
    this.checkEra(response);
    return response;
  }

  /** @throws PlatformError when the response is of an earlier era than the newest seen. */
  private checkEra(response: Response): void {
    const era = readEra(response);
    if (era < this.era) throw new PlatformError('late response of an earlier era');
    this.era = era;
  }

  private encodeVersion(revision: number, response: Response): number {
    return encodeStoreVersion({ era: readEra(response), revision });
  }

  private async readListing(response: Response): Promise<PlatformListing> {
    const { revision, objects } = listingSchema.parse(await this.readJson(response));
    return {
      revision: this.encodeVersion(revision, response),
      objects: objects.flatMap((item) => this.readObject(item, response)),
    };
  }

  private readObject(item: unknown, response: Response): readonly PlatformObject[] {
    const { success, data } = objectSchema.safeParse(item);
    if (success) return [{ ...data, version: this.encodeVersion(data.version, response) }];
    const { key = 'unknown', version = 0 } = keySchema.safeParse(item).data ?? {};
    this.options.onSkipped?.('object', key, version);
    return [];
  }

  private readVm(item: unknown): readonly ListedVm[] {
    const { success, data } = vmSchema.safeParse(item);
    if (success) return [data];
    const listed = listedVmSchema.safeParse(item).data;
    this.options.onSkipped?.('vm', listed?.id ?? 'unknown', 0);
    return listed ? [listed] : [];
  }

  private async readJson(response: Response): Promise<unknown> {
    if (!response.ok) throw new PlatformError(`status ${response.status}`);
    return response.json();
  }
}
