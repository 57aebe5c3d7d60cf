export { Clock, ManualClock } from './clock.js';
export type { Millis } from './clock.js';
export { ByteCollector } from './bytecollector.js';
export { computeClientLimits } from './clientlimits.js';
export type { ClientLimitOverrides, ClientLimits } from './clientlimits.js';
export { MemoryBudget } from './memorybudget.js';
export type { MemoryAccount } from './memorybudget.js';
export { ConfigurationLease } from './configurationlease.js';
export type { ConfigurationProof } from './configurationlease.js';
export { classifyPower, computePower } from './vmpower.js';
export type { VmLimits } from './vmpower.js';
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
  MAX_TERM,
} from './position.js';
export { checkGroupRecord, incarnationSchema, parseGroupRecord } from './grouprecord.js';
export { type Incarnations, isCounted } from './incarnations.js';
export { RejoinTracker } from './rejoin.js';
export type { LogPosition } from './position.js';
export { classifyStatement, classifyStatements } from './statement.js';
export type { Statement, StatementKind } from './statement.js';
export { computeCostKey, CostEstimator, formatFingerprint } from './cost.js';
export {
  computeLimits,
  PAUSE_THRESHOLD_MS,
  QuotaHolder,
  RECLAIM_DELAY_MS,
  RENEW_WITHIN_MS,
} from './quota.js';
export type { QuotaHolderOptions, QuotaLimits } from './quota.js';
export { QuotaLender } from './lender.js';
export { divideShares, EMPTY_SHARES, mapShares, SHARE_NAMES } from './share.js';
export type { ShareDemand, ShareName, Shares } from './share.js';
export { AdmissionQueue } from './admission.js';
export type { AdmissionDecision, AdmissionOptions } from './admission.js';
export { SlotQueue } from './slotqueue.js';
export type { ExpectedWait, QueueDecision, RefusalCause } from './slotqueue.js';
export { SlotTable } from './slottable.js';
export type { Capacity, WorkLength } from './slottable.js';
export { WorkQueue } from './workqueue.js';
export type { RankedWork, WorkQueueOptions } from './workqueue.js';
export { WorkCosts } from './workcost.js';
export type { LearntCost } from './workcost.js';
export { ConcurrencyLimit } from './concurrencylimit.js';
export type { LimitRange } from './concurrencylimit.js';
export { UsualLatencies } from './usuallatency.js';
export type { Work } from './fairqueue.js';
export { FailoverCoordinator } from './failover.js';
export { COOLDOWN_MS } from './failovertrigger.js';
export { FenceQuorum } from './fencequorum.js';
export type {
  FailoverAction,
  FailoverOptions,
  FenceAnswer,
  WriteAction,
  WriteOutcome,
} from './failovertypes.js';
export { UNREACHABLE_AFTER_MS } from './primarymonitor.js';
export type { PrimaryObservation } from './primarymonitor.js';
export { MajorityTracker } from './majority.js';
export type {
  MajorityDecision,
  MajorityReading,
  PendingSession,
  PendingCommit,
} from './majority.js';
export { NoteChain, parseNoteText } from './chain.js';
export type { ChainDecision, NumberedNote } from './chain.js';
export { compareConfigurations } from './configurationdiff.js';
export type { ConfigurationChange, FieldChange } from './configurationdiff.js';
export {
  loadChain,
  loadConfiguration,
  loadNotes,
  loadSnapshot,
  submitNote,
  writeSnapshot,
} from './notestore.js';
export {
  applyNote,
  checkNote,
  EMPTY_CONFIGURATION,
  formatGroupKey,
  parseGroupKey,
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
export { MAX_GOSSIP_BYTES, NoteGossip } from './notegossip.js';
export { computeHash, rankVms } from './rendezvous.js';
export { Platform } from './platform.js';
export type {
  PlatformListing,
  PlatformObject,
  PlatformWriteOutcome,
  ListedVm,
} from './platform.js';
export { findPrimary, Router, RoutingView, StatusView } from './router.js';
export type { GroupView, Route, RouteRequest } from './router.js';
export { ZoneBalance } from './zonebalance.js';
export type { ZoneCandidate } from './zonebalance.js';
export { ZoneBudget } from './zonebudget.js';
export { LeastRecent } from './leastrecent.js';
export { OutlierDetector } from './outlier.js';
export type { OutlierChange } from './outlier.js';
export type { WorkResult } from './resultwindow.js';
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
export type { HomeTableOptions, PlacedGroup } from './home.js';
export { SessionPositions } from './sessionpositions.js';
export { createRetryDelay, RetryBudget, RetryBudgets } from './retry.js';
export type { RetryBudgetOptions, RetryBudgetsOptions, RetryDelayOptions } from './retry.js';
export { parseScript } from './scan.js';
export type { ScannedStatement } from './scan.js';
export { compareMembers } from './membertable.js';
export { Membership } from './membership.js';
export type { MembershipMessage, MembershipOptions } from './membership.js';
export { PositionSamples } from './samples.js';
export type { PositionSample } from './samples.js';
export { InstanceRoster, UNKNOWN_START } from './roster.js';
export type { ExpiredInstance, RegisteredInstance } from './roster.js';
export {
  compareStoreVersions,
  computeAbsentVersion,
  decodeStoreVersion,
  encodeStoreVersion,
  MAX_ERA,
  MAX_REVISION,
} from './storeversion.js';
export type { StoreVersion } from './storeversion.js';
export { LOST_LOG_TIMEOUT_MS } from './logholder.js';
export { SuccessorSelector } from './successor.js';
export { GroupCompleteness } from './handover.js';
export { findRequiredPlan } from './requiredplan.js';
export { formatIncarnation, isSameIncarnation } from './incarnation.js';
export type { Incarnation } from './incarnation.js';
export { hasAnswered, isAlive } from './instanceview.js';
export { FenceReports } from './fencereports.js';
export { LogHolders } from './logholders.js';
export { formatSettledClaim, PromotionRecordView } from './recordview.js';
export { PromotionGate } from './promotiongate.js';
export type { GateAnswer, PromotionGrant } from './promotiongate.js';
export { CommitGate, isDurable } from './commitgate.js';
export type { AcknowledgedCommit, CommitVerdict, InstanceAnswer } from './commitgate.js';
export { ProcessContinuity } from './processcontinuity.js';
export type { ConnectionTrace } from './processcontinuity.js';
export { TakeoverCoordinator } from './takeover.js';
export type { TakeoverOptions } from './takeover.js';
export type {
  FenceReport,
  InstanceView,
  StartReport,
  SuccessorEvidence,
  PromotionAnswer,
  PromotionGround,
  PromotionRecord,
  TakeoverAction,
  TakeoverPlan,
} from './takeovertypes.js';
export { Backoff } from './backoff.js';
export { LenderChoice } from './lenderchoice.js';
export type { OperationRate, QuotaRule } from './operationlimit.js';
export { PermitHolder } from './permitholder.js';
export type { HeldPermit, PermitHolderOptions } from './permitholder.js';
export { PermitLender } from './permitlender.js';
export type { PermitLenderOptions } from './permitlender.js';
export type { PermitAnswer, PermitRequest } from './permitmessage.js';
export { PermitClient } from './permitclient.js';
export type { AddressedRequest } from './permitclient.js';
