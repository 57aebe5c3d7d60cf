import type { Millis } from '@shallotpick/core';
import { type EmulatedGroup, type EmulatedPlatform, writeOddEntries } from '@shallotpick/emulator';
import { wait } from '@shallotpick/engine';
import { match } from 'ts-pattern';

/** Kinds that affect the store as a whole. */
export const STORE_KINDS = [
  'storeDown',
  'restoreStore',
  'loseWrites',
  'compactStore',
  'writeOddEntry',
] as const;

/** A kind of fault of the store. */
export type StoreFaultKind = (typeof STORE_KINDS)[number];

const UNANSWERED_WRITE_SHARE = 0.4;
/** Age of the copy from which a store is restored, as a multiple of the time it was away. */
const COPY_AGE_FACTOR = 3;

/** Injects a fault of the store, which ends after its duration. */
export async function injectStoreFault(
  kind: StoreFaultKind,
  platform: EmulatedPlatform,
  group: EmulatedGroup,
  { durationMs, targetSeed }: { readonly durationMs: Millis; readonly targetSeed: number },
): Promise<void> {
  const { storeService, faults, store } = platform;
  await match(kind)
    .with('storeDown', async () => {
      storeService.isDown = true;
      await wait(durationMs);
      storeService.isDown = false;
    })
    .with('restoreStore', async () => {
      storeService.isDown = true;
      await wait(durationMs);
      platform.restoreStore(durationMs * COPY_AGE_FACTOR);
      storeService.isDown = false;
    })
    .with('loseWrites', async () => {
      faults.unansweredWriteShare = UNANSWERED_WRITE_SHARE;
      await wait(durationMs);
      faults.unansweredWriteShare = 0;
    })
    .with('compactStore', async () => store.compactHistory())
    .with('writeOddEntry', async () => {
      const removeEntries = writeOddEntries(store, group.name, targetSeed);
      await wait(durationMs);
      removeEntries();
    })
    .exhaustive();
}
