/** A database group over the line protocol: a primary, its replicas, and their logs. */
import { randomBytes } from 'node:crypto';
import { createServer } from 'node:net';
import { Lines, wait } from './net.mjs';

const SLOT_POLL_MS = 1;

function compare(a, b) {
  return a.term - b.term || a.offset - b.offset;
}

function parsePosition(text) {
  const [term, offset] = text.split('.').map(Number);
  return { term, offset };
}

/** One connection to an instance. */
class InstanceSession {
  lines = new Lines();

  queue = [];

  values = new Map();

  prepared = new Map();

  transaction = undefined;

  hasFailed = false;

  constructor(socket, instance) {
    this.socket = socket;
    this.instance = instance;
    socket.setNoDelay(true);
    socket.on('data', (chunk) => {
      this.queue.push(...this.lines.read(chunk));
      this.run().catch(() => socket.destroy());
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => instance.sessions.delete(this));
  }

  async run() {
    if (this.isRunning) return;
    this.isRunning = true;
    while (this.queue.length > 0) await this.handle(this.queue.shift());
    this.isRunning = false;
  }

  async handle(line) {
    const [word, ...rest] = line.split(' ');
    if (word === 'GOODBYE') this.socket.destroy();
    else if (word === 'CONNECT') await this.connect(rest);
    else await this.query(rest[0], rest.slice(1).join(' '));
  }

  async connect([service, caller, id]) {
    const { instance } = this;
    this.caller = caller;
    if (service !== instance.group.name || (id !== undefined && id !== instance.id)) {
      this.socket.end(`ERROR WRONGNODE ${instance.id}\r\n`);
    } else if (instance.sessions.size > instance.maxConns) {
      this.socket.end(`ERROR TOOMANY ${instance.id}\r\n`);
    } else {
      await instance.occupySlot(instance.connectMs);
      this.send(`READY I ${instance.formatApplied()}`);
    }
  }

  async query(id, text) {
    const { instance } = this;
    const result = await this.execute(id, text);
    if (!instance.isUp) return;
    if (result.code && this.transaction) this.hasFailed = true;
    const state = this.hasFailed ? 'E' : 'T';
    const ready = `READY ${this.transaction ? state : 'I'} ${instance.formatApplied()}`;
    const digest = id === '-' ? '-' : randomBytes(8).toString('hex');
    if (result.code) this.send(`ERROR ${result.code} ${instance.id}`, ready);
    else this.send(...(result.rows ?? []).map((row) => `ROW ${row}`), `DONE ${digest}`, ready);
    if (result.code === undefined) instance.group.note({ answered: id, by: instance.id, digest });
  }

  async execute(id, whole) {
    const { instance } = this;
    const { group } = instance;
    const [, after, text] = /^(?:AFTER (\S+) )?(.*)$/s.exec(whole);
    const [word, first, ...others] = text.split(' ');
    if (after && compare(instance.readApplied(), parsePosition(after)) < 0) {
      return { code: 'LAGGING' };
    }
    if (this.hasFailed && word !== 'ROLLBACK' && word !== 'COMMIT') return { code: 'MALFORMED' };
    switch (word) {
      case 'BEGIN':
        if (this.transaction) return { code: 'MALFORMED' };
        if (first !== 'READ' && !instance.leads()) return { code: 'READONLY' };
        this.transaction = { isPlain: first !== 'READ', term: group.term, writes: [] };
        return {};
      case 'ROLLBACK':
        this.endTransaction();
        return {};
      case 'COMMIT':
        return this.commit(id);
      case 'SET':
        this.values.set(first, others.join(' '));
        return {};
      case 'PREPARE':
        this.prepared.set(first, { access: others[0], shape: others[1] });
        return {};
      case 'RESET':
        this.values.clear();
        this.prepared.clear();
        return {};
      case 'STATUS':
      case 'PAUSE':
      case 'STEPDOWN':
      case 'RESUME':
        return instance.control(word, Number(first));
      case 'READ':
        return this.runData(id, text, { isWrite: false, item: first });
      case 'WRITE':
        return this.runData(id, text, { isWrite: true, item: first, data: others.join(' ') });
      case 'EXECUTE': {
        const known = this.prepared.get(first);
        if (!known) return { code: 'NOSTMT' };
        const isWrite = known.access === 'WRITE';
        return this.runData(id, text, {
          isWrite,
          item: others[0],
          data: others.slice(1).join(' '),
        });
      }
      default:
        return { code: 'MALFORMED' };
    }
  }

  endTransaction() {
    this.transaction = undefined;
    this.hasFailed = false;
  }

  hasLostLead() {
    const { transaction, instance } = this;
    return transaction.isPlain && !(instance.leads() && instance.group.term === transaction.term);
  }

  async runData(id, text, { isWrite, item, data }) {
    const { instance, transaction } = this;
    const { group } = instance;
    if (transaction && (this.hasLostLead() || (isWrite && !transaction.isPlain))) {
      return { code: 'READONLY' };
    }
    if (!transaction && isWrite && !instance.leads()) return { code: 'READONLY' };
    if (!(await instance.occupySlot(instance.findWorkMs(item)))) return { code: 'BUSY' };
    group.onRun(id, this, text);
    group.note({ ran: id, text: text.slice(0, 60), on: instance.id });
    if (!isWrite) return { rows: instance.readRows(item) };
    if (transaction) transaction.writes.push({ id, item, data });
    else if (!(await group.commit(instance, [{ id, item, data }]))) return { code: 'FAILED' };
    return { rows: [item] };
  }

  async commit(id) {
    const { instance, transaction } = this;
    if (!transaction) return { code: 'MALFORMED' };
    const { writes } = transaction;
    const isRefused = writes.length > 0 && this.hasLostLead();
    if (this.hasFailed || isRefused) {
      this.endTransaction();
      return { code: 'READONLY' };
    }
    await instance.occupySlot(instance.workMs);
    instance.group.note({ ran: id, text: 'COMMIT', on: instance.id });
    const isDone = writes.length === 0 || (await instance.group.commit(instance, writes));
    this.endTransaction();
    return isDone ? {} : { code: 'FAILED' };
  }

  send(...lines) {
    if (this.socket.writable) this.socket.write(lines.map((line) => `${line}\r\n`).join(''));
  }
}

/** One instance of a group. */
export class Instance {
  sessions = new Set();

