/** A stand-in of a service of database instances that speaks the wire protocol of PROTOCOL.md. */
import { randomBytes } from 'node:crypto';
import { createServer } from 'node:net';

const LINE_END = '\r\n';
const HEARTBEAT_MS = 1_200;

function compare(a, b) {
  return a.term - b.term || a.number - b.number;
}

function formatPosition({ term, number }) {
  return `${term}.${number}`;
}

function parsePosition(text) {
  const [term, number] = text.split('.').map(Number);
  return { term, number };
}

/** Splits off the first words of a text; the last element is the rest, unchanged. */
export function splitWords(text, count) {
  const words = [];
  let rest = text;
  for (let index = 0; index < count; index += 1) {
    const end = rest.indexOf(' ');
    if (end < 0) break;
    words.push(rest.slice(0, end));
    rest = rest.slice(end + 1);
  }
  return [...words, rest];
}

/** Calls `onLine` for each line that a socket receives. */
export function readLines(socket, onLine) {
  let held = '';
  socket.setEncoding('latin1');
  socket.on('data', (text) => {
    held += text;
    const lines = held.split(LINE_END);
    held = lines.pop();
    lines.forEach((line) => onLine(line));
  });
}

/** One connection to an instance. */
class InstanceSession {
  queue = [];

  isRunning = false;

  isConnected = false;

  values = new Map();

  prepared = new Map();

  /** The open transaction: `isPlain` and the writes so far. */
  open = undefined;

  hasFailed = false;

  constructor(socket, instance) {
    this.socket = socket;
    this.instance = instance;
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => instance.sessions.delete(this));
    readLines(socket, (line) => {
      this.queue.push(line);
      this.work().catch(() => socket.destroy());
    });
  }

  async work() {
    if (this.isRunning) return;
    this.isRunning = true;
    while (this.queue.length > 0) await this.handle(this.queue.shift());
    this.isRunning = false;
  }

  send(...lines) {
    if (this.socket.writable && this.instance.isAlive) {
      this.socket.write(lines.map((line) => line + LINE_END).join(''), 'latin1');
    }
  }

  async handle(line) {
    const { instance } = this;
    const [word, rest = ''] = splitWords(line, 1);
    if (word === 'CONNECT') {
      const [service, who, id] = rest.split(' ');
      const isMeant = service === instance.group.name && (id === undefined || id === instance.id);
      if (!isMeant) {
        this.socket.end(`ERROR WRONGNODE ${instance.id}${LINE_END}`);
      } else if (instance.sessions.size > instance.group.options.maxConns) {
        this.socket.end(`ERROR TOOMANY ${instance.id}${LINE_END}`);
      } else {
        this.isConnected = true;
        this.who = who;
        this.send(`READY I ${formatPosition(instance.applied)}`);
      }
      return;
    }
    if (word !== 'QUERY' || !this.isConnected) {
      this.socket.destroy();
      return;
    }
    const [id, text] = splitWords(rest, 1);
    instance.group.options.onReceive?.({ instance, id, text });
    const result = await this.run(id, text);
    if (!instance.isAlive) return;
    const { rows = [], error } = result;
    if (error && this.open) this.hasFailed = true;
    const digest = id === '-' ? '-' : randomBytes(8).toString('hex');
    const end = error ? [`ERROR ${error} ${instance.id}`] : [...rows, `DONE ${digest}`];
    this.send(...end, `READY ${this.state} ${formatPosition(instance.applied)}`);
  }

  async run(id, fullText) {
    const { instance } = this;
    let text = fullText;
    if (text.startsWith('AFTER ')) {
      const [, position, behind] = splitWords(text, 2);
      if (compare(instance.applied, parsePosition(position)) < 0) return { error: 'LAGGING' };
      text = behind;
    }
    const [word, rest = ''] = splitWords(text, 1);
    if (this.hasFailed && !['ROLLBACK', 'COMMIT'].includes(word)) return { error: 'MALFORMED' };
    if (word === 'STATUS' || word === 'PAUSE' || word === 'STEPDOWN' || word === 'RESUME') {
      return instance.takeOrder(word, Number(rest));
    }
    if (word === 'SET') {
      const [name, value = ''] = splitWords(rest, 1);
      this.values.set(name, value);
      return {};
    }
    if (word === 'PREPARE') {
      const [name, access, shape] = splitWords(rest, 2);
      this.prepared.set(name, { isWrite: access === 'WRITE', shape });
      return {};
    }
    if (word === 'RESET') {
      this.values.clear();
      this.prepared.clear();
      return {};
    }
    if (word === 'BEGIN') return this.begin(rest !== 'READ');
    if (word === 'ROLLBACK') return this.end();
    if (word === 'COMMIT') return this.commit(id);
    if (word === 'READ' || word === 'WRITE' || word === 'EXECUTE') return this.data(id, word, rest);
    return { error: 'MALFORMED' };
  }

  /** Who is connected, and the values that are set. */
  describe() {
    return { who: this.who, values: Object.fromEntries(this.values) };
  }

  get state() {
    if (!this.open) return 'I';
    return this.hasFailed ? 'E' : 'T';
  }

  begin(isPlain) {
    if (this.open) return { error: 'MALFORMED' };
    if (isPlain && !this.instance.isPrimary) return { error: 'READONLY' };
    this.open = { isPlain, term: this.instance.group.term, writes: [] };
    return {};
  }

  end() {
    this.open = undefined;
    this.hasFailed = false;
    return {};
  }

  hasLostLead() {
    const { isPlain, term } = this.open;
    return isPlain && (!this.instance.isPrimary || this.instance.group.term !== term);
  }

  async data(id, word, rest) {
    const { instance } = this;
    let isWrite = word === 'WRITE';
    let argument = rest;
    if (word === 'EXECUTE') {
      const [name, behind] = splitWords(rest, 1);
      const statement = this.prepared.get(name);
      if (!statement) return { error: 'NOSTMT' };
      isWrite = statement.isWrite;
      argument = behind;
    }
    if (this.open ? this.hasLostLead() || (isWrite && !this.open.isPlain) : false) {
      return { error: 'READONLY' };
    }
    if (isWrite && !this.open && !instance.isPrimary) return { error: 'READONLY' };
    await instance.takeSlot();
    instance.group.options.onRun?.({ instance, id, text: `${word} ${rest}`, ...this.describe() });
    const [item, data] = splitWords(argument, 1);
    if (!isWrite) return { rows: instance.group.options.read(instance, item, id) };
    if (this.open) this.open.writes.push({ item, data });
    else {
      const isDone = await instance.group.commit(instance, [{ item, data, id }]);
      if (!isDone) return { error: 'FAILED' };
    }
    return { rows: ['ROW ok'] };
  }

  async commit(id) {
    const { instance, open } = this;
    if (!open || this.hasFailed) {
      this.end();
      return { error: 'ABORTED' };
    }
    if (open.writes.length > 0 && this.hasLostLead()) {
      this.end();
      return { error: 'READONLY' };
    }
    await instance.takeSlot();
    instance.group.options.onRun?.({ instance, id, text: 'COMMIT', ...this.describe() });
    const writes = open.writes.map((one) => ({ ...one, id }));
    const isDone = writes.length === 0 || (await instance.group.commit(instance, writes));
    this.end();
    return isDone ? {} : { error: 'FAILED' };
  }
}

