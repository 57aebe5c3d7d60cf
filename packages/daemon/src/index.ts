export { CallerConnection } from './caller.js';
export type { CallerHandler } from './caller.js';
export { ClientGuard, SystemClock } from '@shallotpick/engine';
export { InstanceConnection } from './connection.js';
export type { ResponseSink } from './connection.js';
export { ControlLink } from './control.js';
export { Daemon } from './daemon.js';
export type { DaemonDependencies } from './daemon.js';
export {
  DaemonError,
  InstanceError,
  PeerError,
  PlatformError,
  RefusedError,
  SettingError,
} from './errors.js';
export { createVerifier } from './users.js';
export { ConnectionPool } from './pool.js';
export type { CallerRequest } from './request.js';
export { loadSettings } from './settings.js';
export type { Settings } from './settings.js';
export { SQLSTATE } from './sqlstate.js';
export { createDaemon } from './wiring.js';
export { createLog } from './log.js';
export { Metrics } from './metrics.js';
export { GrpcPeerLink } from './peerlink.js';
export { PeerExchangeService } from './peerexchange.js';
export { PeerServer } from './peerserver.js';
export { CertificateFiles, createGrpcCredentials } from './tls.js';
