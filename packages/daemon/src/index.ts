export { Daemon } from './daemon.js';
export type { DaemonParts } from './daemon.js';
export {
  DaemonError,
  InstanceError,
  PeerError,
  PlatformError,
  RefusedError,
  SettingError,
} from './errors.js';
export { loadSettings } from './settings.js';
export type { Settings } from './settings.js';
export { SQLSTATE } from './sqlstate.js';
export { createDaemon } from './wiring.js';
