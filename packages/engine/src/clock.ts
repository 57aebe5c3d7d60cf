import { performance } from 'node:perf_hooks';
import { Clock, type Millis } from '@shallotpick/core';

/** A smaller difference of the clocks is drift; a larger one is a suspension or a clock step. */
const JUMP_MS: Millis = 50;

/** The process's monotonic clock. It doesn't advance while the VM is suspended. */
export class SystemClock extends Clock {
  readNow(): Millis {
    return performance.now();
  }
}

/**
 * Clock that never measures an elapsed time too short: the monotonic clock plus every forward jump
 * of the time of day relative to it. It includes suspensions of the VM. A forward step of the time
 * of day makes ages too large, which is safe.
 */
export class SuspendAwareClock extends Clock {
  private skippedMs: Millis = 0;

  private offset: Millis;

  constructor(
    private readonly readMonotonic: () => Millis = () => performance.now(),
    private readonly readWall: () => Millis = () => Date.now(),
  ) {
    super();
    this.offset = readWall() - readMonotonic();
  }

  readNow(): Millis {
    const monotonic = this.readMonotonic();
    const offset = this.readWall() - monotonic;
    const jump = offset - this.offset;
    if (jump > JUMP_MS) this.skippedMs += jump;
    if (Math.abs(jump) > JUMP_MS) this.offset = offset;
    return monotonic + this.skippedMs;
  }
}
