import {
  type FenceAnswer,
  type InstanceStatus,
  type LogPosition,
  MAX_TERM,
} from '@shallotpick/core';
import { InvalidAnswerError } from './errors.js';

/** A result row of a control function: the values by column name. */
export type Row = Readonly<Record<string, string>>;

/** What an answer leaves to the caller of a control function. */
type StatusContext = Pick<InstanceStatus, 'instance' | 'requestedAt'>;

const COUNT = /^\d{1,15}$/;
const INCARNATION = /^[\w.:-]{0,100}$/;

// Statuses arrive each millisecond while commits wait, so no schema library is used here.

function refuseColumn(column: string): never {
  throw new InvalidAnswerError(`the instance answered with an invalid value in: ${column}`);
}

function readCount(row: Row, column: string, max = Number.MAX_SAFE_INTEGER): number {
  const text = row[column] ?? '';
  const count = COUNT.test(text) ? Number(text) : Number.NaN;
  return count <= max ? count : refuseColumn(column);
}

function readChoice<T extends string>(row: Row, column: string, choices: readonly T[]): T {
  return choices.find((choice) => choice === row[column]) ?? refuseColumn(column);
}

/** Reads the incarnation of the data; empty for an instance that reports none. */
function readIncarnation({ incarnation = '' }: Row): string {
  return INCARNATION.test(incarnation) ? incarnation : refuseColumn('incarnation');
}

const readPosition = (row: Row, kind: 'durable' | 'applied'): LogPosition => ({
  term: readCount(row, `${kind}_term`, MAX_TERM),
  offset: readCount(row, `${kind}_offset`),
});

/**
 * Parses the row of `shallotpick_status()`.
 *
 * @throws InvalidAnswerError naming a column that is missing or invalid.
 */
export function parseStatus(row: Row, { instance, requestedAt }: StatusContext): InstanceStatus {
  return {
    instance,
    incarnation: readIncarnation(row),
    role: readChoice(row, 'role', ['primary', 'replica']),
    fenceTerm: readCount(row, 'fence_term', MAX_TERM),
    durable: readPosition(row, 'durable'),
    applied: readPosition(row, 'applied'),
    following: row.following ?? refuseColumn('following'),
    connections: readCount(row, 'connections'),
    running: readCount(row, 'running'),
    requestedAt,
  };
}

/**
 * Parses the row of `shallotpick_fence(term)`.
 *
 * @throws InvalidAnswerError naming a column that is missing or invalid.
 */
export function parseFence(row: Row, instance: string, term: number): FenceAnswer {
  return {
    instance,
    incarnation: readIncarnation(row),
    term,
    granted: readChoice(row, 'granted', ['t', 'f']) === 't',
    durable: readPosition(row, 'durable'),
  };
}
