import ModernError from 'modern-errors';

/** Bytes that break the PostgreSQL protocol, or a message over the size limit. */
export const ProtocolError = ModernError.subclass('ProtocolError');
