import type { Random } from '@shallotpick/bench';
import type { EndingCall, PromotionRules, RestartedInstanceRule } from '@shallotpick/emulator';

const RESTARTED_INSTANCE: readonly RestartedInstanceRule[] = [
  'leadsWithItsLog',
  'neverLeads',
  'leadsAnyway',
];
const ENDING_CALLS: readonly (readonly EndingCall[])[] = [
  [],
  ['unchanged'],
  ['refused'],
  ['unchanged', 'refused'],
];

/** Draws what the platform does with accepted orders where its page doesn't say it. */
export function choosePromotionRules(random: Random): PromotionRules {
  return {
    restartedInstance: RESTARTED_INSTANCE[random.nextInt(RESTARTED_INSTANCE.length)]!,
    endingCalls: ENDING_CALLS[random.nextInt(ENDING_CALLS.length)]!,
    endsEarlierOrders: random.nextInt(2) === 1,
  };
}
