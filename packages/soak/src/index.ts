export { PromiseChecker } from './checker.js';
export type { Problem } from './checker.js';
export { createSchedule } from './faults.js';
export { runSoak } from './soak.js';
export type { SoakOptions, SoakReport } from './soak.js';
