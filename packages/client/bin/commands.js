import { loadEntry } from './load.js';

export const { COMMANDS } = await loadEntry('commands');
