/* eslint-disable no-param-reassign, no-promise-executor-return -- stand-ins and scripts of a review */
// A service of database instances as PROTOCOL.md describes them: a primary and replicas, one of which
// has received a commit before it is acknowledged.
import { randomBytes } from 'node:crypto';
import { createServer } from 'node:net';

const CR_LF = '\r\n';
const HEARTBEAT_MS = 1_200;
const wait = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

function isAtLeast(position, wanted) {
  return (
    position.term > wanted.term ||
    (position.term === wanted.term && position.number >= wanted.number)
  );
}

function format({ term, number }) {
  return `${term}.${number}`;
}

function parse(text) {
  const [term, number] = text.split('.').map(Number);
  return { term, number };
}

class Connection {
  state = 'I';

  queue = Promise.resolve();

  values = new Map();

  prepared = new Map();

  text = '';

  constructor(socket, instance) {
    this.socket = socket;
    this.instance = instance;
    socket.setNoDelay(true);
    socket.on('data', (chunk) => this.read(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => instance.connections.delete(this));
  }

  read(chunk) {
    this.text += chunk.toString('latin1');
    for (let end = this.text.indexOf(CR_LF); end >= 0; end = this.text.indexOf(CR_LF)) {
      const line = this.text.slice(0, end);
      this.text = this.text.slice(end + 2);
      this.queue = this.queue.then(() => this.handle(line)).catch(() => this.socket.destroy());
    }
  }

  send(lines) {
    if (!this.socket.writable) return;
    this.socket.write(lines.map((line) => line + CR_LF).join(''), 'latin1');
  }

  async waitUntilTaken() {
    const { socket } = this;
    await new Promise((resolve) => {
      const finish = () => {
        socket.off('drain', finish).off('close', finish);
        resolve();
      };
      socket.on('drain', finish).on('close', finish);
    });
  }

  async handle(line) {
    const { instance } = this;
    if (this.socket.destroyed) return;
    const [word] = line.split(' ', 1);
    if (word === 'GOODBYE') {
      this.socket.end();
      return;
    }
    if (word === 'CONNECT') {
      const [, service, caller, id] = line.split(' ');
      this.caller = caller;
      if (service !== instance.group.name || (id !== undefined && id !== instance.id)) {
        this.socket.end(`ERROR WRONGNODE ${instance.id}${CR_LF}`);
      } else if (instance.connections.size > instance.group.options.connections) {
        this.socket.end(`ERROR TOOMANY ${instance.id}${CR_LF}`);
      } else {
        await instance.work(instance.group.options.connectMs);
        this.send([`READY I ${format(instance.applied)}`]);
      }
      return;
    }
    const [, id, text] = /^QUERY (\S+) (.*)$/s.exec(line) ?? [];
    if (text === undefined) throw new Error('no message');
    await this.query(id, text);
  }

  async query(id, given) {
    const { instance } = this;
    const [, after, behind] = /^AFTER (\S+) (.*)$/s.exec(given) ?? [];
    const text = behind ?? given;
    let result;
    if (this.state === 'E' && !/^(ROLLBACK|COMMIT)$/.test(text)) {
      result = { error: 'MALFORMED' };
    } else if (after && !isAtLeast(instance.applied, parse(after))) {
      result = { error: 'LAGGING' };
    } else {
      result = await this.run(id, text);
    }
    if (this.socket.destroyed || !instance.isUp) return;
    if (result.error && this.state === 'T') this.state = 'E';
    if (result.rows) {
      for (const row of result.rows) {
        if (this.socket.destroyed) return;
        if (!this.socket.write(row, 'latin1')) await this.waitUntilTaken();
      }
    }
    const digest = id === '-' ? '-' : randomBytes(8).toString('hex');
    const end = result.error ? `ERROR ${result.error} ${instance.id}` : `DONE ${digest}`;
    this.send([end, `READY ${this.state} ${format(instance.applied)}`]);
  }

  async run(id, text) {
    const { instance } = this;
    const { group } = instance;
    const [word, ...rest] = text.split(' ');
    switch (word) {
      case 'BEGIN':
        if (this.state !== 'I') return { error: 'MALFORMED' };
        if (rest[0] !== 'READ' && !instance.leads) return { error: 'READONLY' };
        this.state = 'T';
        this.transaction = { isPlain: rest[0] !== 'READ', term: group.term, writes: [] };
        return {};
      case 'ROLLBACK':
        this.state = 'I';
        this.transaction = undefined;
        return {};
      case 'SET':
        this.values.set(rest[0], rest.slice(1).join(' '));
        return {};
      case 'PREPARE':
        this.prepared.set(rest[0], { access: rest[1], shape: rest.slice(2).join(' ') });
        return {};
      case 'RESET':
        this.values.clear();
        this.prepared.clear();
        return {};
      case 'STATUS':
      case 'PAUSE':
      case 'STEPDOWN':
      case 'RESUME':
        instance.order(word, Number(rest[0]));
        return { rows: [`ROW ${instance.describe()}${CR_LF}`] };
      case 'COMMIT':
        return this.commit(id, text);
      default:
        return this.data(id, text, word, rest);
    }
  }

  hasLostLead() {
    const { transaction, instance } = this;
    if (!transaction?.isPlain) return false;
    return !instance.leads || instance.group.term !== transaction.term;
  }

  async data(id, text, word, rest) {
    const { instance, transaction } = this;
    const { group } = instance;
    const prepared = word === 'EXECUTE' ? this.prepared.get(rest[0]) : undefined;
    if (word === 'EXECUTE' && !prepared) return { error: 'NOSTMT' };
    const isWrite = word === 'WRITE' || prepared?.access === 'WRITE';
    const [item, ...data] = word === 'EXECUTE' ? rest.slice(1) : rest;
    if (transaction && (this.hasLostLead() || (isWrite && !transaction.isPlain))) {
      return { error: 'READONLY' };
    }
    if (!transaction && isWrite && !instance.leads) return { error: 'READONLY' };
    group.note({ kind: 'run', instance: instance.id, id, text: text.slice(0, 60) });
    await instance.work(group.options.workMs);
    if (!isWrite) return { rows: group.readRows(item, instance) };
    const write = { id, item, data: data.join(' ') };
    if (transaction) transaction.writes.push(write);
    else if (!(await group.commit(instance, [write]))) return { error: 'FAILED' };
    return {};
  }

  async commit(id, text) {
    const { instance, transaction } = this;
    const { group } = instance;
    const hasFailed = this.state !== 'T';
    this.transaction = undefined;
    this.state = 'I';
    if (hasFailed || !transaction) return { error: 'FAILED' };
    if (transaction.writes.length === 0) return {};
    if (!instance.leads || group.term !== transaction.term) return { error: 'READONLY' };
    group.note({ kind: 'run', instance: instance.id, id, text });
    await instance.work(group.options.workMs);
    return (await group.commit(instance, transaction.writes)) ? {} : { error: 'FAILED' };
  }
}

class Instance {
  connections = new Set();

