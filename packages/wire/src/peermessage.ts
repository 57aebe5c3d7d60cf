import { create } from '@bufbuild/protobuf';
import {
  type BorrowGrant,
  type BorrowRequest,
  checkGroupRecord,
  type MembershipMessage,
  type MemberUpdate,
  type Millis,
  type NoteUpdate,
  type PeerExchange,
  type PrimaryObservation,
  type RecordUpdate,
} from '@shallotpick/core';
import { ProtocolError } from './errors.js';
import {
  type BorrowMessage,
  BorrowMessageSchema,
  type ExchangeMessage,
  ExchangeMessageSchema,
  type GrantMessage,
  GrantMessageSchema,
  type GroupRecord,
  type Member,
  MemberState,
  type Note,
  type Observation,
  type PingMessage,
  PingMessageSchema,
  RecordPhase,
} from './generated/peer_pb.js';

/** Largest message between daemons; the platform stores release notes of up to 1 MB. */
export const MAX_PEER_MESSAGE_BYTES = 4 * 1024 * 1024;
const MAX_AGE_MS: Millis = 2 ** 31;
/** Greatest incarnation of a VM; they begin with the time of its start in milliseconds. */
const MAX_INCARNATION = 2 ** 52;

const RECORD_PHASE_NAMES: ReadonlyMap<RecordPhase, 'fencing' | 'named'> = new Map([
  [RecordPhase.FENCING, 'fencing'],
  [RecordPhase.NAMED, 'named'],
]);

const MEMBER_STATES = {
  live: MemberState.LIVE,
  suspect: MemberState.SUSPECT,
  leaving: MemberState.LEAVING,
  dead: MemberState.DEAD,
} as const;

const MEMBER_STATE_NAMES: ReadonlyMap<MemberState, MemberUpdate['state']> = new Map(
  Object.entries(MEMBER_STATES).map(([name, code]) => [code, name as MemberUpdate['state']]),
);

function toNumber(value: bigint): number {
  const number = Number(value);
  if (!Number.isSafeInteger(number)) throw new ProtocolError(`number ${value} is out of range`);
  return number;
}

const encodeMember = ({ vm, incarnation, state }: MemberUpdate) => ({
  vm,
  incarnation: BigInt(incarnation),
  state: MEMBER_STATES[state],
});

/** Called for each entry of a message that is skipped because it is invalid. */
export type EntryListener = (entry: string) => void;

/** Decodes entries one by one, so that an invalid one does not hide the others. */
function decodeEach<T, U>(
  entries: readonly T[],
  decode: (entry: T) => U | undefined,
  name: (entry: T) => string,
  onSkipped: EntryListener,
): readonly U[] {
  return entries.flatMap((entry) => {
    const decoded = decode(entry);
    if (decoded === undefined) onSkipped(name(entry));
    return decoded === undefined ? [] : [decoded];
  });
}

/** Decodes a number; undefined when it has no exact value. */
function findNumber(value: bigint): number | undefined {
  const number = Number(value);
  return Number.isSafeInteger(number) ? number : undefined;
}

function decodeMember({ vm, incarnation, state }: Member): MemberUpdate | undefined {
  const name = MEMBER_STATE_NAMES.get(state);
  const number = findNumber(incarnation);
  // A VM refutes what others tell of it with a greater incarnation.
  if (!vm?.id || !name || number === undefined || number > MAX_INCARNATION) return undefined;
  const { id, zone, host, peerPort } = vm;
  return { vm: { id, zone, host, peerPort }, incarnation: number, state: name };
}

/** Decodes membership entries; skips those with a state that this version does not know. */
const decodeMembers = (
  members: readonly Member[],
  onSkipped: EntryListener,
): readonly MemberUpdate[] =>
  decodeEach(members, decodeMember, ({ vm }) => `member ${vm?.id ?? ''}`, onSkipped);

/** Computes the age to send in place of a time; clocks of two VMs have different origins. */
const computeAge = (at: Millis, now: Millis): Millis =>
  Math.round(Math.min(Math.max(0, now - at), MAX_AGE_MS));

const encodeObservation = ({ observedAt, term, ...rest }: PrimaryObservation, now: Millis) => ({
  ...rest,
  term: BigInt(term),
  ageMs: computeAge(observedAt, now),
});

