import type { VirtualClock } from './clock.js';
import type { SimulatedPlatform } from './platform.js';

const RESTORE_STEP_MS = 200;

/** A state of the platform that a fault sets for some time. */
type PlatformState =
  'isDown' | 'losesAnswers' | 'losesOrders' | 'losesPromotions' | 'delaysPromotions';

/** Faults of the platform's store, and of the calls and orders that it carries. */
export class PlatformFaults {
  constructor(
    private readonly platform: SimulatedPlatform,
    private readonly clock: VirtualClock,
  ) {}

  /** Sets a state for the duration of a fault. */
  set(name: PlatformState, duration: number): void {
    Object.assign(this.platform, { [name]: true });
    this.clock.schedule(duration, () => Object.assign(this.platform, { [name]: false }));
  }

  /** Takes the store away for a moment; it comes back as it was `age` milliseconds before. */
  restore(age: number, pick: number): void {
    const { platform, clock } = this;
    const copy = platform.findCopy(clock.now - age);
    platform.isDown = true;
    clock.schedule((pick + 1) * RESTORE_STEP_MS, () => platform.restore(copy));
  }
}
