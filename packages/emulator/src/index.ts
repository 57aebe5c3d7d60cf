export { EmulatedStore } from './store.js';
export { EmulatedGroup } from './group.js';
export type { EmulatedGroupOptions } from './group.js';
export { EmulatedInstance } from './instance.js';
export type { ItemWrite, LogEntry } from './instancelog.js';
export { EmulatorObserver } from './observer.js';
export type { Commit, Promotion, PromotionRequest, ExecutedStatement } from './observer.js';
export { EmulatedPlatform } from './platform.js';
export { FaultProxy } from './faultproxy.js';
export { InstancePaths } from './instancepaths.js';
export { HttpService } from './httpservice.js';
export type { EmulatedConfiguration } from './storeencoding.js';
export { encodeOddEntry, oddHeartbeatArbitrary, oddInstanceArbitrary } from './oddentry.js';
export type { EntryContent, OddEntryShape, OddValue } from './oddentry.js';
export { writeOddEntries } from './oddwriter.js';
export { createStoreService } from './platformservices.js';
export { DEFAULT_PROMOTION_RULES } from './promotionorders.js';
export type {
  EndingCall,
  LostLog,
  PromotionDecision,
  PromotionRules,
  RestartedInstanceRule,
} from './promotionorders.js';
