import { setImmediate as pause } from 'node:timers/promises';
import { expect } from 'earl';
import { SharedRun } from '../src/sharedrun.js';

/** A task whose runs end when the test says so. */
class HeldTask {
  readonly shared = new SharedRun(async () => this.hold());

  started = 0;

  private readonly ends: { readonly resolve: () => void; readonly reject: () => void }[] = [];

  private async hold(): Promise<void> {
    this.started += 1;
    return new Promise((resolve, reject) => {
      this.ends.push({ resolve, reject: () => reject(new Error('no answer')) });
    });
  }

  /** Ends the oldest run. */
  async end(isFailure = false): Promise<void> {
    const end = this.ends.shift();
    if (isFailure) end?.reject();
    else end?.resolve();
    await pause();
    await pause();
  }
}

describe('SharedRun', () => {
  // Guards against lists that are started again and again beside a slow store, until none of them is
  // answered in time: a takeover asked for one every 500 ms, and waited for all of them (review/13).
  it('starts no more runs than a few at the same time', async () => {
    const task = new HeldTask();
    const asked = Array.from({ length: 20 }, async () => task.shared.run());
    expect(task.started).toEqual(2);
    await task.end();
    expect(task.started).toEqual(3);
    await task.end();
    await task.end();
    await Promise.all(asked);
    expect(task.started).toEqual(3);
  });

  // Guards against an answer from before the question, as of a list that an instance has missed.
  it('gives whoever asks a run that begins afterwards', async () => {
    const task = new HeldTask();
    const first = [task.shared.run(), task.shared.run()];
    let isDone = false;
    const late = task.shared.run().then(() => {
      isDone = true;
    });
    await task.end();
    await task.end();
    await Promise.all(first);
    expect([task.started, isDone]).toEqual([3, false]);
    await task.end();
    await late;
    expect(isDone).toEqual(true);
  });

  it('goes on after a run that fails, of which only its own callers are told', async () => {
    const task = new HeldTask();
    const results = Array.from({ length: 3 }, async () =>
      task.shared.run().then(
        () => 'done',
        () => 'failed',
      ),
    );
    await task.end(true);
    await task.end();
    await task.end();
    expect(await Promise.all(results)).toEqual(['failed', 'done', 'done']);
  });
});
