import type { PromotionRecord } from '@shallotpick/core';
import * as z from 'zod';

const MAX_TEXT_LENGTH = 256;
const MAX_MEMBERS = 64;

const text = z.string().max(MAX_TEXT_LENGTH);
const count = z.number().int().min(0);

const incarnationSchema = z.object({ id: text, startedAt: z.number().int(), address: text });

/** Content of a group's promotion record. */
export const promotionRecordSchema = z.object({
  group: text,
  // Builds without eras leave it out.
  era: count.default(0),
  generation: count,
  holder: text,
  attempt: text,
  phase: z.enum(['open', 'settled']),
  plan: z.enum(['takeover', 'handover', 'raise']),
  term: count,
  leader: incarnationSchema.optional(),
  failedCandidate: incarnationSchema.optional(),
  members: z.array(incarnationSchema).max(MAX_MEMBERS).optional(),
});

/**
 * Decodes a group's promotion record as the store holds it; undefined when it can't be read, as when
 * another writer left it. A claim then replaces it, on condition of its revision.
 */
export function decodePromotionRecord(spec: unknown): PromotionRecord | undefined {
  return promotionRecordSchema.safeParse(spec).data;
}
