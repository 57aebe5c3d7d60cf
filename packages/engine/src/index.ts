export { GroupAccess } from './access.js';
export { isUsableHost, isUsablePort } from './address.js';
export { ClientGuard, ClientWatch } from './clientguard.js';
export type { ClientGuardOptions, ClientWait, CutReason } from './clientguard.js';
export { SuspendAwareClock, SystemClock } from './clock.js';
export { CloseReporter } from './closereporter.js';
export type {
  CallerClose,
  CloseReason,
  CloseReporterOptions,
  IdleCloseReason,
  UnansweredRequest,
} from './closereporter.js';
export { ConfigurationHolder, findUrgentPriority } from './configuration.js';
export type { DatabaseRoute, GroupSettings, ServiceConfiguration } from './configuration.js';
export { InstanceConnection, InstanceConnector } from './connection.js';
export type { ReplyObserver } from './connection.js';
export { EraAwareStore } from './era.js';
export type { EraAwareStoreOptions } from './era.js';
export {
  ConnectionError,
  ConnectionLimitError,
  EngineError,
  HistoryGoneError,
  NotRunError,
  NotSentError,
  StoreError,
  UnconfirmedCommitError,
  WrongInstanceError,
} from './errors.js';
export { FleetQuota } from './fleetquota.js';
export type { FleetQuotaOptions } from './fleetquota.js';
export { Fleet, VMS_KIND } from './fleet.js';
export { heartbeatSchema } from './heartbeat.js';
export { promotionRecordSchema } from './promotionrecord.js';
export type { FleetOptions } from './fleet.js';
export type { VmAddress } from './heartbeat.js';
export { Forwarding } from './forwarding.js';
export type { CreateForwarding, ForwardingHost, HomeStatus } from './forwarding.js';
export { checkConfiguration } from './configurationcheck.js';
export type { ConfigurationDraft, ConfigurationFinding } from './configurationcheck.js';
export { compareDrafts } from './configurationchange.js';
export type { ConfigurationEffect } from './configurationchange.js';
export { ConfigurationVerifier } from './configurationverifier.js';
export type { ReceivedConfiguration } from './forwarding.js';
export type { ProofAge, ProofDescription } from './configurationverifier.js';
export { CallerIdentity, UNPROVED_REFUSAL } from './identity.js';
export type { Authorization } from './identity.js';
export { OperationQuota, UnlimitedQuota } from './operationquota.js';
export type { OperationPermit } from './operationquota.js';
export { computeKeyDigest, OrganisationIndex } from './organisations.js';
export type { DigestedOrganisation, KeyedOrganisation, Organisation } from './organisations.js';
export { ObjectWatcher } from './watcher.js';
export type { ObjectWatcherOptions } from './watcher.js';
export { GroupService } from './group.js';
export { ShutdownSchedule, SHUTTING_DOWN } from './shutdown.js';
export { Dispatcher } from './dispatcher.js';
export type { AdmittedWork, Refusal, WorkRequest } from './dispatcher.js';
export { WorkEvidence } from './workevidence.js';
export { WorkRouter } from './workrouter.js';
export { ZoneRouter } from './zonerouter.js';
export { CommitConfirmation } from './commitconfirmation.js';
export { WriteTracker } from './writetracker.js';
export { findAccess } from './setup.js';
export { createLeaseUse } from './lease.js';
export type { Lease, LeaseUse } from './lease.js';
export { createEngineLog } from './log.js';
export type { Log } from './log.js';
export { InstancePool, Member, type MemberParts } from './member.js';
export { createCounter, Metrics } from './metrics.js';
export { OddEntryReporter } from './oddentries.js';
export type { OddEntry, OddEntryReporterOptions } from './oddentries.js';
export { computeConnectionShare, Placement } from './placement.js';
export type { FleetView } from './placement.js';
export { ConnectionPool } from './pool.js';
export type { PooledConnection } from './pool.js';
export { InstanceProbe } from './probe.js';
export type { ProbeOptions, ProbeResult } from './probe.js';
export { Proxy } from './proxy.js';
export type { CallerHandle } from './proxy.js';
export type { PreparedStatement, SessionState } from './setup.js';
export { sendInSession } from './run.js';
export { Session } from './session.js';
export type {
  Access,
  CallerRequest,
  Command,
  DataStatement,
  Failure,
  Operation,
  ProxyCommand,
  Reply,
  SessionCommand,
  SessionOperation,
  Statement,
  TransactionState,
  Verdict,
} from './statement.js';
export { ObjectStore, PromotionService } from './store.js';
export type {
  StoreChange,
  StoreChanges,
  StoredObject,
  StoreListing,
  StoreLookup,
  StoreWrite,
} from './store.js';
export { Suspicion } from './suspicion.js';
export { PROMOTIONS_KIND } from './takeover.js';
export { wait, waitAtMost } from './timing.js';
export { createProxy } from './wiring.js';
export type { ProxyParts } from './proxyparts.js';
