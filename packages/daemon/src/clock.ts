import { performance } from 'node:perf_hooks';
import { Clock, type Millis } from '@shallotpick/core';

/** The process's monotonic clock. */
export class SystemClock extends Clock {
  readNow(): Millis {
    return performance.now();
  }
}
