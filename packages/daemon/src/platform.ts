import {
  Platform,
  type PlatformListing,
  type PlatformObject,
  type PlatformWrite,
  type VmListing,
} from '@shallotpick/core';
import { z } from 'zod';
import { PlatformError } from './errors.js';
import type { Metrics } from './metrics.js';

const CALL_TIMEOUT_MS = 1_000;
const WATCH_TIMEOUT_MS = 10_000;

const objectSchema = z.object({ key: z.string(), value: z.string(), version: z.number() });
const listingSchema = z.object({ revision: z.number(), objects: z.array(objectSchema) });
const versionSchema = z.object({ version: z.number() });
const vmsSchema = z.array(
  z.object({ id: z.string(), zone: z.string(), state: z.enum(['live', 'leaving']) }),
);

type Call = 'read' | 'write' | 'list' | 'watch' | 'vms';

/** The platform's object API over HTTP. Each call is counted. */
export class HttpPlatform extends Platform {
  constructor(
    private readonly url: string,
    private readonly metrics: Metrics,
  ) {
    super();
  }

  async read(key: string): Promise<PlatformObject | undefined> {
    const response = await this.request('read', `/objects/${encodeURIComponent(key)}`);
    if (response.status === 404) return undefined;
    return objectSchema.parse(await this.readJson(response));
  }

  async write(key: string, value: string, expectedVersion: number): Promise<PlatformWrite> {
    const condition: Record<string, string> =
      expectedVersion === 0 ? { 'if-none-match': '*' } : { 'if-match': String(expectedVersion) };
    try {
      const path = `/objects/${encodeURIComponent(key)}`;
      const response = await this.request('write', path, {
        method: 'PUT',
        body: value,
        headers: condition,
      });
      if (response.status === 412) return { kind: 'conflict' };
      const { version } = versionSchema.parse(await this.readJson(response));
      return { kind: 'written', version };
    } catch {
      return { kind: 'lost' };
    }
  }

  async list(prefix: string): Promise<PlatformListing> {
    const response = await this.request('list', `/objects?prefix=${encodeURIComponent(prefix)}`);
    return listingSchema.parse(await this.readJson(response));
  }

  async watch(prefix: string, revision: number): Promise<PlatformListing> {
    const path = `/watch?prefix=${encodeURIComponent(prefix)}&from=${revision}`;
    const response = await this.request('watch', path);
    if (response.status === 410) return this.list(prefix);
    return listingSchema.parse(await this.readJson(response));
  }

  async listVms(): Promise<readonly VmListing[]> {
    return vmsSchema.parse(await this.readJson(await this.request('vms', '/vms')));
  }

  private async request(call: Call, path: string, init: RequestInit = {}): Promise<Response> {
    const timeout = call === 'watch' ? WATCH_TIMEOUT_MS : CALL_TIMEOUT_MS;
    try {
      const response = await fetch(`${this.url}${path}`, {
        ...init,
        signal: AbortSignal.timeout(timeout),
      });
      if (response.status >= 500) throw new PlatformError(`status ${response.status}`);
      this.metrics.platformCalls.inc({ call, outcome: String(response.status) });
      return response;
    } catch (cause) {
      this.metrics.platformCalls.inc({ call, outcome: 'failed' });
      throw new PlatformError(`the platform did not answer a ${call}`, { cause });
    }
  }

  private async readJson(response: Response): Promise<unknown> {
    if (!response.ok) throw new PlatformError(`status ${response.status}`);
    return response.json();
  }
}
