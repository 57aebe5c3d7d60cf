import ModernError from 'modern-errors';

/** Root of the errors of the decision core. */
export const CoreError = ModernError.subclass('CoreError');

/** A release note, contract or setting breaks a rule. */
export const InvalidNoteError = CoreError.subclass('InvalidNoteError');

/** Work was refused before any instance saw it. */
export const NotRunError = CoreError.subclass('NotRunError');

/** The platform no longer keeps the changes after the revision; the reader lists again. */
export const CompactedError = CoreError.subclass('CompactedError');
