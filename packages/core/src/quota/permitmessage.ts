import type { Millis } from '../clock.js';
import type { AgedCounts } from './windowaccount.js';

/** Orders the copies of a lender's accounts: by term, then by sequence. */
export interface CopyVersion {
  /** Rises with each change of the lender. */
  readonly term: number;
  readonly sequence: number;
}

/** A lender's accounts at one moment; the other VMs keep them for its successor. */
export interface AccountsCopy extends CopyVersion {
  /** Time since the copy was made, to which the ages of its counts add. */
  readonly ageMs: Millis;
  /** What was issued to each organisation. */
  readonly accounts: Readonly<Record<string, AgedCounts>>;
}

/** Permits that a holder wants for an organisation. */
export interface WantedPermits {
  readonly organisation: string;
  readonly count: number;
}

/** Permits that ended unused. */
export interface ReturnedPermits extends WantedPermits {
  /** The interval of the lender's account in which they were issued. */
  readonly interval: number;
}

/** Asks a lender for permits, and acknowledges it as the lender of the part. */
export interface PermitRequest {
  readonly part: number;
  /** Time since the holder's process started. */
  readonly uptimeMs: Millis;
  /** The last answer of the lender that the holder has; absent before the first one. */
  readonly echo?: { readonly run: string; readonly sentAt: Millis } | undefined;
  /** The newest copy that the holder keeps. */
  readonly confirmed: CopyVersion;
  /** That copy itself, for a VM that does not lend yet. */
  readonly copy?: AccountsCopy | undefined;
  readonly wanted: readonly WantedPermits[];
  readonly returned: readonly ReturnedPermits[];
}

/** Permits that a lender issued to a holder. */
export interface GrantedPermits extends ReturnedPermits {
  /** True when the organisation has used up its limit. */
  readonly isLimited: boolean;
}

/** A lender's answer. */
export interface PermitAnswer {
  /** Names the lender's process. */
  readonly run: string;
  /** When it was sent, on the lender's clock. */
  readonly sentAt: Millis;
  readonly isLending: boolean;
  /** True when the process will never lend again, so that acknowledgements of it are void. */
  readonly isReleased: boolean;
  /** Absent when the holder has the newest copy. */
  readonly copy?: AccountsCopy | undefined;
  readonly granted: readonly GrantedPermits[];
}

/** The copy of a VM that has received none. */
export const NO_COPY: AccountsCopy = { term: 0, sequence: 0, ageMs: 0, accounts: {} };

/** Compares two versions; positive when the first one is newer. */
export function compareVersions(a: CopyVersion, b: CopyVersion): number {
  return a.term - b.term || a.sequence - b.sequence;
}
