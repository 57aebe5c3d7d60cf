import { createHash } from 'node:crypto';
import type { Statement } from '@shallotpick/core';
import {
  type Frame,
  FRONTEND,
  parseBind,
  parseParse,
  parseQuery,
  parseDescribeTarget,
} from '@shallotpick/wire';
import { classifyCached, TextCache } from './cache.js';
import type { InstanceConnection } from './connection.js';
import { type CallerRequest, encodeFrame } from './request.js';

const MAX_NAMES = 1_000;
/** Closing a statement that does not exist succeeds, so this stands for statements kept. */
const NO_STATEMENT = 'sp_none';
const KEY_LENGTH = 32;

/** A prepared statement of a session. */
interface Prepared {
  /** Name on instance connections: a hash of text and types, so sessions cannot collide. */
  readonly key: string;
  /** Body of the Parse message after the name. */
  readonly tail: Buffer;
  readonly statements: readonly Statement[];
}

type Step =
  | { readonly kind: 'parse'; readonly name: string; readonly prepared: Prepared }
  | { readonly kind: 'bind'; readonly frame: Frame; readonly prepared: Prepared }
  | { readonly kind: 'describe'; readonly prepared: Prepared; readonly isUnnamed: boolean }
  | { readonly kind: 'close' | 'other'; readonly frame: Frame };

/** A request with its statements found, independent of the connection that will run it. */
export interface DecodedRequest {
  readonly steps: readonly Step[];
  /** Statements that the request runs. */
  readonly executed: readonly Statement[];
  /** Statements that it only prepares or describes. */
  readonly prepared: readonly Statement[];
  /** Why the request cannot run. */
  readonly problem?: string;
}

/** Parse and Close messages of a request in order, to match their answers. */
export interface ExpectedResponses {
  readonly parses: { readonly target: string; readonly key: string; readonly name?: string }[];
  readonly closes: { readonly target?: string; readonly isHidden: boolean }[];
}

export interface EncodedRequest {
  readonly bytes: Buffer;
  readonly expected: ExpectedResponses;
}

function createPrepared(tail: Buffer): Prepared {
  const hash = createHash('sha256').update(tail).digest('hex').slice(0, KEY_LENGTH);
  const text = tail.toString('utf8', 0, tail.indexOf(0));
  return { key: `sp_${hash}`, tail, statements: classifyCached(text) };
}

/** By the bytes of text and types, one character for each byte. */
const known = new TextCache((tail) => createPrepared(Buffer.from(tail, 'latin1')));

/** The prepared statements and portals of one session, by the caller's names. */
export class PreparedStatements {
  private readonly byName = new Map<string, Prepared>();

  private readonly portals = new Map<string, readonly Statement[]>();

  /** Names whose Parse the instance has not confirmed. */
  private readonly unconfirmed = new Set<string>();

  /** Resolves the caller's names. The new names count from here on, until `finish`. */
  decode(request: CallerRequest): DecodedRequest {
    const executed: Statement[] = [];
    const prepared: Statement[] = [];
    let problem: string | undefined;
    const steps = request.frames.map((frame): Step => {
      if (frame.type === FRONTEND.parse) {
        const { name } = parseParse(frame.body);
        problem ??= this.findProblem(name);
        const one = known.find(frame.body.toString('latin1', Buffer.byteLength(name) + 1));
        if (problem === undefined) this.add(name, one);
        prepared.push(...one.statements);
        return { kind: 'parse', name, prepared: one };
      }
      if (frame.type === FRONTEND.query) {
        executed.push(...classifyCached(parseQuery(frame.body)));
      }
      if (frame.type === FRONTEND.execute) {
        const portal = frame.body.toString('utf8', 0, frame.body.indexOf(0));
        executed.push(...(this.portals.get(portal) ?? []));
      }
      return this.decodeUse(frame);
    });
    return { steps, executed, prepared, ...(problem === undefined ? {} : { problem }) };
  }

