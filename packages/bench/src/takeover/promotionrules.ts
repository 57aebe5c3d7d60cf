import { createHash } from 'node:crypto';

/**
 * What the platform does with a call to promote until the promotion takes effect. Its page leaves
 * this open, so a program may rely on none of it.
 */
export interface PromotionRules {
  /** An accepted order takes effect although the named instance has started again since. */
  readonly outlastsRestart: boolean;
  /**
   * A later call under a higher token that names the present primary, and is answered 200, ends an
   * accepted order that has not taken effect yet.
   */
  readonly endsByCallForPrimary: boolean;
  /**
   * A later call under a higher token that names an instance which is not running, and is answered
   * 409, ends an accepted order that has not taken effect yet.
   */
  readonly endsByCallForStopped: boolean;
  /** A later order under a higher token that is accepted ends one that has not taken effect yet. */
  readonly endsByLaterOrder: boolean;
  /** A call that is refused since its instance is not running outdates lower tokens. */
  readonly raisesFenceWhenStopped: boolean;
}

/** The rules of the model before the others were drawn. */
const LASTING_ORDERS: PromotionRules = {
  outlastsRestart: true,
  endsByCallForPrimary: false,
  endsByCallForStopped: false,
  endsByLaterOrder: true,
  raisesFenceWhenStopped: true,
};

/** Rules by what they do with an accepted order. */
export const PROMOTION_RULES = {
  /** Nothing but a promotion of another instance ends an accepted order. */
  lasting: LASTING_ORDERS,
  /** The same, and a refused call leaves no trace. */
  lastingWithoutTrace: { ...LASTING_ORDERS, raisesFenceWhenStopped: false },
  /** An order is for the process that ran when it was accepted. */
  boundToProcess: { ...LASTING_ORDERS, outlastsRestart: false },
  /** Every later call under a higher token ends an order. */
  endedByLaterCalls: {
    ...LASTING_ORDERS,
    endsByCallForPrimary: true,
    endsByCallForStopped: true,
  },
} as const satisfies Readonly<Record<string, PromotionRules>>;

/** Draws bits by a seed alone, without the generator of the run. */
function drawBits(seed: number): readonly boolean[] {
  const bytes = createHash('sha256').update(`promotion rules ${seed}`).digest();
  return [...bytes].map((byte) => byte % 2 === 1);
}

/** Chooses the rules of a run in which a later order that is accepted ends an earlier one. */
export function choosePromotionRules(seed: number): PromotionRules {
  const [first = false, second = false, third = false, fourth = false] = drawBits(seed);
  return {
    ...LASTING_ORDERS,
    outlastsRestart: first,
    endsByCallForPrimary: second,
    endsByCallForStopped: third,
    raisesFenceWhenStopped: fourth,
  };
}

/** Chooses the rules of a run in which earlier orders may be carried out beside later ones. */
export function chooseOverlapRules(seed: number): PromotionRules {
  const [, , , , endsByLaterOrder = false] = drawBits(seed);
  return { ...choosePromotionRules(seed), endsByLaterOrder };
}
