import ModernError from 'modern-errors';

/** Base class of the daemon's errors. */
export const DaemonError = ModernError.subclass('DaemonError');

/** A setting is missing or invalid. */
export const SettingError = DaemonError.subclass('SettingError');

/** A platform call failed or returned an unusable response. */
export const PlatformError = DaemonError.subclass('PlatformError');

/** A connection to an instance could not be opened or broke. */
export const InstanceError = DaemonError.subclass('InstanceError');

/** An instance answered a control function with values that its contract doesn't allow. */
export const InvalidAnswerError = InstanceError.subclass('InvalidAnswerError');

/** A request was refused and did not run. */
export const RefusedError = DaemonError.subclass('RefusedError');

/** A call to a peer failed, or the peer port cannot be opened. */
export const PeerError = DaemonError.subclass('PeerError');

/** A caller failed to authenticate. */
export const AuthenticationError = DaemonError.subclass('AuthenticationError');
