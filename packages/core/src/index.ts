export { Clock, ManualClock } from './clock.js';
export type { Millis } from './clock.js';
export { findContract, DEFAULT_CONTRACT } from './contract.js';
export type { Contract, ContractMatch, ContractSubject } from './contract.js';
export { CoreError, InvalidNoteError, NotRunError } from './errors.js';
export { countMajority } from './group.js';
export type {
  DatabaseGroup,
  DatabaseInstance,
  GroupRecord,
  InstanceRole,
  InstanceStatus,
} from './group.js';
export {
  chooseLater,
  comparePositions,
  formatPosition,
  hasPosition,
  LOG_START,
  parsePosition,
} from './position.js';
export type { LogPosition } from './position.js';
export { classifyStatement } from './statement.js';
export type { Statement, StatementKind } from './statement.js';
