export { InvariantChecker } from './invariantchecker.js';
export type { Violation } from './invariantchecker.js';
export { createFaultSchedule } from './faultschedule.js';
export { runSoak } from './soak.js';
export type { SoakOptions, SoakReport } from './soak.js';
export { choosePromotionRules } from './platformrules.js';
export { injectOutageFault } from './outagefaults.js';
export type { OutageFaultKind } from './outagefaults.js';
export { createSubRandom } from './subrandom.js';
