import ModernError from 'modern-errors';

/** Reports bytes that violate a protocol, or a message over the size limit. */
export const ProtocolError = ModernError.subclass('ProtocolError');