/** A database instance. */
export class Instance {
  isAlive = false;

  isPrimary = false;

  isLeaving = false;

  sequence = 0;

  heldTerm = 0;

  /** Entries that were received, and how many of them reads see. */
  log = [];

  appliedCount = 0;

  sessions = new Set();

  running = 0;

  slotWaiters = [];

  constructor(group, id, zone) {
    this.group = group;
    this.id = id;
    this.zone = zone;
  }

  get applied() {
    const number = this.appliedCount;
    return { term: this.log[number - 1]?.term ?? 1, number };
  }

  get received() {
    return { term: this.log.at(-1)?.term ?? 1, number: this.log.length };
  }

  async start() {
    this.isAlive = true;
    this.born = Date.now();
    this.sequence = 0;
    this.server = createServer((socket) => {
      this.sessions.add(new InstanceSession(socket, this));
    });
    await new Promise((resolve) => {
      this.server.listen(this.port ?? 0, '127.0.0.1', resolve);
    });
    this.port = this.server.address().port;
    this.report();
    this.timer = setInterval(() => this.report(), HEARTBEAT_MS);
  }

  /** Ends the process of the instance. */
  stop() {
    this.isAlive = false;
    clearInterval(this.timer);
    this.server?.close();
    this.sessions.forEach(({ socket }) => socket.destroy());
  }

  /** Reports that it is about to leave. */
  leave() {
    this.isLeaving = true;
    this.report();
  }

  /** Receives nothing for some time. */
  setDeaf(durationMs) {
    this.isDeaf = true;
    setTimeout(() => {
      this.isDeaf = false;
    }, durationMs);
  }

  report() {
    this.sequence += 1;
    this.group.store.put('servers', this.id, {
      ...{ service: this.group.name, addr: `127.0.0.1:${this.port}`, zone: this.zone },
      ...{ version: '1.0', slots: this.group.options.slots, cold_left_ms: 0 },
      ...{ state: this.isLeaving ? 'draining' : 'ready', sequence: this.sequence },
      ...{ db_role: this.isPrimary ? 'primary' : 'replica', born: this.born },
    });
  }