  /** Encodes a request for a connection; statements that the connection lacks are parsed first. */
  encode({ steps }: DecodedRequest, connection: InstanceConnection): EncodedRequest {
    /** What the connection will have after the messages so far, where that differs. */
    const changed = new Map<string, string>();
    const findHeld = (target: string): string | undefined =>
      changed.get(target) ?? connection.statements.get(target);
    const replies: ExpectedResponses = { parses: [], closes: [] };
    const parse = ({ key, tail }: Prepared, target: string, name?: string): readonly Buffer[] => {
      const output: Buffer[] = [];
      if (target !== '' && findHeld(target) !== undefined) {
        output.push(encodeFrame(FRONTEND.close, 'S', target, '\0'));
        replies.closes.push({ target, isHidden: true });
      }
      changed.set(target, key);
      // A Parse of the unnamed statement ends the old one even when it fails.
      if (target === '') connection.statements.delete('');
      replies.parses.push({ target, key, ...(name === undefined ? {} : { name }) });
      return [...output, encodeFrame(FRONTEND.parse, target, '\0', tail)];
    };
    const prepare = (prepared: Prepared, target: string): readonly Buffer[] =>
      findHeld(target) === prepared.key ? [] : parse(prepared, target);
    const output = steps.flatMap((step): readonly Buffer[] => {
      if (step.kind === 'parse') {
        return parse(step.prepared, step.name === '' ? '' : step.prepared.key, step.name);
      }
      if (step.kind === 'bind') {
        const { portal, statement } = parseBind(step.frame.body);
        const target = statement === '' ? '' : step.prepared.key;
        const skipped = Buffer.byteLength(portal) + Buffer.byteLength(statement) + 2;
        const rest = step.frame.body.subarray(skipped);
        const bind = encodeFrame(FRONTEND.bind, portal, '\0', target, '\0', rest);
        return [...prepare(step.prepared, target), bind];
      }
      if (step.kind === 'describe') {
        const target = step.isUnnamed ? '' : step.prepared.key;
        return [
          ...prepare(step.prepared, target),
          encodeFrame(FRONTEND.describe, 'S', target, '\0'),
        ];
      }
      if (step.kind === 'other') {
        if (step.frame.type === FRONTEND.query) connection.statements.delete('');
        return [step.frame.raw];
      }
      replies.closes.push({ isHidden: false });
      const isPortal = parseDescribeTarget(step.frame.body).kind === 'portal';
      return [isPortal ? step.frame.raw : encodeFrame(FRONTEND.close, 'S', NO_STATEMENT, '\0')];
    });
    return {
      bytes: output.length === 1 && output[0] ? output[0] : Buffer.concat(output),
      expected: replies,
    };
  }

  /** The instance has parsed a statement of this name. */
  confirm(name: string): void {
    this.unconfirmed.delete(name);
  }

  /** Forgets names whose Parse did not succeed, and portals when no transaction is open. */
  finishRequest(isInTransaction: boolean): void {
    this.unconfirmed.forEach((name) => this.byName.delete(name));
    this.unconfirmed.clear();
    if (!isInTransaction) this.portals.clear();
  }

  private findProblem(name: string): string | undefined {
    if (name === '') return undefined;
    if (this.byName.has(name)) return `prepared statement "${name}" already exists`;
    return this.byName.size < MAX_NAMES ? undefined : 'too many prepared statements';
  }

  private add(name: string, prepared: Prepared): void {
    this.byName.set(name, prepared);
    this.unconfirmed.add(name);
  }

  private decodeUse(frame: Frame): Step {
    const { type, body } = frame;
    if (type === FRONTEND.bind) {
      const { portal, statement } = parseBind(body);
      const prepared = this.byName.get(statement);
      if (!prepared) return { kind: 'other', frame };
      this.portals.set(portal, prepared.statements);
      return { kind: 'bind', frame, prepared };
    }
    if (type !== FRONTEND.describe && type !== FRONTEND.close) return { kind: 'other', frame };
    const { kind, name } = parseDescribeTarget(body);
    if (type === FRONTEND.close) {
      if (kind === 'statement') this.byName.delete(name);
      else this.portals.delete(name);
      return { kind: 'close', frame };
    }
    const prepared = kind === 'statement' ? this.byName.get(name) : undefined;
    return prepared
      ? { kind: 'describe', prepared, isUnnamed: name === '' }
      : { kind: 'other', frame };
  }
}
