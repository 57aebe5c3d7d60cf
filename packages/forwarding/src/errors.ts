import { EngineError } from '@shallotpick/engine';

/** A peer sent bytes that are no message of the link protocol; the link is closed. */
export const LinkProtocolError = EngineError.subclass('LinkProtocolError');

/** A VM has registered an address that no link can be opened to. */
export const LinkAddressError = EngineError.subclass('LinkAddressError');