function decodeObservation(observation: Observation, now: Millis): PrimaryObservation | undefined {
  const { vm, zone, group, reachable, ageMs } = observation;
  const term = findNumber(observation.term);
  if (term === undefined) return undefined;
  return { vm, zone, group, term, reachable, observedAt: now - ageMs };
}

const encodeRecord = ({ record, version }: RecordUpdate) => ({
  ...record,
  incarnations: { ...record.incarnations },
  term: BigInt(record.term),
  phase: record.phase === 'named' ? RecordPhase.NAMED : RecordPhase.FENCING,
  primary: record.primary ?? undefined,
  version: BigInt(version),
});

function decodeRecord(message: GroupRecord): RecordUpdate | undefined {
  const { group, phase, primary, attempt, writer, incarnations } = message;
  const version = findNumber(message.version);
  const record = checkGroupRecord({
    group,
    term: findNumber(message.term),
    phase: RECORD_PHASE_NAMES.get(phase),
    primary: primary ?? null,
    attempt,
    writer,
    ...(Object.keys(incarnations).length > 0 && { incarnations }),
  });
  return record && version !== undefined ? { record, version } : undefined;
}

function decodeNote({ number, text }: Note): NoteUpdate | undefined {
  const exact = findNumber(number);
  return exact === undefined ? undefined : { number: exact, text };
}

/** Encodes a ping or its response. */
export function encodePing(from: string, { members, digest }: MembershipMessage): PingMessage {
  return create(PingMessageSchema, { from, members: members.map(encodeMember), digest });
}

/** Decodes a ping or its response. */
export function decodePing(
  message: PingMessage,
  onSkipped: EntryListener = () => undefined,
): MembershipMessage & { readonly from: string } {
  const { from, digest, members } = message;
  return { from, digest, members: decodeMembers(members, onSkipped) };
}

/** Encodes an exchange that is sent at `now` on the sender's clock. */
export function encodeExchange(exchange: PeerExchange, now: Millis): ExchangeMessage {
  return create(ExchangeMessageSchema, {
    from: exchange.from,
    noteNumber: BigInt(exchange.noteNumber),
    members: exchange.members.map(encodeMember),
    observations: exchange.observations.map((one) => encodeObservation(one, now)),
    records: exchange.records.map(encodeRecord),
    notes: exchange.notes.map(({ number, text }) => ({ number: BigInt(number), text })),
    leaving: exchange.leaving?.map(({ id, reportedAt }) => ({
      id,
      ageMs: computeAge(reportedAt, now),
    })),
  });
}

/**
 * Decodes an exchange that was received at `now` on the receiver's clock.
 *
 * @throws ProtocolError when the number of the sender's note is out of range.
 */
export function decodeExchange(
  message: ExchangeMessage,
  now: Millis,
  onSkipped: EntryListener = () => undefined,
): PeerExchange {
  const { observations, records, notes } = message;
  return {
    from: message.from,
    noteNumber: toNumber(message.noteNumber),
    members: decodeMembers(message.members, onSkipped),
    observations: decodeEach(
      observations,
      (one) => decodeObservation(one, now),
      ({ vm, group }) => `observation ${group} ${vm}`,
      onSkipped,
    ),
    records: decodeEach(records, decodeRecord, ({ group }) => `record ${group}`, onSkipped),
    notes: decodeEach(notes, decodeNote, ({ number }) => `note ${number}`, onSkipped),
    leaving: message.leaving.map(({ id, ageMs }) => ({ id, reportedAt: now - ageMs })),
  };
}

/** Encodes a request for a share of an instance's limits. */
export function encodeBorrow(request: BorrowRequest): BorrowMessage {
  return create(BorrowMessageSchema, request);
}

/** Decodes a request for a share of an instance's limits. */
export function decodeBorrow(message: BorrowMessage): BorrowRequest {
  const { $typeName, $unknown, ...request } = message;
  return request;
}

/** Encodes a grant of a share of an instance's limits. */
export function encodeGrant(grant: BorrowGrant): GrantMessage {
  return create(GrantMessageSchema, grant);
}

/** Decodes a grant of a share of an instance's limits. */
export function decodeGrant(message: GrantMessage): BorrowGrant {
  const { $typeName, $unknown, ...grant } = message;
  return grant;
}
