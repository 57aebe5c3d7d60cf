import ModernError from 'modern-errors';

/** Base class of the errors of this package. */
export const CoreError = ModernError.subclass('CoreError');

/** Thrown when a release note, contract or setting is invalid. */
export const InvalidNoteError = CoreError.subclass('InvalidNoteError');

/** Thrown when work was refused before it was sent to any instance. */
export const NotRunError = CoreError.subclass('NotRunError');

/** Thrown when the platform no longer keeps the changes after a revision; list again instead. */
export const CompactedError = CoreError.subclass('CompactedError');
