import { type FailoverOptions, FenceTally, MajorityTracker } from '@shallotpick/core';
import { FakeInstance, type PromotionListener } from './instance.js';
import type { World } from './world.js';

/** The parts whose rules a run checks. Specs put broken ones in their place. */
export interface Rules {
  readonly createTracker: (instances: readonly string[]) => MajorityTracker;
  readonly createTally: (options: FailoverOptions) => FenceTally;
  readonly createInstance: (
    id: string,
    zone: string,
    world: World,
    onPromotion: PromotionListener,
  ) => FakeInstance;
  /** Whether the platform refuses a write whose expected version is not the current one. */
  readonly checksVersions: boolean;
}

/** The rules of the product. */
export const RULES: Rules = {
  createTracker: (instances) => new MajorityTracker(instances),
  createTally: (options) => new FenceTally(options),
  createInstance: (...args) => new FakeInstance(...args),
  checksVersions: true,
};
