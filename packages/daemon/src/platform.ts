import {
  CompactedError,
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

const objectSchema = z.object({ key: z.string(), value: z.string(), version: z.number() });
const listingSchema = z.object({ revision: z.number(), objects: z.array(objectSchema) });
const versionSchema = z.object({ version: z.number() });
const vmsSchema = z.array(
  z.object({ id: z.string(), zone: z.string(), state: z.enum(['live', 'leaving']) }),
);

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
    return objectSchema.parse(await this.readJson(response));
  }

  override async write(
    key: string,
    value: string,
    expectedVersion: number,
  ): Promise<PlatformWriteOutcome> {
    const condition: Record<string, string> =
      expectedVersion === 0 ? { 'if-none-match': '*' } : { 'if-match': String(expectedVersion) };
    try {
      const path = `/objects/${encodeURIComponent(key)}`;
      const init = { method: 'PUT', body: value, headers: condition };
      const response = await this.request('write', path, init);
      if (response.status === 412) return { kind: 'conflict' };
      const { version } = versionSchema.parse(await this.readJson(response));
      return { kind: 'written', version };
    } catch {
      return { kind: 'lost' };
    }
  }

  override async list(prefix: string): Promise<PlatformListing> {
    const response = await this.request('list', `/objects?prefix=${encodeURIComponent(prefix)}`);
    return listingSchema.parse(await this.readJson(response));
  }

  override async watch(prefix: string, revision: number): Promise<PlatformListing> {
    const path = `/watch?prefix=${encodeURIComponent(prefix)}&from=${revision}`;
    const response = await this.request('watch', path);
    if (response.status === STATUS_GONE) {
      throw new CompactedError(`the changes after revision ${revision} were compacted`);
    }
    return listingSchema.parse(await this.readJson(response));
  }

  override async listVms(): Promise<readonly ListedVm[]> {
    return vmsSchema.parse(await this.readJson(await this.request('vms', '/vms')));
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
    return response;
  }

  private async readJson(response: Response): Promise<unknown> {
    if (!response.ok) throw new PlatformError(`status ${response.status}`);
    return response.json();
  }
}
