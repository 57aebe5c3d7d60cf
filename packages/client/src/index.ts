export { COMMANDS } from './commands.js';
export { CommandError, EXIT_CODES } from './errors.js';
