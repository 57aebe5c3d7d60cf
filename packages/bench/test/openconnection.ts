import type { CallerConnection } from '../src/takeover/acknowledgements.js';

/** A connection of a VM that hands on every acknowledgement at once. */
export const OPEN_CONNECTION: CallerConnection = {
  isOpen: () => true,
  acknowledge: (_, confirm) => confirm(),
};
