import ModernError from 'modern-errors';

/** Root of the errors of the engine. */
export const EngineError = ModernError.subclass('EngineError');

/** A connection to an instance could not be opened, broke, or was given up. */
export const ConnectionError = EngineError.subclass('ConnectionError');

/** The instance refused a connection because it has too many. */
export const ConnectionLimitError = ConnectionError.subclass('ConnectionLimitError');

/** The address belongs to another instance now. */
export const WrongInstanceError = ConnectionError.subclass('WrongInstanceError');

/** The platform's store gave no usable answer. */
export const StoreError = EngineError.subclass('StoreError');

/** The history that a watch asked for is gone; the reader lists again. */
export const HistoryGoneError = StoreError.subclass('HistoryGoneError');

/** Work was refused; it did not run. */
export const NotRunError = EngineError.subclass('NotRunError');
