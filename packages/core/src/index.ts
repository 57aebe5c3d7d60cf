export { Clock, ManualClock } from './clock.js';
export type { Millis } from './clock.js';
export { ByteCollector } from './clients/bytecollector.js';
export { computeClientLimits } from './clients/clientlimits.js';
export type { ClientLimitOverrides, ClientLimits } from './clients/clientlimits.js';
export { MemoryBudget } from './clients/memorybudget.js';
export type { MemoryAccount } from './clients/memorybudget.js';
export { ConfigurationLease } from './configuration/configurationlease.js';
export type { ConfigurationProof } from './configuration/configurationlease.js';
export { classifyPower, computePower } from './membership/vmpower.js';
export type { VmLimits } from './membership/vmpower.js';
export { findContract, DEFAULT_CONTRACT, mergeContracts } from './routing/contract.js';
export type { Contract, ContractMatch, ContractSubject } from './routing/contract.js';
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
export { checkGroupRecord, incarnationSchema, parseGroupRecord } from './takeover/grouprecord.js';
export { type Incarnations, isCounted } from './takeover/incarnations.js';
export { RejoinTracker } from './takeover/rejoin.js';
export type { LogPosition } from './position.js';
export { classifyStatement, classifyStatements } from './routing/statement.js';
export type { Statement, StatementKind } from './routing/statement.js';
export { computeCostKey, CostEstimator, formatFingerprint } from './admission/cost.js';
export {
  computeLimits,
  PAUSE_THRESHOLD_MS,
  QuotaHolder,
  RECLAIM_DELAY_MS,
  RENEW_WITHIN_MS,
} from './quota/quota.js';
export type { QuotaHolderOptions, QuotaLimits } from './quota/quota.js';
export { QuotaLender } from './quota/lender.js';
export { divideShares, EMPTY_SHARES, mapShares, SHARE_NAMES } from './quota/share.js';
export type { ShareDemand, ShareName, Shares } from './quota/share.js';
export { AdmissionQueue } from './admission/admission.js';
export type { AdmissionDecision, AdmissionOptions } from './admission/admission.js';
export { SlotQueue } from './admission/slotqueue.js';
export type { ExpectedWait, QueueDecision, RefusalCause } from './admission/slotqueue.js';
export { SlotTable } from './admission/slottable.js';
export type { Capacity, WorkLength } from './admission/slottable.js';
export { WorkQueue } from './admission/workqueue.js';
export type { RankedWork, WorkQueueOptions } from './admission/workqueue.js';
export { WorkCosts } from './admission/workcost.js';
export type { LearntCost } from './admission/workcost.js';
export { ConcurrencyLimit } from './admission/concurrencylimit.js';
export type { LimitRange } from './admission/concurrencylimit.js';
export { UsualLatencies } from './admission/usuallatency.js';
export type { Work } from './admission/fairqueue.js';
export { FailoverCoordinator } from './takeover/failover.js';
export { COOLDOWN_MS } from './takeover/failovertrigger.js';
export { FenceQuorum } from './takeover/fencequorum.js';
export type {
  FailoverAction,
  FailoverOptions,
  FenceAnswer,
  WriteAction,
  WriteOutcome,
} from './takeover/failovertypes.js';
export { UNREACHABLE_AFTER_MS } from './takeover/primarymonitor.js';
export type { PrimaryObservation } from './takeover/primarymonitor.js';
export { MajorityTracker } from './takeover/majority.js';
export type {
  MajorityDecision,
  MajorityReading,
  PendingSession,
  PendingCommit,
} from './takeover/majority.js';
export { NoteChain, parseNoteText } from './configuration/chain.js';
export type { ChainDecision, NumberedNote } from './configuration/chain.js';
export { compareConfigurations } from './configuration/configurationdiff.js';
export type { ConfigurationChange, FieldChange } from './configuration/configurationdiff.js';
export {
  loadChain,
  loadConfiguration,
  loadNotes,
  loadSnapshot,
  submitNote,
  writeSnapshot,
} from './configuration/notestore.js';
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
} from './configuration/note.js';
export type { Configuration, NoteIssue, ParsedNote, ReleaseNote } from './configuration/note.js';
export {
  createShards,
  formatShardKey,
  ShardCollector,
  SNAPSHOT_INTERVAL,
} from './configuration/snapshot.js';
export type { SnapshotShard } from './configuration/snapshot.js';
export { MAX_GOSSIP_BYTES, NoteGossip } from './configuration/notegossip.js';
export { computeHash, rankVms } from './membership/rendezvous.js';
export { Platform } from './configuration/platform.js';
export type {
  PlatformListing,
  PlatformObject,
  PlatformWriteOutcome,
  ListedVm,
} from './configuration/platform.js';
export { findPrimary, Router, RoutingView, StatusView } from './routing/router.js';
export type { GroupView, Route, RouteRequest } from './routing/router.js';
export { ZoneBalance } from './routing/zonebalance.js';
export type { ZoneCandidate } from './routing/zonebalance.js';
export { ZoneBudget } from './routing/zonebudget.js';
export { LeastRecent } from './routing/leastrecent.js';
export { OutlierDetector } from './routing/outlier.js';
export type { OutlierChange } from './routing/outlier.js';
export type { WorkResult } from './routing/resultwindow.js';
export { InstanceLink } from './membership/link.js';
export { ExchangeFeature, PeerLink } from './membership/peer.js';
export type {
  BorrowGrant,
  BorrowRequest,
  LeavingInstance,
  MemberUpdate,
  NoteUpdate,
  PeerExchange,
  RecordUpdate,
} from './membership/peer.js';
export { FixedMembership, MembershipView } from './membership/vm.js';
export type { Vm } from './membership/vm.js';
export { formatNoteSchema } from './configuration/schema.js';
export { ALL_HOME_VMS, HomeTable, HOMES_PER_ZONE } from './membership/home.js';
export type { HomeTableOptions, PlacedGroup } from './membership/home.js';
export { type SessionCommit, SessionPositions } from './routing/sessionpositions.js';
export { createRetryDelay, RetryBudget, RetryBudgets } from './admission/retry.js';
export type {
  RetryBudgetOptions,
  RetryBudgetsOptions,
  RetryDelayOptions,
} from './admission/retry.js';
export { parseScript } from './routing/scan.js';
export type { ScannedStatement } from './routing/scan.js';
export { compareMembers } from './membership/membertable.js';
export { Membership } from './membership/membership.js';
export type { MembershipMessage, MembershipOptions } from './membership/membership.js';
export { PositionSamples } from './routing/samples.js';
export type { PositionSample } from './routing/samples.js';
export { InstanceRoster, UNKNOWN_START } from './membership/roster.js';
export type { ExpiredInstance, RegisteredInstance } from './membership/roster.js';
export {
  compareStoreVersions,
  computeAbsentVersion,
  decodeStoreVersion,
  encodeStoreVersion,
  MAX_ERA,
  MAX_REVISION,
} from './configuration/storeversion.js';
export type { StoreVersion } from './configuration/storeversion.js';
export { LOST_LOG_TIMEOUT_MS } from './takeover/logholder.js';
export { SuccessorSelector } from './takeover/successor.js';
export { GroupCompleteness } from './takeover/handover.js';
export { findRequiredPlan } from './takeover/requiredplan.js';
export { formatIncarnation, isSameIncarnation } from './takeover/incarnation.js';
export type { Incarnation } from './takeover/incarnation.js';
export { hasAnswered, isAlive } from './takeover/instanceview.js';
export { FenceReports } from './takeover/fencereports.js';
export { LogHolders } from './takeover/logholders.js';
export { formatSettledClaim, PromotionRecordView } from './takeover/recordview.js';
export { PromotionGate } from './takeover/promotiongate.js';
export type { GateAnswer, PromotionGrant } from './takeover/promotiongate.js';
export { CommitGate, isDurable } from './takeover/commitgate.js';
export type { AcknowledgedCommit, CommitVerdict, InstanceAnswer } from './takeover/commitgate.js';
export { ProcessContinuity } from './takeover/processcontinuity.js';
export type { ConnectionTrace } from './takeover/processcontinuity.js';
export { PromotionOrders } from './takeover/promotionorders.js';
export { Settlement } from './takeover/settlement.js';
export type { Claim, SettlementProof } from './takeover/settlement.js';
export { TakeoverCoordinator } from './takeover/takeover.js';
export type { TakeoverOptions } from './takeover/takeover.js';
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
} from './takeover/takeovertypes.js';
export { Backoff } from './admission/backoff.js';
export { LenderChoice } from './quota/lenderchoice.js';
export type { OperationRate, QuotaRule } from './quota/operationlimit.js';
export { PermitHolder } from './quota/permitholder.js';
export type { HeldPermit, PermitHolderOptions } from './quota/permitholder.js';
export { PermitLender } from './quota/permitlender.js';
export type { PermitLenderOptions } from './quota/permitlender.js';
export type { PermitAnswer, PermitRequest } from './quota/permitmessage.js';
export { PermitClient } from './quota/permitclient.js';
export type { AddressedRequest } from './quota/permitclient.js';
