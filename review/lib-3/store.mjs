/* eslint-disable no-use-before-define -- stand-ins and scripts of a review */
// The platform's store of objects, and the calls of singleton duties, as PROTOCOL.md describes them.
import { createServer } from 'node:http';

const HISTORY_MS = 20_000;

function readBody(request) {
  return new Promise((resolve) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const text = Buffer.concat(chunks).toString('utf8');
      try {
        resolve(text === '' ? undefined : JSON.parse(text));
      } catch {
        resolve(undefined);
      }
    });
  });
}

function answer(response, status, body) {
  if (response.destroyed) return;
  const text = body === undefined ? '' : JSON.stringify(body);
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(text);
}

function listen(server, host) {
  return new Promise((resolve) => {
    server.listen(0, host, () => resolve(server.address().port));
  });
}

/** Objects by kind and name, with one revision counter, watches and a history of 20 s. */
export class Store {
  revision = 100;

  objects = new Map();

  history = [];

  waiting = new Set();

  /** Sockets of the watches that wait. */
  watching = new Set();

  /** How late answers to reads and writes are. */
  delayMs = 4;

  /** True for a write that is done and gets no answer. */
  isAnswerLost = () => false;

  server = createServer((request, response) => {
    setTimeout(() => {
      this.handle(request, response).catch((error) => answer(response, 500, { error: `${error}` }));
    }, this.delayMs);
  });

  async start(host = '127.0.0.1') {
    this.server.keepAliveTimeout = 60_000;
    this.addr = `${host}:${await listen(this.server, host)}`;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Cuts off the watches that wait. */
  cutWatches() {
    this.watching.forEach((socket) => socket.destroy());
  }

  kind(kind) {
    if (!this.objects.has(kind)) this.objects.set(kind, new Map());
    return this.objects.get(kind);
  }

  put(kind, name, spec) {
    const objects = this.kind(kind);
    const before = objects.get(name);
    if (before && JSON.stringify(before.spec) === JSON.stringify(spec)) return before;
    this.revision += 1;
    const meta = {
      name,
      revision: this.revision,
      created: before?.meta.created ?? Date.now(),
      finalizers: [],
    };
    const object = { meta, spec, status: before?.status ?? {} };
    objects.set(name, object);
    this.note(kind, object, false);
    return object;
  }

  remove(kind, name) {
    const objects = this.kind(kind);
    const object = objects.get(name);
    if (!object) return;
    objects.delete(name);
    this.revision += 1;
    this.note(kind, { ...object, meta: { ...object.meta, revision: this.revision } }, true);
  }

  note(kind, object, deleted) {
    const now = Date.now();
    this.history.push({ kind, revision: this.revision, at: now, event: { object, deleted } });
    while (this.history[0].at < now - HISTORY_MS) this.forgotten = this.history.shift().revision;
    [...this.waiting].forEach((check) => check());
  }

  async handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const [, api, word, kind, rawName, status] = url.pathname.split('/');
    const body = await readBody(request);
    if (api !== 'api' || word !== 'objects' || !kind) return answer(response, 404, {});
    const name = rawName && decodeURIComponent(rawName);
    const objects = this.kind(decodeURIComponent(kind));
    if (request.method === 'GET' && !name) return this.list(kind, objects, url, response);
    if (request.method === 'GET') {
      const found = objects.get(name);
      return found ? answer(response, 200, found) : answer(response, 404, {});
    }
    return this.write(request.method, kind, name, { url, body, status }, response);
  }

  list(kind, objects, url, response) {
    const from = url.searchParams.get('watch');
    if (from !== null) return this.watch(kind, Number(from), url, response);
    const after = url.searchParams.get('after');
    const names = [...objects.keys()].sort().filter((one) => after === null || one > after);
    const items = [];
    let bytes = 0;
    for (const one of names) {
      const object = objects.get(one);
      bytes += JSON.stringify(object).length;
      // A page has about 500 objects or 1 MB at most.
      if (items.length >= 500 || (items.length > 0 && bytes > 1_000_000)) break;
      items.push(object);
    }
    return answer(response, 200, {
      items,
      more: names.length > items.length,
      store_revision: this.revision,
    });
  }

  watch(kind, from, url, response) {
    if (from < (this.forgotten ?? 0)) return answer(response, 410, {});
    const waitMs = Math.min(30_000, Number(url.searchParams.get('wait_ms') ?? 0));
    const listEvents = () =>
      this.history
        .filter((one) => one.kind === kind && one.revision > from)
        .map((one) => one.event);
    let timer;
    const finish = () => {
      clearTimeout(timer);
      this.waiting.delete(check);
      answer(response, 200, { events: listEvents(), store_revision: this.revision });
    };
    const check = () => {
      if (listEvents().length > 0) finish();
    };
    timer = setTimeout(finish, waitMs);
    this.waiting.add(check);
    this.watching.add(response.socket);
    response.on('close', () => {
      clearTimeout(timer);
      this.waiting.delete(check);
      this.watching.delete(response.socket);
    });
    check();
    return undefined;
  }

  write(method, kind, rawName, { url, body, status }, response) {
    const name = rawName ?? body?.meta?.name;
    const found = this.kind(kind).get(name);
    const expected = body?.meta?.revision ?? url.searchParams.get('revision') ?? undefined;
    if (method === 'POST' && found) return answer(response, 409, found);
    if (method !== 'POST' && !found) return answer(response, 404, {});
    if (found && expected !== undefined && Number(expected) !== found.meta.revision) {
      return answer(response, 409, found);
    }
    if (method === 'DELETE') {
      this.remove(kind, name);
      return answer(response, 200, found);
    }
    if (status === 'status') {
      found.status = body?.status ?? {};
      return answer(response, 200, found);
    }
    const object = this.put(kind, name, body?.spec ?? {});
    // A connection on which a response is lost returns nothing further.
    if (this.isAnswerLost({ kind, name, spec: object.spec })) return undefined;
    return answer(response, 200, object);
  }
}

/** The calls of singleton duties; checks generation numbers. */
export class CloudApi {
  seen = new Map();

  /** How late a call is carried out that gets no answer; 0 for one that is answered at once. */
  findDelay = () => 0;

  record = () => undefined;

  server = createServer((request, response) => {
    this.handle(request, response).catch((error) => answer(response, 500, { error: `${error}` }));
  });

  /** `promote(service, id)` returns false for an instance that isn't running. */
  constructor(promote) {
    this.promote = promote;
  }

  async start(host = '127.0.0.1') {
    this.server.keepAliveTimeout = 60_000;
    this.addr = `${host}:${await listen(this.server, host)}`;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  async handle(request, response) {
    const body = await readBody(request);
    const holder = request.headers['x-lease-holder'];
    const token = Number(request.headers['x-fencing-token']);
    const call = { holder, token, ...body };
    const lateMs = this.findDelay(call);
    if (lateMs > 0) setTimeout(() => this.carryOut(call), lateMs);
    else answer(response, this.carryOut(call), {});
  }

  /** Checks the fence when the call is carried out; returns the status of the answer. */
  carryOut({ holder, token, service, id }) {
    const isFenced = token < (this.seen.get(service) ?? 0);
    if (!isFenced) this.seen.set(service, token);
    const status = !isFenced && this.promote(service, id) ? 200 : 409;
    this.record({ kind: 'promotion call carried out', holder, token, service, id, status });
    return status;
  }
}
