import type { Millis } from '../clock.js';

/** Selects the statements that a contract covers. Every given field must match. */
export interface ContractMatch {
  readonly group?: string;
  readonly user?: string;
  readonly applicationName?: string;
  /** Compared with the statement's text without leading comments, ignoring case. */
  readonly statementPrefix?: string;
}

/** An operator's requirements for a set of statements. */
export interface Contract {
  readonly name: string;
  readonly match: ContractMatch;
  /** Greatest age of data that a read may return; 0 requires the primary. */
  readonly maxAgeMs: Millis;
  readonly length: 'short' | 'long';
  /** `never`: the proxy sends the work at most once. */
  readonly repeat: 'allowed' | 'never';
}

/** Contract of the statements that no other contract matches. */
export const DEFAULT_CONTRACT: Contract = {
  name: 'default',
  match: {},
  maxAgeMs: 0,
  length: 'short',
  repeat: 'allowed',
};

/** The properties of a statement on which contracts match. */
export interface ContractSubject {
  readonly group: string;
  readonly user: string;
  readonly applicationName: string;
  readonly statement: string;
  /** Contract named in the statement's comment. */
  readonly named?: string;
}

function hasMatch(match: ContractMatch, subject: ContractSubject): boolean {
  if (Object.keys(match).length === 0) return false;
  if (match.group !== undefined && match.group !== subject.group) return false;
  if (match.user !== undefined && match.user !== subject.user) return false;
  if (match.applicationName !== undefined && match.applicationName !== subject.applicationName) {
    return false;
  }
  if (match.statementPrefix === undefined) return true;
  const prefix = match.statementPrefix.toLowerCase();
  return subject.statement.slice(0, prefix.length).toLowerCase() === prefix;
}

/** Finds the contract of a statement: the named one, else the first that matches. */
export function findContract(contracts: readonly Contract[], subject: ContractSubject): Contract {
  const named = subject.named && contracts.find((contract) => contract.name === subject.named);
  if (named) return named;
  return contracts.find((contract) => hasMatch(contract.match, subject)) ?? DEFAULT_CONTRACT;
}

/** Combines the contracts of statements that run as one request: the strictest of each field. */
export function mergeContracts(contracts: readonly Contract[]): Contract {
  const [first = DEFAULT_CONTRACT] = contracts;
  return {
    ...first,
    maxAgeMs: Math.min(first.maxAgeMs, ...contracts.map(({ maxAgeMs }) => maxAgeMs)),
    length: contracts.some(({ length }) => length === 'long') ? 'long' : 'short',
    repeat: contracts.some(({ repeat }) => repeat === 'never') ? 'never' : 'allowed',
  };
}