  log = [];

  appliedCount = 0;

  term = 1;

  heldTerm = 0;

  busy = 0;

  waiting = [];

  sequence = 0;

  isUp = false;

  leads = false;

  state = 'ready';

  born = Date.now();

  constructor(group, id, zone) {
    this.group = group;
    this.id = id;
    this.zone = zone;
  }

  get applied() {
    return this.position(this.appliedCount);
  }

  get received() {
    return this.position(this.log.length);
  }

  position(count) {
    return { term: count === 0 ? 1 : this.log[count - 1].term, number: count };
  }

  async start() {
    this.isUp = true;
    this.server = createServer((socket) => this.connections.add(new Connection(socket, this)));
    await new Promise((resolve) => {
      this.server.listen(this.port ?? 0, '127.0.0.1', resolve);
    });
    this.port = this.server.address().port;
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  /** The process ends: its connections close, and its entry expires. */
  stop() {
    this.isUp = false;
    clearInterval(this.timer);
    this.server?.close();
    this.connections.forEach(({ socket }) => socket.destroy());
    setTimeout(() => {
      if (!this.isUp) this.group.store.remove('servers', this.id);
    }, 3 * HEARTBEAT_MS).unref();
  }

  /** Forgets everything; the next start under this `id` knows nothing of before. */
  forget() {
    Object.assign(this, { log: [], appliedCount: 0, term: 1, heldTerm: 0, leads: false });
    Object.assign(this, { born: Date.now(), sequence: 0 });
  }

  beat() {
    this.sequence += 1;
    const { slots } = this.group.options;
    this.group.store.put('servers', this.id, {
      service: this.group.name,
      addr: `127.0.0.1:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots,
      state: this.state,
      cold_left_ms: 0,
      db_role: this.leads ? 'primary' : 'replica',
      born: this.born,
      sequence: this.sequence,
    });
  }

  async work(ms) {
    while (this.busy >= this.group.options.slots) {
      await new Promise((resolve) => this.waiting.push(resolve));
    }
    this.busy += 1;
    await wait(ms);
    this.busy -= 1;
    this.waiting.shift()?.();
  }

  order(word, term) {
    if (word === 'RESUME') this.heldTerm = 0;
    if (word === 'PAUSE' && term > this.term && !this.leads) this.heldTerm = term;
    if (word === 'STEPDOWN' && term > this.term && this.leads) {
      this.leads = false;
      this.beat();
    }
  }

  describe() {
    const role = this.leads ? 'primary' : 'replica';
    const lag = 0;
    return [
      role,
      this.term,
      format(this.received),
      this.heldTerm,
      lag,
      this.busy,
      this.connections.size,
    ].join(' ');
  }
}

/** A service with its instances; `record` receives what is run and committed. */
export class Group {
  instances = [];

  term = 1;

  acknowledged = [];

  constructor(store, options, record = () => undefined) {
    this.store = store;
    this.name = options.name;
    this.options = {
      ...{ slots: 3, connections: 46, connectMs: 27, workMs: 5, receiveMs: () => 1, applyMs: 8 },
      ...{ promoteMs: 600, copies: 3, zones: ['zone-a', 'zone-b', 'zone-c'] },
      ...options,
    };
    this.record = record;
    this.readRows = (item, instance) => {
      const found = instance.log
        .slice(0, instance.appliedCount)
        .flatMap(({ writes }) => writes)
        .findLast((write) => write.item === item);
      return found ? [`ROW ${found.data}${CR_LF}`] : [];
    };
  }

  note(entry) {
    this.record({ at: Date.now(), service: this.name, ...entry });
  }

  async start() {
    const { copies, zones } = this.options;
    for (let index = 0; index < copies; index += 1) {
      const id = `i-${randomBytes(4).toString('hex')}`;
      const instance = new Instance(this, id, zones[index % zones.length]);
      instance.leads = index === 0;
      this.instances.push(instance);
      await instance.start();
    }
  }

  stop() {
    this.instances.forEach((one) => one.isUp && one.stop());
  }

  get leader() {
    return this.instances.find((one) => one.leads && one.isUp);
  }

  /** Acknowledges once a replica has received the entry; false when the lead is lost before. */
  async commit(leader, writes) {
    if (!leader.isUp || !leader.leads) return false;
    const { term } = this;
    const entry = { term, writes };
    leader.log.push(entry);
    const number = leader.log.length;
    this.ship(leader);
    for (;;) {
      if (!leader.isUp || !leader.leads || this.term !== term) return false;
      const isHeld = this.instances.some(
        (one) => one !== leader && one.isUp && one.log[number - 1] === entry,
      );
      if (isHeld) break;
      await wait(1);
    }
    leader.appliedCount = Math.max(leader.appliedCount, number);
    this.acknowledged.push({ number, entry });
    this.note({ kind: 'commit', instance: leader.id, position: `${term}.${number}`, writes });
    return true;
  }

  /** Sends what replicas lack. */
  ship(leader) {
    const { length } = leader.log;
    this.instances.forEach((one) => {
      if (one === leader || !one.isUp || one.heldTerm > 0 || one.isDeaf) return;
      setTimeout(() => {
        if (!one.isUp || one.heldTerm > 0 || one.isDeaf || !leader.leads || !leader.isUp) return;
        one.term = this.term;
        one.log.push(...leader.log.slice(one.log.length, length));
        const count = one.log.length;
        setTimeout(() => {
          if (one.isUp && !one.leads) {
            one.appliedCount = Math.min(one.log.length, Math.max(one.appliedCount, count));
          }
        }, this.options.applyMs);
      }, this.options.receiveMs(one));
    });
  }

  /** The order of POST /promotions; false for an instance that isn't running. */
  promote(id) {
    const instance = this.instances.find((one) => one.id === id && one.isUp);
    if (!instance) return false;
    if (instance === this.leader) return true;
    // The newest accepted order takes the place of an earlier one.
    clearTimeout(this.promotion);
    this.promotion = setTimeout(() => this.apply(instance), this.options.promoteMs);
    return true;
  }

  apply(instance) {
    if (!instance.isUp || instance.leads) return;
    this.term += 1;
    this.instances.forEach((one) => {
      const wasLeader = one.leads;
      one.leads = one === instance;
      one.heldTerm = 0;
      if (one === instance) one.term = this.term;
      const end = one.log.findIndex((entry, index) => entry !== instance.log[index]);
      if (end >= 0) {
        one.log.length = end;
        one.appliedCount = Math.min(one.appliedCount, end);
      }
      if ((wasLeader || one === instance) && one.isUp) one.beat();
    });
    instance.appliedCount = instance.log.length;
    const { length } = instance.log;
    this.note({ kind: 'promoted', instance: instance.id, term: this.term, length });
    this.ship(instance);
  }
}
