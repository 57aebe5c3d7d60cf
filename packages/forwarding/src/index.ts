export { LinkAddressError, LinkProtocolError } from './errors.js';
export { LinkForwarding } from './forwarder.js';
export type { LinkAddress } from './forwarder.js';
export { encodeFrame, FrameReader, MAX_FRAME_BYTES } from './frame.js';
export { decodeEntryMessage, decodeHomeMessage, LINK_VERSION } from './message.js';
export type { EntryMessage, HomeMessage } from './message.js';
