export { COMMANDS } from './commands.js';
export { CommandError, EXIT } from './errors.js';
