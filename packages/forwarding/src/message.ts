import type { Operation } from '@shallotpick/engine';
import * as z from 'zod';
import { passedConfiguration } from './configurationschema.js';
import { LinkProtocolError } from './errors.js';
import { permitAnswer, permitRequest } from './permitschema.js';

/** Version of the link protocol; VMs of different versions don't link. */
export const LINK_VERSION = 1;

/**
 * Optional parts of the protocol that this build knows. VMs of two builds run side by side during a
 * rolling restart, and unknown fields are ignored.
 */
export const LINK_FEATURES = ['organisations', 'permits', 'configurations'] as const;

/** Longest name of a VM that is accepted; it stands in log lines and in a path of the store. */
const MAX_NAME_LENGTH = 1_000;

const name = z.string().max(MAX_NAME_LENGTH);
const count = z.number().int().nonnegative();
const position = z.object({ term: count, offset: count });
const access = z.enum(['read', 'write']);
const lease = count;

const operation = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('begin'), isReadOnly: z.boolean() }),
  z.object({ kind: z.literal('commit') }),
  z.object({ kind: z.literal('rollback') }),
  z.object({ kind: z.literal('read'), text: z.string() }),
  z.object({ kind: z.literal('write'), text: z.string() }),
  z.object({ kind: z.literal('execute'), name: z.string(), rest: z.string() }),
]);

/** Values and the prepared statement that a connection needs for the next operation. */
const session = z.object({
  variables: z.array(z.tuple([z.string(), z.string()])),
  prepared: z.object({ name: z.string(), access, shape: z.string() }).optional(),
});

const request = z.object({
  requestId: z.string(),
  kind: z.enum(['read', 'write']),
  maxAgeMs: z.number().nonnegative(),
  caller: z.string(),
  /** Time left until the work must have been admitted. */
  remainingMs: z.number(),
  priority: z.number(),
  isTransaction: z.boolean().optional(),
  /** Organisation in whose name the work runs; instances are told. Only homes that know the field get it. */
  organisation: z.string().optional(),
  database: z.string().optional(),
  /** Version of the configuration by which the VM has accepted the work. */
  version: count.optional(),
  /** Time left until the caller hopes for the answer to its whole operation. */
  objectiveMs: z.number().optional(),
  /** The session's last commit, and how long ago it was acknowledged. */
  lastCommit: z.object({ position, ageMs: z.number() }).optional(),
  excluded: z.array(z.string()),
});

/** Messages of the VM that passes work on. */
const entryMessage = z.discriminatedUnion('type', [
  z.object({ type: z.literal('hello'), version: z.number(), vm: name }),
  /** Asks for a connection of the home; `lease` names it on this link. */
  z.object({ type: z.literal('admit'), lease, group: z.string(), request }),
  z.object({
    type: z.literal('run'),
    lease,
    id: z.string().optional(),
    operation,
    after: position.optional(),
    session: session.optional(),
  }),
  z.object({ type: z.literal('busy'), lease, isBusy: z.boolean() }),
  /** Returns the connection to its pool. */
  z.object({ type: z.literal('release'), lease }),
  /** Closes the connection, which rolls back its transaction. */
  z.object({ type: z.literal('close'), lease }),
  /** Asks for permits of operations, and acknowledges the lender. */
  z.object({ type: z.literal('permits'), number: count, request: permitRequest }),
  /** Asks for the configuration in force at the home. */
  z.object({ type: z.literal('configuration'), number: count }),
  /** `number` counts the pings of the link. */
  z.object({ type: z.literal('ping'), number: count.optional() }),
]);

const verdict = z.enum([
  'overloaded',
  'aborted',
  'lagging',
  'readOnly',
  'wrongInstance',
  'tooManyConnections',
  'failed',
  'timedOut',
  'unknownOutcome',
  'unknownStatement',
  'unknownDatabase',
  'unauthenticated',
  'malformed',
]);

const reply = z.object({
  rows: z.array(z.string()),
  digest: z.string().optional(),
  failure: z.object({ verdict, reason: z.string() }).optional(),
  state: z.enum(['idle', 'open', 'failed']),
  position: position.optional(),
});

/** Messages of the home that serves the work. */
const homeMessage = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('granted'),
    lease,
    instance: z.string(),
    isLeader: z.boolean(),
    after: position.optional(),
    latencyMs: z.number(),
  }),
  /** The work has not run; with `mayTryOther` another home may serve it. */
  z.object({
    type: z.literal('refused'),
    lease,
    reason: z.string(),
    mayTryOther: z.boolean(),
  }),
  /** The reply to the oldest operation of the lease without one. */
  z.object({ type: z.literal('reply'), lease, reply }),
  /** The connection to the instance failed; operations without a reply may have run. */
  z.object({ type: z.literal('broken'), lease, reason: z.string() }),
  /** Answers the request for permits with the number. */
  z.object({ type: z.literal('issued'), number: count, answer: permitAnswer }),
  /** Answers the request for the configuration with the number; without one when none is known. */
  z.object({
    type: z.literal('configured'),
    number: count,
    configuration: passedConfiguration.optional(),
    /** Time since the home has proved it to be the newest. */
    provedMsAgo: z.number().nonnegative().optional(),
  }),
  z.object({
    ...{ type: z.literal('status'), isIsolated: z.boolean(), isDraining: z.boolean() },
    /** What the home can do beyond the first build that forwards; an older one names nothing. */
    features: z.array(name).optional(),
    /** Number of the ping that it answers; absent when it answers none. */
    answers: count.optional(),
    /** The newest version of the configuration that the home has proved, and when. */
    configuration: z.object({ version: z.number(), ageMs: z.number().nonnegative() }).optional(),
  }),
]);

/** A message of the VM that passes work on to a home. */
export type EntryMessage = z.infer<typeof entryMessage>;

/** A message of a home. */
export type HomeMessage = z.infer<typeof homeMessage>;

/** The request part of an `admit` message. */
export type ForwardedRequest = z.infer<typeof request>;

/** The operations that are passed on. */
export type ForwardedOperation = z.infer<typeof operation>;

/** The session part of a `run` message. */
export type ForwardedSession = z.infer<typeof session>;

const FORWARDED_KINDS: ReadonlySet<string> = new Set(
  operation.options.map(({ shape }) => shape.kind.value),
);

/** True for an operation that may stand in a `run` message. */
export function isForwardedOperation(candidate: Operation): candidate is ForwardedOperation {
  return FORWARDED_KINDS.has(candidate.kind);
}

function decode<T>(schema: z.ZodType<T>, message: unknown): T {
  const parsed = schema.safeParse(message);
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  throw new LinkProtocolError(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}`);
}

/**
 * Decodes a message of the VM that passes work on.
 *
 * @throws LinkProtocolError when it is none.
 */
export function decodeEntryMessage(message: unknown): EntryMessage {
  return decode(entryMessage, message);
}

/**
 * Decodes a message of a home.
 *
 * @throws LinkProtocolError when it is none.
 */
export function decodeHomeMessage(message: unknown): HomeMessage {
  return decode(homeMessage, message);
}