  entries = [];

  applied = 0;

  heldTerm = 0;

  isUp = true;

  isLeader = false;

  /** False while this replica receives nothing. */
  isReceiving = true;

  busy = 0;

  state = 'ready';

  maxConns = 16;

  connectMs = 5;

  workMs = 4;

  born = Date.now();

  constructor(group, id, zone, slots) {
    Object.assign(this, { group, id, zone, slots });
    this.server = createServer((socket) => {
      this.sessions.add(new InstanceSession(socket, this));
    });
  }

  async listen(port) {
    this.port = port;
    await new Promise((resolve) => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
  }

  leads() {
    return this.isUp && this.isLeader;
  }

  /** Makes the first `count` entries visible, unless the log has been cut back. */
  apply(count) {
    this.applied = Math.min(this.entries.length, Math.max(this.applied, count));
  }

  /** Receives the leader's log, and applies it later. */
  receive(entries, applyMs) {
    this.entries = entries;
    setTimeout(() => this.apply(entries.length), applyMs);
  }

  /** Leads, or drops what the promoted instance does not hold; a pause ends. */
  followPromotion(leader) {
    this.isLeader = this === leader;
    this.heldTerm = 0;
    if (this.isLeader) this.applied = this.entries.length;
    else {
      this.entries = this.entries.filter((entry) => leader.entries.includes(entry));
      this.applied = Math.min(this.applied, this.entries.length);
    }
  }

  findWorkMs(item) {
    return this.group.findWorkMs(item) ?? this.workMs;
  }

  readRows(item) {
    const rows = this.group.findRows(item);
    if (rows) return rows;
    const found = this.entries
      .slice(0, this.applied)
      .flatMap(({ writes }) => writes)
      .findLast((write) => write.item === item);
    return [found?.data ?? 'none'];
  }

  readEnd(count = this.entries.length) {
    return { term: this.entries[count - 1]?.term ?? 1, offset: count };
  }

  readApplied() {
    return this.readEnd(this.applied);
  }

  formatApplied() {
    const { term, offset } = this.readApplied();
    return `${term}.${offset}`;
  }

  /** Waits for a slot and keeps it for `durationMs`. */
  async occupySlot(durationMs) {
    while (this.busy >= this.slots) await wait(SLOT_POLL_MS);
    this.busy += 1;
    await wait(durationMs);
    this.busy -= 1;
    return this.isUp;
  }

  async control(word, term) {
    if (!(await this.occupySlot(0))) return { code: 'BUSY' };
    const { group } = this;
    if (word === 'PAUSE' && !this.isLeader && term > group.term) this.heldTerm = term;
    if (word === 'RESUME') this.heldTerm = 0;
    if (word === 'STEPDOWN' && this.isLeader && group.term < term) {
      this.isLeader = false;
      group.publish(this);
    }
    group.note({ order: word, term, at: this.id });
    const { term: endTerm, offset } = this.readEnd();
    const role = this.isLeader ? 'primary' : 'replica';
    const load = `0 ${this.busy} ${this.sessions.size}`;
    return { rows: [`${role} ${group.term} ${endTerm}.${offset} ${this.heldTerm} ${load}`] };
  }

  /** Breaks all connections and answers nothing until `start`. */
  async stop() {
    this.isUp = false;
    this.sessions.forEach(({ socket }) => socket.destroy());
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  /** Starts again under its id; it holds and knows nothing of before. */
  async startEmpty() {
    this.entries = [];
    this.applied = 0;
    this.isLeader = false;
    this.born = Date.now();
    await this.start();
    this.group.publish(this);
  }

  async start() {
    this.isUp = true;
    this.heldTerm = 0;
    this.server = createServer((socket) => {
      this.sessions.add(new InstanceSession(socket, this));
    });
    await this.listen(this.port);
  }
}

/** A primary and its replicas; a commit is acknowledged once one replica has received it. */
export class Group {
  instances = [];

  term = 1;

  acknowledged = [];

  /** Number of promotions that were accepted. */
  orders = 0;

  lost = [];

  promoteMs = 600;

  receiveMs = 2;

  applyMs = 20;

  /** Called for each statement that runs, with the session that runs it. */
  onRun = () => undefined;

  findRows = () => undefined;

  findWorkMs = () => undefined;

  constructor(name, store, note) {
    Object.assign(this, { name, store, note });
  }

  add(id, zone, slots = 2) {
    const instance = new Instance(this, id, zone, slots);
    instance.isLeader = this.instances.length === 0;
    this.instances.push(instance);
    return instance;
  }

  findLeader() {
    return this.instances.find((one) => one.leads());
  }

  publish(instance) {
    const { id, zone, slots, state, born, port, isLeader } = instance;
    if (!instance.isUp) return;
    const role = isLeader ? 'primary' : 'replica';
    const spec = { service: this.name, addr: `127.0.0.1:${port}`, zone, version: 'v1', slots };
    const rest = { state, cold_left_ms: 0, sequence: 1, db_role: role, born };
    this.store.put('servers', id, { ...spec, ...rest });
  }

  receives(replica) {
    return replica.isUp && !replica.isLeader && replica.isReceiving && replica.heldTerm === 0;
  }

  /** Ships what a replica lacks. */
  ship(leader, replica) {
    setTimeout(() => {
      if (!leader.leads() || !this.receives(replica)) return;
      replica.receive(leader.entries.slice(), this.applyMs);
    }, this.receiveMs);
  }

  /** Commits at the leader; false when it lost the lead or ended before a replica had received. */
  async commit(leader, writes) {
    const { term } = this;
    const entry = { term, writes };
    leader.entries.push(entry);
    const at = leader.entries.length - 1;
    for (;;) {
      if (!leader.leads() || this.term !== term) return false;
      const holders = this.instances.filter((one) => one !== leader && one.entries[at] === entry);
      if (holders.some((one) => one.isUp)) break;
      this.instances.forEach((replica) => this.ship(leader, replica));
      await wait(3);
    }
    leader.apply(at + 1);
    this.acknowledged.push(entry);
    const holders = this.instances.filter(({ entries }) => entries[at] === entry);
    const ids = writes.map(({ id }) => id);
    this.note({ committed: ids, by: leader.id, held: holders.map(({ id }) => id) });
    return true;
  }

  /**
   * Accepts a promotion unless the instance is down; it takes effect after `promoteMs`. A newer one
   * that is accepted meanwhile takes its place.
   */
  startPromotion(id) {
    const instance = this.instances.find((one) => one.id === id);
    if (!instance?.isUp) return false;
    this.orders += 1;
    const order = this.orders;
    const carryOut = () => {
      if (order === this.orders) this.promote(instance);
    };
    if (!instance.isLeader) setTimeout(carryOut, this.promoteMs);
    return true;
  }

  promote(instance) {
    if (!instance.isUp) return;
    this.term += 1;
    const lost = this.acknowledged.filter((entry) => !instance.entries.includes(entry));
    this.lost.push(...lost);
    this.acknowledged = this.acknowledged.filter((entry) => !lost.includes(entry));
    const ids = lost.flatMap(({ writes }) => writes.map(({ id }) => id));
    this.note({ promoted: instance.id, term: this.term, lostCommits: ids });
    this.instances.forEach((one) => one.followPromotion(instance));
    this.instances.forEach((one) => this.publish(one));
  }

  /** Keeps the replicas up to date between commits. */
  tick() {
    const leader = this.findLeader();
    if (!leader) return;
    this.instances.forEach((replica) => {
      if (replica !== leader && replica.entries.length !== leader.entries.length) {
        this.ship(leader, replica);
      }
    });
  }
}
