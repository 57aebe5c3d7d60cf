import type { Millis, StoreVersion } from '@shallotpick/core';
import {
  type StoreChanges,
  StoreError,
  type StoreListing,
  type StoreLookup,
  type StoreWrite,
  wait,
} from '../src/index.js';
import { FakeStore } from './store.js';

/** Longer than any test runs. */
export const NEVER_MS: Millis = 1_000_000_000;
const WATCH_POLL_MS: Millis = 40;

/** How calls over a link, to the store or to an instance end. */
export type CallMode = 'answer' | 'delay' | 'fail' | 'hang';

/** Longest delay of a call that is answered late. */
export const DELAY_MS: Millis = 700;

/** Waits as the mode says, or fails. */
export async function applyMode(mode: CallMode, createError: () => Error): Promise<void> {
  if (mode === 'delay') await wait(DELAY_MS);
  if (mode === 'hang') await wait(NEVER_MS);
  if (mode === 'fail') throw createError();
}

/** A store that answers late, fails or stays silent. */
export class SlowStore extends FakeStore {
  mode: CallMode = 'answer';

  override async find(kind: string, name: string): Promise<StoreLookup> {
    await this.applyMode();
    return super.find(kind, name);
  }

  override async list(kind: string): Promise<StoreListing> {
    await this.applyMode();
    return super.list(kind);
  }

  override async watch(kind: string, version: StoreVersion): Promise<StoreChanges> {
    await wait(WATCH_POLL_MS);
    await this.applyMode();
    return super.watch(kind, version);
  }

  override async write(
    kind: string,
    name: string,
    spec: unknown,
    revision: number,
  ): Promise<StoreWrite> {
    await this.applyMode();
    return super.write(kind, name, spec, revision);
  }

  private async applyMode(): Promise<void> {
    // The client of a real store gives a call up.
    const mode = this.mode === 'hang' ? 'fail' : this.mode;
    if (this.mode === 'hang') await wait(2 * DELAY_MS);
    await applyMode(mode, () => new StoreError('the store is cut off'));
  }
}
