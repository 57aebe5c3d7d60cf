export { Clock, ManualClock } from './clock.js';
export type { Millis } from './clock.js';
export { findContract, DEFAULT_CONTRACT, mergeContracts } from './contract.js';
export type { Contract, ContractMatch, ContractSubject } from './contract.js';
export { CompactedError, CoreError, InvalidNoteError, NotRunError } from './errors.js';
export { countMajority } from './group.js';
export type {
  DatabaseGroup,
  DatabaseInstance,
  GroupRecord,
  InstanceRole,
  InstanceStatus,
} from './group.js';
export {
  chooseLater,
  comparePositions,
  formatPosition,
  hasPosition,
  LOG_START,
  parsePosition,
} from './position.js';
export type { LogPosition } from './position.js';
export { classifyStatement, classifyStatements } from './statement.js';
export type { Statement, StatementKind } from './statement.js';
export { computeCostKey, CostBook, formatShape } from './cost.js';
export { computeLimits, PAUSE_MS, QuotaHolder, RECLAIM_MS, RENEW_WITHIN_MS } from './quota.js';
export type { HolderOptions, QuotaLimits } from './quota.js';
export { QuotaLender } from './lender.js';
export { divideShares, EMPTY_SHARES, mapShares, SHARE_NAMES } from './share.js';
export type { Claim, ShareName, Shares } from './share.js';
export { AdmissionQueue } from './admission.js';
export type { AdmissionDecision, AdmissionOptions, Capacity } from './admission.js';
export type { Work } from './lane.js';
export { DAMPING_MS, FailoverCoordinator } from './failover.js';
export { FenceTally } from './tally.js';
export type {
  FailoverAction,
  FailoverOptions,
  FenceAnswer,
  WriteAction,
  WriteOutcome,
} from './action.js';
export { SUSPECT_AFTER_MS } from './monitor.js';
export type { PrimaryObservation } from './monitor.js';
export { MajorityTracker } from './majority.js';
export type {
  MajorityDecision,
  MajorityReading,
  PendingArrival,
  PendingCommit,
} from './majority.js';
export { NoteChain, parseNoteText } from './chain.js';
export type { ChainDecision, NumberedNote } from './chain.js';
export { compareConfigurations } from './difference.js';
export type { ConfigurationChange, FieldChange } from './difference.js';
export {
  loadChain,
  loadConfiguration,
  loadNotes,
  loadSnapshot,
  runSubmission,
  writeSnapshot,
} from './history.js';
export {
  applyNote,
  checkNote,
  EMPTY_CONFIGURATION,
  formatGroupKey,
  formatNoteKey,
  formatPath,
  MAX_VALUE_BYTES,
  noteSchema,
  parseNote,
  parseNoteKey,
} from './note.js';
export type { Configuration, NoteIssue, ParsedNote, ReleaseNote } from './note.js';
export { createShards, formatShardKey, ShardCollector, SNAPSHOT_INTERVAL } from './snapshot.js';
export type { SnapshotShard } from './snapshot.js';
export { MAX_SPREAD_BYTES, Spread } from './spread.js';
export { computeHash, rankVms } from './placement.js';
export { Platform } from './platform.js';
export type { PlatformListing, PlatformObject, PlatformWrite, VmListing } from './platform.js';
export { findPrimary, Router, RoutingView, StatusView } from './router.js';
export type { GroupView, Route, RouteRequest } from './router.js';
export { InstanceLink } from './link.js';
export { ExchangeFeature, PeerLink } from './peer.js';
export type {
  BorrowGrant,
  BorrowRequest,
  LeavingInstance,
  MemberUpdate,
  NoteUpdate,
  PeerExchange,
  RecordUpdate,
} from './peer.js';
export { FixedMembership, MembershipView } from './vm.js';
export type { Vm } from './vm.js';
export { formatNoteSchema } from './schema.js';
export { ALL_HOME_VMS, HomeTable, HOMES_PER_ZONE } from './home.js';
export { SessionFloors } from './floor.js';
export { createBackoff, RetryBudget } from './retry.js';
export type { BackoffOptions, RetryBudgetOptions } from './retry.js';
export { parseScript } from './scan.js';
export type { ScannedStatement } from './scan.js';
export { compareMembers } from './member.js';
export { Membership } from './membership.js';
export type { MembershipMessage, MembershipOptions } from './membership.js';
export { PositionSamples } from './samples.js';
export type { PositionSample } from './samples.js';
export { InstanceRoster } from './roster.js';
export type { RegisteredInstance } from './roster.js';
export { FenceLedger } from './ledger.js';
export { findNeed } from './need.js';
export { TakeoverCoordinator } from './takeover.js';
export type { TakeoverOptions } from './takeover.js';
export type {
  FenceReport,
  InstanceView,
  PromotionAnswer,
  PromotionRecord,
  TakeoverAction,
  TakeoverPlan,
} from './promotion.js';
export { Backoff } from './backoff.js';
