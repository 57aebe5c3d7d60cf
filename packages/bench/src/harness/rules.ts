import { type FailoverOptions, FenceQuorum, MajorityTracker } from '@shallotpick/core';
import { FakeInstance, type PromotionListener } from './instance.js';
import type { SimulatedNetwork } from './network.js';

/** The parts whose rules a run checks. Specs put broken ones in their place. */
export interface SimulationRules {
  readonly createTracker: (instances: readonly string[]) => MajorityTracker;
  readonly createTally: (options: FailoverOptions) => FenceQuorum;
  readonly createInstance: (
    id: string,
    zone: string,
    world: SimulatedNetwork,
    onPromotion: PromotionListener,
  ) => FakeInstance;
  /** Whether the platform refuses a write whose expected version is not the current one. */
  readonly checksVersions: boolean;
}

/** The rules of the product. */
export const DEFAULT_RULES: SimulationRules = {
  createTracker: (instances) => new MajorityTracker(instances),
  createTally: (options) => new FenceQuorum(options),
  createInstance: (...args) => new FakeInstance(...args),
  checksVersions: true,
};
