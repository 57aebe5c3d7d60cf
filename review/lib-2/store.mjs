/** A stand-in of the platform's store and of its promotion service, as PROTOCOL.md tells them. */
import { createServer } from 'node:http';

const PAGE = 500;

/** Objects by kind and name under one revision counter, with watches. */
export class Store {
  revision = 10;

  kinds = new Map();

  events = [];

  waiters = new Set();

  find(kind, name) {
    return this.kinds.get(kind)?.get(name);
  }

  list(kind) {
    const objects = [...(this.kinds.get(kind)?.values() ?? [])];
    return objects.sort((a, b) => (a.meta.name < b.meta.name ? -1 : 1));
  }

  put(kind, name, spec) {
    const known = this.find(kind, name);
    if (known && JSON.stringify(known.spec) === JSON.stringify(spec)) return known;
    this.revision += 1;
    const meta = { name, revision: this.revision, created: known?.meta.created ?? this.revision };
    const object = { meta: { ...meta, finalizers: [], deleting: false }, spec, status: {} };
    if (!this.kinds.has(kind)) this.kinds.set(kind, new Map());
    this.kinds.get(kind).set(name, object);
    this.addEvent(kind, object, false);
    return object;
  }

  remove(kind, name) {
    const known = this.find(kind, name);
    if (!known) return;
    this.kinds.get(kind).delete(name);
    this.revision += 1;
    const object = { ...known, meta: { ...known.meta, revision: this.revision } };
    this.addEvent(kind, object, true);
  }

  addEvent(kind, object, deleted) {
    this.events.push({ kind, revision: this.revision, event: { object, deleted } });
    [...this.waiters].forEach((wake) => wake());
  }

  async waitForChange(limitMs) {
    let wake;
    const woken = new Promise((resolve) => {
      wake = resolve;
    });
    this.waiters.add(wake);
    const timer = setTimeout(wake, limitMs);
    await woken;
    clearTimeout(timer);
    this.waiters.delete(wake);
  }

  async watch(kind, from, waitMs) {
    const deadline = Date.now() + waitMs;
    for (;;) {
      const found = this.events.filter((one) => one.kind === kind && one.revision > from);
      const left = deadline - Date.now();
      if (found.length > 0 || left <= 0) {
        return { events: found.map(({ event }) => event), store_revision: this.revision };
      }
      await this.waitForChange(left);
    }
  }
}

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? undefined : JSON.parse(text);
}

/** Starts an HTTP service; a handler that returns undefined leaves the request without an answer. */
export async function serve(handle) {
  const server = createServer((request, response) => {
    const answer = async () => {
      const url = new URL(request.url, 'http://127.0.0.1');
      const result = await handle(request, url, await readBody(request));
      if (!result) return;
      response.writeHead(result.status, { 'content-type': 'application/json' });
      response.end(result.body === undefined ? '' : JSON.stringify(result.body));
    };
    answer().catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { port: server.address().port, close: () => server.closeAllConnections() };
}

function write(store, method, kind, name, body) {
  if (method === 'DELETE') {
    store.remove(kind, name);
    return { status: 200 };
  }
  const { meta, spec } = body;
  const known = store.find(kind, name ?? meta.name);
  if (method === 'POST') {
    if (known) return { status: 409, body: known };
    return { status: 200, body: store.put(kind, meta.name, spec) };
  }
  if (!known) return { status: 404 };
  if (meta?.revision !== undefined && meta.revision !== known.meta.revision) {
    return { status: 409, body: known };
  }
  return { status: 200, body: store.put(kind, name, spec) };
}

/** Serves the store over HTTP. */
export async function serveStore(store) {
  return serve(async ({ method }, url, body) => {
    const [, , , kind, name] = url.pathname.split('/').map(decodeURIComponent);
    const query = url.searchParams;
    if (method !== 'GET') return write(store, method, kind, name, body);
    if (name !== undefined) {
      const object = store.find(kind, name);
      return object ? { status: 200, body: object } : { status: 404 };
    }
    if (query.has('watch')) {
      const waitMs = Math.min(30_000, Number(query.get('wait_ms') ?? 0));
      return { status: 200, body: await store.watch(kind, Number(query.get('watch')), waitMs) };
    }
    const rest = store.list(kind).filter(({ meta }) => meta.name > (query.get('after') ?? ''));
    const more = rest.length > PAGE;
    return {
      status: 200,
      body: { items: rest.slice(0, PAGE), more, store_revision: store.revision },
    };
  });
}

/**
 * Serves `POST /promotions`. `promote(service, id)` carries an order out and returns false when the
 * instance does not run; `isAnswering()` false leaves calls without an answer and does nothing.
 */
export async function servePromotions(promote, record, isAnswering = () => true) {
  const highest = new Map();
  return serve(async ({ headers }, url, { service, id }) => {
    const token = Number(headers['x-fencing-token']);
    const holder = headers['x-lease-holder'];
    if (!isAnswering()) {
      record(`promotion of ${id} by ${holder} with ${token}: no answer`);
      return undefined;
    }
    const isOld = token < (highest.get(service) ?? 0);
    if (!isOld) highest.set(service, token);
    const isDone = !isOld && promote(service, id);
    record(`promotion of ${id} by ${holder} with ${token}: ${isDone ? 'accepted' : 'refused'}`);
    return { status: isDone ? 200 : 409, body: {} };
  });
}
