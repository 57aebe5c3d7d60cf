import type { Millis } from '@shallotpick/core';
import * as z from 'zod';
import { type HttpHandler, type HttpRequest, type HttpResult, HttpService } from './httpservice.js';
import { RawItem } from './rawjson.js';
import type { EmulatedObject, EmulatedStore, WriteResult } from './store.js';

const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;
const STATUS_GONE = 410;
const STATUS_UNAVAILABLE = 503;
const PAGE_SIZE = 500;
const MAX_WAIT_MS: Millis = 30_000;
const MAX_WRITE_DELAY_MS: Millis = 6_000;

const writeSchema = z.object({
  meta: z.object({ name: z.string(), revision: z.number().optional() }),
  spec: z.unknown(),
});

/** The faults of the store's HTTP service. */
export interface StoreFaults {
  /** Share of the writes that are applied after a random delay and get no response. */
  unansweredWriteShare: number;
  random: () => number;
}

/** Shows an item as one VM sees it. */
export type ItemView = (item: unknown) => Promise<unknown>;

/** What a service of the store differs in from the usual. */
export interface StoreServiceOptions {
  /** Maximum number of objects per page of a list. */
  readonly pageSize?: number;
  readonly view?: ItemView;
  /** True while the store is down for all its services. */
  readonly isStoreDown?: () => boolean;
}

/** An entry of another writer may stand in lists without its metadata. */
function toItem(object: EmulatedObject): unknown {
  return object.spec instanceof RawItem ? object.spec : object;
}

function toResult(outcome: WriteResult): HttpResult {
  if (outcome.kind === 'notFound') return { status: STATUS_NOT_FOUND };
  const status = outcome.kind === 'written' ? STATUS_OK : STATUS_CONFLICT;
  return { status, body: outcome.object };
}

async function watch(
  store: EmulatedStore,
  kind: string,
  url: URL,
  view: ItemView,
): Promise<HttpResult> {
  const after = Number(url.searchParams.get('watch'));
  const waitMs = Math.min(MAX_WAIT_MS, Number(url.searchParams.get('wait_ms') ?? 0));
  const deadline = performance.now() + waitMs;
  for (;;) {
    const events = store.listEvents(kind, after);
    if (!events) return { status: STATUS_GONE };
    const remaining = deadline - performance.now();
    if (events.length > 0 || remaining <= 0) {
      const changes = await Promise.all(
        events.map(async ({ object, deleted }) => ({
          object: await view(toItem(object)),
          deleted,
        })),
      );
      return { status: STATUS_OK, body: { events: changes, store_revision: store.revision } };
    }
    await store.waitForChange(remaining);
  }
}

async function list(
  store: EmulatedStore,
  kind: string,
  url: URL,
  { pageSize, view }: Required<Pick<StoreServiceOptions, 'pageSize' | 'view'>>,
): Promise<HttpResult> {
  const after = url.searchParams.get('after') ?? '';
  const rest = store.list(kind).filter(({ meta }) => meta.name > after);
  const more = rest.length > pageSize;
  const { revision } = store;
  const items = await Promise.all(rest.slice(0, pageSize).map((one) => view(toItem(one))));
  return { status: STATUS_OK, body: { items, more, store_revision: revision } };
}

function write(store: EmulatedStore, { method, url, body }: HttpRequest): HttpResult {
  const [, , , kind = '', name] = url.pathname.split('/').map(decodeURIComponent);
  if (method === 'DELETE') return toResult(store.remove(kind, name ?? ''));
  const parsed = writeSchema.safeParse(body);
  if (!parsed.success) return { status: STATUS_BAD_REQUEST };
  const { meta, spec } = parsed.data;
  if (method === 'POST') return toResult(store.create(kind, meta.name, spec));
  return toResult(store.replace(kind, name ?? meta.name, spec, meta.revision));
}

/** Serves a store over HTTP as the platform does. */
export function createStoreService(
  store: EmulatedStore,
  faults: StoreFaults,
  { pageSize = PAGE_SIZE, view = async (item) => item, isStoreDown }: StoreServiceOptions = {},
): HttpService {
  const handle: HttpHandler = async (request) => {
    const { method, url } = request;
    if (isStoreDown?.()) return { status: STATUS_UNAVAILABLE };
    if (method !== 'GET') {
      if (faults.random() >= faults.unansweredWriteShare) return write(store, request);
      setTimeout(() => write(store, request), faults.random() * MAX_WRITE_DELAY_MS);
      return undefined;
    }
    const [, , , kind = '', name] = url.pathname.split('/').map(decodeURIComponent);
    if (name !== undefined) {
      const object = store.find(kind, name);
      if (!object) return { status: STATUS_NOT_FOUND };
      return { status: STATUS_OK, body: await view(toItem(object)) };
    }
    return url.searchParams.has('watch')
      ? watch(store, kind, url, view)
      : list(store, kind, url, { pageSize, view });
  };
  return new HttpService(handle, () => ({ 'store-era': String(store.era) }));
}
