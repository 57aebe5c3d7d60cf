import { EngineError } from '@shallotpick/engine';

/** A peer sent bytes that are no message of the link protocol; the link is closed. */
export const LinkProtocolError = EngineError.subclass('LinkProtocolError');
