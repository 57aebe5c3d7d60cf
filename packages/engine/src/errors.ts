import ModernError from 'modern-errors';

/** Base class of the engine's errors. */
export const EngineError = ModernError.subclass('EngineError');

/** A connection to an instance couldn't be opened, failed, or timed out. */
export const ConnectionError = EngineError.subclass('ConnectionError');

/** The connection failed before the operation was sent, which has not run. */
export const NotSentError = ConnectionError.subclass('NotSentError');

/** The instance refused a connection because its connection limit is reached. */
export const ConnectionLimitError = ConnectionError.subclass('ConnectionLimitError');

/** Another instance answers at the registered address. */
export const WrongInstanceError = ConnectionError.subclass('WrongInstanceError');

/** The instance has acknowledged a commit that a takeover may lose; its outcome is unknown. */
export const UnconfirmedCommitError = ConnectionError.subclass('UnconfirmedCommitError');

/** The platform's store didn't answer, or its response can't be used. */
export const StoreError = EngineError.subclass('StoreError');

/** The store no longer keeps the changes after a watch's revision; list the objects again. */
export const HistoryGoneError = StoreError.subclass('HistoryGoneError');

/** The work was refused and has not run. */
export const NotRunError = EngineError.subclass('NotRunError');

/** Creates the refusal of work that a stopping proxy will not start. */
export function createStoppedError(): InstanceType<typeof NotRunError> {
  return new NotRunError('the proxy stops');
}
