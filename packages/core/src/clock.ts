/** A point in time or a duration, in milliseconds. */
export type Millis = number;

/** Source of the current time. The decision core never reads the system clock itself. */
export abstract class Clock {
  /** Milliseconds since an arbitrary origin; never goes backwards. */
  abstract readNow(): Millis;
}

/** A clock that is advanced by hand, for tests and simulations. */
export class ManualClock extends Clock {
  private now: Millis;

  constructor(start: Millis = 0) {
    super();
    this.now = start;
  }

  readNow(): Millis {
    return this.now;
  }

  /** Moves the clock forward by `duration` milliseconds. */
  advance(duration: Millis): Millis {
    this.now += duration;
    return this.now;
  }
}