  /** Lets reads see the entries up to this number. */
  apply(number) {
    this.appliedCount = Math.max(this.appliedCount, Math.min(number, this.log.length));
  }

  /** Takes its part after the promotion of a leader: entries that the leader lacks are rolled back. */
  follow(leader) {
    this.isPrimary = this === leader;
    this.heldTerm = 0;
    const same = this.log.findIndex((entry, index) => entry !== leader.log[index]);
    if (same >= 0) this.log = this.log.slice(0, same);
    this.appliedCount = Math.min(this.appliedCount, this.log.length);
    if (this.isAlive) this.report();
  }

  takeOrder(word, term) {
    const { group } = this;
    if (word === 'RESUME') this.heldTerm = 0;
    if (word === 'PAUSE' && term > group.term && !this.isPrimary) this.heldTerm = term;
    if (word === 'STEPDOWN' && term > group.term && this.isPrimary) {
      this.isPrimary = false;
      this.report();
    }
    const role = this.isPrimary ? 'primary' : 'replica';
    const load = `0 ${this.running} ${this.sessions.size}`;
    const status = `${role} ${group.term} ${formatPosition(this.received)} ${this.heldTerm} ${load}`;
    return { rows: [`ROW ${status}`] };
  }

  async takeSlot() {
    if (this.running >= this.group.options.slots) {
      await new Promise((resolve) => {
        this.slotWaiters.push(resolve);
      });
    }
    this.running += 1;
    await new Promise((resolve) => {
      setTimeout(resolve, this.group.options.workMs);
    });
    this.running -= 1;
    this.slotWaiters.shift()?.();
  }
}

/**
 * A primary with its replicas.
 *
 * Options: `slots`, `maxConns`, `workMs`, `lagMs`, `promoteMs`, `sync` (0 or 1), `read(instance, item)`
 * (the ROW lines of a read), `onReceive` (called with each request that arrives) and `onRun` (called
 * with each statement that has run).
 */
export class Group {
  term = 1;

  instances = [];

  constructor(name, store, options) {
    this.name = name;
    this.store = store;
    this.options = {
      ...{ slots: 3, maxConns: 46, workMs: 2, lagMs: 8, promoteMs: 600, sync: 1 },
      read: () => ['ROW data'],
      ...options,
    };
  }

  async start(zones) {
    for (const [index, zone] of zones.entries()) {
      const instance = new Instance(this, `i-${randomBytes(4).toString('hex')}`, zone);
      instance.isPrimary = index === 0;
      this.instances.push(instance);
      await instance.start();
    }
  }

  get primary() {
    return this.instances.find(({ isPrimary }) => isPrimary);
  }

  stop() {
    this.instances.forEach((instance) => instance.stop());
  }

  isReceiving(replica) {
    return replica.isAlive && !replica.isPrimary && replica.heldTerm === 0 && !replica.isDeaf;
  }

  async commit(primary, writes) {
    const { sync, lagMs } = this.options;
    const { term } = this;
    primary.log.push({ term, writes });
    const number = primary.log.length;
    const entry = primary.log[number - 1];
    for (;;) {
      if (!primary.isAlive || !primary.isPrimary || this.term !== term) return false;
      const isHeld = (one) => one !== primary && one.isAlive && one.log[number - 1] === entry;
      if (this.instances.filter(isHeld).length >= sync) break;
      this.ship(primary);
      await new Promise((resolve) => {
        setTimeout(resolve, 1);
      });
    }
    primary.apply(number);
    setTimeout(() => this.ship(primary), lagMs);
    return true;
  }

  ship(primary) {
    if (!primary.isAlive || !primary.isPrimary) return;
    this.instances
      .filter((one) => one !== primary && this.isReceiving(one))
      .forEach((replica) => {
        replica.log.push(...primary.log.slice(replica.log.length));
        const { length } = replica.log;
        setTimeout(() => {
          replica.apply(length);
        }, this.options.lagMs);
      });
  }

  /** Carries out an order to promote; false when the instance doesn't run. */
  promote(id) {
    const instance = this.instances.find((one) => one.id === id && one.isAlive);
    if (!instance) return false;
    if (instance.isPrimary) return true;
    setTimeout(() => {
      if (!instance.isAlive) return;
      this.term += 1;
      this.instances.forEach((one) => one.follow(instance));
      instance.appliedCount = instance.log.length;
    }, this.options.promoteMs);
    return true;
  }
}
