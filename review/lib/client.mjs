/** A client's session over the line protocol. */
import { randomBytes } from 'node:crypto';
import { connect } from 'node:net';
import { Lines } from './net.mjs';

const CONNECT_MS = 2_000;

/** Creates the id of a request. */
export function createId() {
  return randomBytes(8).toString('hex');
}

/** One session; its requests are answered in order. */
export class Client {
  lines = new Lines();

  pending = [];

  constructor({ front, host }, database, note) {
    Object.assign(this, { database, note });
    this.socket = connect({ host, port: front });
    this.socket.setNoDelay(true);
    this.socket.on('data', (chunk) => {
      this.lines.read(chunk).forEach((line) => this.handle(line));
    });
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => {
      this.isClosed = true;
      this.pending.splice(0).forEach(({ resolve, rows }) => resolve({ rows, outcome: 'closed' }));
    });
  }

  /** Opens the session; false when that fails. */
  async open() {
    const { outcome } = await this.send(`CONNECT ${this.database} reviewer`, CONNECT_MS);
    return outcome === 'ok';
  }

  async query(text, limitMs = 10_000) {
    const id = createId();
    this.note({ sent: id, text: text.slice(0, 60) });
    const answer = await this.send(`QUERY ${id} ${text}`, limitMs);
    const { rows, ...rest } = answer;
    this.note({ got: id, ...rest, rows: rows.length, bytes: rows.join('').length });
    return { id, ...answer };
  }

  close() {
    this.socket.destroy();
  }

  async send(line, limitMs) {
    return new Promise((resolve) => {
      const pending = { rows: [], outcome: 'ok' };
      const timer = setTimeout(() => {
        pending.resolve({ rows: pending.rows, outcome: 'none' });
      }, limitMs);
      pending.resolve = (answer) => {
        clearTimeout(timer);
        resolve(answer);
      };
      if (this.isClosed) {
        pending.resolve({ rows: [], outcome: 'closed' });
        return;
      }
      this.pending.push(pending);
      this.socket.write(`${line}\r\n`, 'latin1');
    });
  }

  handle(line) {
    const [pending] = this.pending;
    if (!pending) return;
    const [word, ...rest] = line.split(' ');
    if (word === 'ROW') pending.rows.push(line.slice('ROW '.length));
    else if (word === 'DONE') [pending.digest] = rest;
    else if (word === 'ERROR') [pending.outcome] = rest;
    else if (word === 'READY') {
      this.pending.shift();
      const { rows, outcome, digest } = pending;
      pending.resolve({ rows, outcome, digest, state: rest[0], position: rest[1] });
    }
  }
}
