import type { Statement } from '@shallotpick/core';
import type { InstanceConnection } from './connection.js';

/** Parameters whose SET and RESET the proxy tracks. */
const TRACKED_PARAMETERS: ReadonlySet<string> = new Set([
  'application_name',
  'bytea_output',
  'client_encoding',
  'client_min_messages',
  'datestyle',
  'default_transaction_deferrable',
  'default_transaction_isolation',
  'extra_float_digits',
  'idle_in_transaction_session_timeout',
  'intervalstyle',
  'lock_timeout',
  'search_path',
  'statement_timeout',
  'timezone',
  'work_mem',
]);
/** Startup parameters that the proxy handles itself and does not replay. */
const NOT_FROM_STARTUP: ReadonlySet<string> = new Set(['application_name', 'client_encoding']);
const SET_PATTERN =
  /^set\s+(?:session\s+)?(?:(time\s+zone)\s+|([\w.]+)\s*(?:=|\sto\s)\s*)([\s\S]+)$/i;
/** Callers cannot change it, so that the proxy may use it on the connections of an instance. */
const READ_ONLY_PARAMETER = 'default_transaction_read_only';
const READ_ONLY_STATEMENT = `SET ${READ_ONLY_PARAMETER} TO 'on'`;
const TRANSACTION_SCOPED_SET = /^set\s+(?:local|transaction|constraints)\b/i;

/** A parameter change; without `statement` it resets to the default, without `name` all of them. */
interface ParameterChange {
  readonly name: string | undefined;
  readonly statement: string | undefined;
}

function parseChange(text: string): ParameterChange | undefined {
  const reset = /^reset\s+(time\s+zone|\w+)$/i.exec(text)?.[1]?.toLowerCase();
  if (reset === 'all') return { name: undefined, statement: undefined };
  if (reset) return { name: reset.startsWith('time ') ? 'timezone' : reset, statement: undefined };
  const set = SET_PATTERN.exec(text);
  if (!set) return undefined;
  const name = set[1] ? 'timezone' : set[2]?.toLowerCase();
  return { name, statement: /^(?:default|local)$/i.test(set[3]?.trim() ?? '') ? undefined : text };
}

function applyChange(values: Map<string, string>, { name, statement }: ParameterChange): void {
  if (name === undefined) values.clear();
  else if (statement === undefined) values.delete(name);
  else values.set(name, statement);
}

/** The session parameters of one caller, replayed on each connection that runs its requests. */
export class SessionParameters {
  private readonly values = new Map<string, string>();

  /** Changes in the open transaction, discarded on ROLLBACK. */
  private pending: ParameterChange[] = [];

  /** Applies the tracked parameters of the startup message. */
  applyStartup(parameters: ReadonlyMap<string, string>): void {
    parameters.forEach((value, givenName) => {
      const name = givenName.toLowerCase();
      if (!TRACKED_PARAMETERS.has(name) || NOT_FROM_STARTUP.has(name)) return;
      this.values.set(name, `SET ${name} TO '${value.replaceAll("'", "''")}'`);
    });
  }

  /** Returns why a SET or RESET is refused; undefined when it may run. */
  findProblem({ text }: Statement): string | undefined {
    if (TRANSACTION_SCOPED_SET.test(text)) return undefined;
    const change = parseChange(text);
    if (!change) return 'this form of SET is not supported';
    if (change.name === undefined || TRACKED_PARAMETERS.has(change.name)) return undefined;
    return `the parameter "${change.name}" cannot be changed through the proxy`;
  }

  hasPending(): boolean {
    return this.pending.length > 0;
  }

  /** Adds the changes of successful SET and RESET statements. */
  addPending(statements: readonly Statement[]): void {
    statements
      .filter(({ kind, text }) => kind === 'set' && !TRANSACTION_SCOPED_SET.test(text))
      .forEach(({ text }) => {
        const change = parseChange(text);
        if (change) this.pending.push(change);
      });
  }

  /** Applies the pending changes on commit, to the connection too if given, or discards them. */
  finishTransaction(committed: boolean, connection?: InstanceConnection): void {
    const { pending } = this;
    this.pending = [];
    if (!committed) return;
    pending.forEach((change) => {
      applyChange(this.values, change);
      if (connection) applyChange(connection.parameters, change);
    });
  }

  /**
   * The statements that set this session's parameters on a connection; undefined if none.
   *
   * @param isReadOnly whether the instance must refuse writes of the next request
   */
  formatReplay({ parameters }: InstanceConnection, isReadOnly: boolean): string | undefined {
    const values = this.listValues(isReadOnly);
    const resets = [...parameters.keys()].filter((name) => !values.has(name));
    const sets = [...values].filter(([name, text]) => parameters.get(name) !== text);
    if (resets.length + sets.length === 0) return undefined;
    return [...resets.map((name) => `RESET ${name}`), ...sets.map(([, text]) => text)].join('; ');
  }

  /** Records on the connection that the replay has run. */
  applyReplay({ parameters }: InstanceConnection, isReadOnly: boolean): void {
    parameters.clear();
    this.listValues(isReadOnly).forEach((text, name) => parameters.set(name, text));
  }

  private listValues(isReadOnly: boolean): ReadonlyMap<string, string> {
    if (!isReadOnly) return this.values;
    return new Map([...this.values, [READ_ONLY_PARAMETER, READ_ONLY_STATEMENT]]);
  }
}
