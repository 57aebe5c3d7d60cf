import { performance } from 'node:perf_hooks';
import { Clock, type Millis } from '@shallotpick/core';

/** Clocks that differ by less have drifted; more means that the VM was suspended or stepped. */
const JUMP_MS: Millis = 50;

/** The process's monotonic clock. It stands still while the VM is suspended. */
export class SystemClock extends Clock {
  readNow(): Millis {
    return performance.now();
  }
}

/**
 * Elapsed time that is never too short: the monotonic clock, plus every jump by which the time of
 * day ran ahead of it. It counts suspensions of the VM; a forward step of the time of day makes
 * ages too large, which is safe.
 */
export class SuspendAwareClock extends Clock {
  private skippedMs: Millis = 0;

  private offset: Millis;

  constructor(
    private readonly readSteady: () => Millis = () => performance.now(),
    private readonly readWall: () => Millis = () => Date.now(),
  ) {
    super();
    this.offset = readWall() - readSteady();
  }

  readNow(): Millis {
    const steady = this.readSteady();
    const offset = this.readWall() - steady;
    const jump = offset - this.offset;
    if (jump > JUMP_MS) this.skippedMs += jump;
    if (Math.abs(jump) > JUMP_MS) this.offset = offset;
    return steady + this.skippedMs;
  }
}
