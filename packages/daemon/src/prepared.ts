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

const MAX_STATEMENT_NAMES = 1_000;
/** Closed in place of a statement that stays on the connection; closing a missing name succeeds. */
const MISSING_STATEMENT = 'sp_none';
const KEY_HEX_DIGITS = 32;

/** A prepared statement of a session. */
interface PreparedStatement {
  /** Name on instance connections: a hash of text and types, which sessions can share. */
  readonly key: string;
  /** Body of the Parse message after the name. */
  readonly parseBody: Buffer;
  readonly statements: readonly Statement[];
}

/** One message of a request, with its prepared statement resolved. */
type Step =
  | { readonly kind: 'parse'; readonly name: string; readonly prepared: PreparedStatement }
  | { readonly kind: 'bind'; readonly frame: Frame; readonly prepared: PreparedStatement }
  | { readonly kind: 'describe'; readonly prepared: PreparedStatement; readonly isUnnamed: boolean }
  | { readonly kind: 'close' | 'other'; readonly frame: Frame };

/** A request with its statement names resolved, independent of the connection that runs it. */
export interface DecodedRequest {
  readonly steps: readonly Step[];
  /** Statements that the request runs. */
  readonly executed: readonly Statement[];
  /** Statements that the request prepares. */
  readonly prepared: readonly Statement[];
  /** The reason why the request cannot run. */
  readonly problem?: string;
}

/** Parse and Close messages of a request in order, to match their responses. */
export interface ExpectedResponses {
  readonly parses: { readonly target: string; readonly key: string; readonly name?: string }[];
  readonly closes: { readonly target?: string; readonly isHidden: boolean }[];
}

/** A request encoded for one connection, and the responses to match. */
export interface EncodedRequest {
  readonly bytes: Buffer;
  readonly expected: ExpectedResponses;
}

function createPreparedStatement(parseBody: Buffer): PreparedStatement {
  const hash = createHash('sha256').update(parseBody).digest('hex').slice(0, KEY_HEX_DIGITS);
  const text = parseBody.toString('utf8', 0, parseBody.indexOf(0));
  return { key: `sp_${hash}`, parseBody, statements: classifyCached(text) };
}

/** Cached by the rest of the Parse message, with one latin1 character per byte. */
const statementCache = new TextCache((parseBody) =>
  createPreparedStatement(Buffer.from(parseBody, 'latin1')),
);

/** The prepared statements and portals of one session, by the names that the caller uses. */
export class PreparedStatements {
  private readonly byName = new Map<string, PreparedStatement>();

  private readonly portals = new Map<string, readonly Statement[]>();

  /** Names whose Parse has not been confirmed by an instance. */
  private readonly unconfirmed = new Set<string>();

  /** Resolves the caller's names; new names are kept after `endRequest` only if confirmed. */
  decode(request: CallerRequest): DecodedRequest {
    const executed: Statement[] = [];
    const prepared: Statement[] = [];
    let problem: string | undefined;
    const steps = request.frames.map((frame): Step => {
      if (frame.type === FRONTEND.parse) {
        const { name } = parseParse(frame.body);
        problem ??= this.findProblem(name);
        const statement = statementCache.find(
          frame.body.toString('latin1', Buffer.byteLength(name) + 1),
        );
        if (problem === undefined) this.add(name, statement);
        prepared.push(...statement.statements);
        return { kind: 'parse', name, prepared: statement };
      }
      if (frame.type === FRONTEND.query) {
        executed.push(...classifyCached(parseQuery(frame.body)));
      }
      if (frame.type === FRONTEND.execute) {
        const portal = frame.body.toString('utf8', 0, frame.body.indexOf(0));
        executed.push(...(this.portals.get(portal) ?? []));
      }
      return this.decodeReference(frame);
    });
    return { steps, executed, prepared, ...(problem === undefined ? {} : { problem }) };
  }

  /** Encodes a request for a connection, and parses statements that the connection lacks first. */
  encode({ steps }: DecodedRequest, connection: InstanceConnection): EncodedRequest {
    /** Statements that the messages so far change on the connection: the key by name. */
    const changed = new Map<string, string>();
    const findKey = (target: string): string | undefined =>
      changed.get(target) ?? connection.statements.get(target);
    const expected: ExpectedResponses = { parses: [], closes: [] };
    const parse = (
      { key, parseBody }: PreparedStatement,
      target: string,
      name?: string,
    ): readonly Buffer[] => {
      const output: Buffer[] = [];
      if (target !== '' && findKey(target) !== undefined) {
        output.push(encodeFrame(FRONTEND.close, 'S', target, '\0'));
        expected.closes.push({ target, isHidden: true });
      }
      changed.set(target, key);
      // Parsing the unnamed statement destroys the old one even when it fails.
      if (target === '') connection.statements.delete('');
      expected.parses.push({ target, key, ...(name === undefined ? {} : { name }) });
      return [...output, encodeFrame(FRONTEND.parse, target, '\0', parseBody)];
    };
    const prepare = (prepared: PreparedStatement, target: string): readonly Buffer[] =>
      findKey(target) === prepared.key ? [] : parse(prepared, target);
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
      expected.closes.push({ isHidden: false });
      const isPortal = parseDescribeTarget(step.frame.body).kind === 'portal';
      return [
        isPortal ? step.frame.raw : encodeFrame(FRONTEND.close, 'S', MISSING_STATEMENT, '\0'),
      ];
    });
    return {
      bytes: output.length === 1 && output[0] ? output[0] : Buffer.concat(output),
      expected,
    };
  }

  /** Records that an instance has parsed the statement. */
  confirm(name: string): void {
    this.unconfirmed.delete(name);
  }

  /** Removes names whose Parse did not succeed, and all portals when no transaction is open. */
  endRequest(isInTransaction: boolean): void {
    this.unconfirmed.forEach((name) => this.byName.delete(name));
    this.unconfirmed.clear();
    if (!isInTransaction) this.portals.clear();
  }

  private findProblem(name: string): string | undefined {
    if (name === '') return undefined;
    if (this.byName.has(name)) return `prepared statement "${name}" already exists`;
    return this.byName.size < MAX_STATEMENT_NAMES ? undefined : 'too many prepared statements';
  }

  private add(name: string, prepared: PreparedStatement): void {
    this.byName.set(name, prepared);
    this.unconfirmed.add(name);
  }

  private decodeReference(frame: Frame): Step {
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
