import ModernError from 'modern-errors';

/** Root of the errors of the daemon. */
export const DaemonError = ModernError.subclass('DaemonError');

/** A setting is missing or not allowed. */
export const SettingError = DaemonError.subclass('SettingError');

/** The platform gave no usable answer. */
export const PlatformError = DaemonError.subclass('PlatformError');

/** A connection to an instance could not be opened or broke. */
export const InstanceError = DaemonError.subclass('InstanceError');

/** Work was refused; it did not run. */
export const RefusedError = DaemonError.subclass('RefusedError');

/** A call to a peer failed or its port cannot be opened. */
export const PeerError = DaemonError.subclass('PeerError');

/** A caller did not prove who it is. */
export const AuthenticationError = DaemonError.subclass('AuthenticationError');
