import { createRandom, type Random } from '@shallotpick/bench';

/** Odd multiplier that spreads neighbouring seeds over all 32 bits. */
const SEED_MULTIPLIER = 0x9e3779b1;
/** First numbers of a generator, which are nearly the same for similar seeds. */
const SKIPPED_DRAWS = 16;

/** Creates the generator of the details of a fault or of a run, whose seeds may be neighbours. */
export function createSubRandom(seed: number): Random {
  const random = createRandom(Math.imul(seed + 1, SEED_MULTIPLIER));
  for (let index = 0; index < SKIPPED_DRAWS; index++) random.next();
  return random;
}
