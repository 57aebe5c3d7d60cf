/** The platform's object store and its promotion call, as PROTOCOL.md describes them. */
import { createServer } from 'node:http';

const HISTORY = 10_000;
/** A page of a list holds about 500 items or 1 MB at most. */
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const STATUS = { ok: 200, created: 201, notFound: 404, conflict: 409, gone: 410 };

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
}

function answer(response, status, body) {
  if (response.writableEnded) return;
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

/** Takes the items of one page from those that are left. */
function takePage(entries) {
  const page = [];
  let bytes = 0;
  for (const entry of entries) {
    if (page.length > 0 && (page.length >= PAGE_ITEMS || bytes + entry.json.length > PAGE_BYTES)) {
      break;
    }
    page.push(entry);
    bytes += entry.json.length;
  }
  return page;
}

/** One revision counter, kinds of named objects, conditional writes and watches. */
export class Store {
  revision = 1;

  kinds = new Map();

  events = [];

  raw = [];

  watches = new Set();

  /** Decides what happens to a call: undefined serves it, 'silent' does nothing, 'lost' loses the answer. */
  filter = () => undefined;

  servers = [];

  /** Listens for one machine; `view` shows it an object with the addresses that it uses. */
  async listen(port, machine, view = (object) => object) {
    const server = createServer((request, response) => {
      this.handle(request, response, { machine, view }).catch(() => response.destroy());
    });
    this.servers.push(server);
    await new Promise((resolve) => {
      server.listen(port, '127.0.0.1', resolve);
    });
  }

  close() {
    this.servers.forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
  }

  list(kind) {
    const objects = this.kinds.get(kind) ?? new Map();
    return [...objects.values()].sort((a, b) => (a.meta.name < b.meta.name ? -1 : 1));
  }

  /** Adds an entry whose JSON holds bytes that are no UTF-8; lists return it by its name. */
  putRaw(kind, name, json) {
    this.raw.push({ kind, name, json });
  }

  sendList(response, kind, after, view) {
    const items = this.list(kind).map((object) => {
      const json = Buffer.from(JSON.stringify(view(object, kind)));
      return { name: object.meta.name, json };
    });
    const all = [...items, ...this.raw.filter((one) => one.kind === kind)]
      .filter(({ name }) => name > after)
      .sort((a, b) => (a.name < b.name ? -1 : 1));
    const page = takePage(all);
    const more = page.length < all.length;
    const separated = page.flatMap(({ json }) => [Buffer.from(','), json]).slice(1);
    const end = `],"more":${more},"store_revision":${this.revision}}`;
    const body = Buffer.concat([Buffer.from('{"items":['), ...separated, Buffer.from(end)]);
    response.writeHead(STATUS.ok, { 'content-type': 'application/json' });
    response.end(body);
  }

  find(kind, name) {
    return this.kinds.get(kind)?.get(name);
  }

  /** Writes an object; nothing happens when its content stays the same. */
  put(kind, name, spec) {
    const known = this.find(kind, name);
    if (known && JSON.stringify(known.spec) === JSON.stringify(spec)) return known;
    this.revision += 1;
    const created = known?.meta.created ?? this.revision;
    const meta = { name, revision: this.revision, created, finalizers: [], deleting: false };
    const object = { meta, spec, status: known?.status ?? {} };
    if (!this.kinds.has(kind)) this.kinds.set(kind, new Map());
    this.kinds.get(kind).set(name, object);
    this.addEvent(kind, { object, deleted: false });
    return object;
  }

  remove(kind, name) {
    const known = this.find(kind, name);
    if (!known) return;
    this.revision += 1;
    this.kinds.get(kind).delete(name);
    const object = { ...known, meta: { ...known.meta, revision: this.revision } };
    this.addEvent(kind, { object, deleted: true });
  }

  addEvent(kind, event) {
    this.events.push({ kind, event, revision: this.revision });
    this.events.splice(0, Math.max(0, this.events.length - HISTORY));
    [...this.watches].filter((watch) => watch.kind === kind).forEach((watch) => watch.end());
  }

  async handle(request, response, { machine, view }) {
    const url = new URL(request.url, 'http://store');
    const [, , , kind = '', name] = url.pathname.split('/').map(decodeURIComponent);
    const body = await readBody(request);
    const verdict = this.filter({ method: request.method, kind, name, url, body, machine });
    if (verdict === 'silent') return;
    // The call is carried out, and its answer is lost.
    if (verdict === 'lost') response.end = () => undefined;
    if (request.method === 'GET' && name !== undefined) this.sendObject(response, kind, name, view);
    else if (request.method === 'GET' && url.searchParams.has('watch')) {
      this.watch(request, response, kind, url.searchParams, { machine, view });
    } else if (request.method === 'GET') {
      this.sendList(response, kind, url.searchParams.get('after') ?? '', view);
    } else this.write(request, response, kind, name ?? body.meta?.name, body);
  }

  sendObject(response, kind, name, view) {
    const object = this.find(kind, name);
    answer(response, object ? STATUS.ok : STATUS.notFound, object ? view(object, kind) : {});
  }

  write(request, response, kind, name, body) {
    const known = this.find(kind, name);
    const expected = body.meta?.revision;
    if (request.method === 'POST' && known) answer(response, STATUS.conflict, known);
    else if (request.method === 'PUT' && !known) answer(response, STATUS.notFound, {});
    else if (expected !== undefined && known && expected !== known.meta.revision) {
      answer(response, STATUS.conflict, known);
    } else {
      const status = known ? STATUS.ok : STATUS.created;
      answer(response, status, this.put(kind, name, body.spec));
    }
  }

  watch(request, response, kind, query, { machine, view }) {
    const from = Number(query.get('watch'));
    const watch = { kind };
    const leave = () => {
      clearTimeout(watch.timer);
      this.watches.delete(watch);
    };
    watch.end = (isOver = false) => {
      const events = this.events
        .filter((one) => one.kind === kind && one.revision > from)
        .map(({ event }) => ({ ...event, object: view(event.object, kind) }));
      if (events.length === 0 && !isOver) return;
      if (this.filter({ method: 'GET', kind, machine }) === 'silent') return;
      answer(response, STATUS.ok, { events, store_revision: this.revision });
      leave();
    };
    watch.timer = setTimeout(() => watch.end(true), Number(query.get('wait_ms') ?? 0));
    request.on('close', leave);
    this.watches.add(watch);
    watch.end();
  }
}

/** Serves `POST /promotions` with the fence of a group; `onCall` may change what happens. */
export class Promotions {
  tokens = new Map();

  calls = [];

  /** Returns undefined, or how many ms later the call is carried out without an answer. */
  delay = () => undefined;

  constructor(findGroup) {
    this.findGroup = findGroup;
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
  }

  async listen(port) {
    this.port = port;
    await new Promise((resolve) => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  async handle(request, response) {
    const { service, id } = await readBody(request);
    const holder = request.headers['x-lease-holder'];
    const token = Number(request.headers['x-fencing-token']);
    const call = { service, id, holder, token, at: Date.now() };
    this.calls.push(call);
    const delayMs = this.delay(call);
    if (delayMs === undefined) answer(response, this.carryOut(call), {});
    else setTimeout(() => this.carryOut(call), delayMs);
  }

  /** Carries a call out; a token below one that was seen for the service is refused. */
  carryOut({ service, id, token }) {
    if (token < (this.tokens.get(service) ?? 0)) return STATUS.conflict;
    this.tokens.set(service, token);
    return this.findGroup(service)?.startPromotion(id) ? STATUS.ok : STATUS.conflict;
  }
}
