import type { Millis } from '@shallotpick/core';
import { wait } from '@shallotpick/engine';
import type { SoakOrganisations } from './organisations.js';

/** Kinds that affect the keys of organisations. */
export const KEY_KINDS = ['revokeKey'] as const;

/** A kind of fault of the keys. */
export type KeyFaultKind = (typeof KEY_KINDS)[number];

/** Takes the key of an organisation away, and gives it back after the fault's duration. */
export async function injectKeyFault(
  organisations: SoakOrganisations,
  { durationMs, targetSeed }: { readonly durationMs: Millis; readonly targetSeed: number },
): Promise<void> {
  const giveBack = organisations.revokeKey(targetSeed);
  await wait(durationMs);
  giveBack();
}
