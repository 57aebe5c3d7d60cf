export { EmulatedGroup } from './group.js';
export type { EmulatedGroupOptions } from './group.js';
export { EmulatedInstance } from './instance.js';
export type { ItemWrite, LogEntry } from './instancelog.js';
export { EmulatorObserver } from './observer.js';
export type { Commit, Promotion, PromotionRequest, ExecutedStatement } from './observer.js';
export { EmulatedPlatform } from './platform.js';
export { FaultProxy } from './faultproxy.js';
export type { EmulatedConfiguration } from './storeencoding.js';
