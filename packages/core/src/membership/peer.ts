import type { Millis } from '../clock.js';
import type { GroupRecord } from '../group.js';
import type { PrimaryObservation } from '../takeover/primarymonitor.js';
import type { Vm } from './vm.js';

/** State of a VM as another one sees it. A higher incarnation replaces every lower one. */
export interface MemberUpdate {
  readonly vm: Vm;
  readonly incarnation: number;
  readonly state: 'live' | 'suspect' | 'leaving' | 'dead';
}

/** A group's record with the version that the platform gave it. */
export interface RecordUpdate {
  readonly record: GroupRecord;
  readonly version: number;
}

/** A release note as stored by the platform. */
export interface NoteUpdate {
  readonly number: number;
  /** JSON text of the note. */
  readonly text: string;
}

/** A database instance that the platform's VM list shows as leaving. */
export interface LeavingInstance {
  readonly id: string;
  /** Time at which the list was read, on the receiver's clock. */
  readonly reportedAt: Millis;
}

/** One message of the regular exchange between two daemons; the answer has the same form. */
export interface PeerExchange {
  readonly from: string;
  /** Number of the newest note in force at the sender. */
  readonly noteNumber: number;
  readonly members: readonly MemberUpdate[];
  readonly observations: readonly PrimaryObservation[];
  readonly records: readonly RecordUpdate[];
  readonly notes: readonly NoteUpdate[];
  readonly leaving?: readonly LeavingInstance[];
}

/** What a daemon holds of an instance's capacity, and what it asks the lender for. */
export interface BorrowRequest {
  readonly vm: string;
  readonly group: string;
  readonly instance: string;
  readonly heldConnections: number;
  readonly wantedConnections: number;
  readonly heldConcurrency: number;
  readonly wantedConcurrency: number;
  readonly heldLongPermits: number;
  readonly wantedLongPermits: number;
  /** Number of the last grant accepted from this lender; 0 when there is none. */
  readonly echo: number;
}

/** The lender's answer; it replaces the previous grant. */
export interface BorrowGrant {
  readonly group: string;
  readonly instance: string;
  readonly connections: number;
  readonly concurrency: number;
  readonly longPermits: number;
  /** Increases with each grant of a lender. */
  readonly number: number;
  /** The holder renews within this time; the lender reclaims the share only much later. */
  readonly renewWithinMs: Millis;
}

/** The calls between two daemons. They reject when no answer arrives in time. */
export abstract class PeerLink {
  abstract exchange(message: PeerExchange): Promise<PeerExchange>;

  abstract borrow(request: BorrowRequest): Promise<BorrowGrant>;

  abstract close(): void;
}

/** A subsystem that takes part in the regular exchange, such as release notes or observations. */
export abstract class ExchangeFeature {
  /** Returns this feature's part of a message to `peer`, given the last message from it. */
  abstract collect(
    peer: string,
    lastMessage: PeerExchange | undefined,
    now: Millis,
  ): Partial<PeerExchange>;

  abstract handle(message: PeerExchange, now: Millis): void;
}
