export { EmulatedGroup } from './group.js';
export type { EmulatedGroupOptions } from './group.js';
export { EmulatedInstance } from './instance.js';
export type { ItemWrite, LogEntry } from './log.js';
export { EmulatorObserver } from './observer.js';
export type { Commit, Promotion, PromotionOrder, RanStatement } from './observer.js';
export { EmulatedPlatform } from './platform.js';
export { FaultProxy } from './proxy.js';
export type { EmulatedConfiguration } from './wire.js';
