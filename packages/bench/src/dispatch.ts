import { AdmissionQueue, type AdmissionDecision, type Work } from '@shallotpick/core';

const COUNTS = [1_250, 2_500, 5_000];
const CALLERS = 100;
const CAPACITY = { connections: 4, concurrency: 2, longPermits: 1 };

/** Measures the time in milliseconds to queue `count` work items and to dispatch them all. */
export function measureDispatch(count: number): number {
  const queue = new AdmissionQueue({
    maxQueued: count,
    findRoute: () => ({ kind: 'instances', instances: ['a'], reason: 'bench' }),
  });
  queue.updateCapacity('a', CAPACITY, 0);
  const running: Work[] = [];
  const take = (decisions: readonly AdmissionDecision[]): void => {
    decisions.forEach((one) => one.kind === 'start' && running.push(one.work));
  };
  const startedAt = performance.now();
  for (let id = 0; id < count; id++) {
    const work: Work = { id, caller: `c${id % CALLERS}`, length: 'short', deadline: 1e9 };
    take(queue.add(work, 0));
  }
  for (let work = running.shift(); work; work = running.shift()) {
    take(queue.handleDone('a', work, 0));
  }
  return performance.now() - startedAt;
}

COUNTS.forEach((count) => {
  measureDispatch(count);
  process.stdout.write(`${count} queued: ${measureDispatch(count).toFixed(1)} ms\n`);
});
