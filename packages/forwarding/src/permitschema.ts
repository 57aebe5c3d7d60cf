import * as z from 'zod';

const MAX_NAME_LENGTH = 1_000;
/** Bounds the entries of one message; a part of the organisations has fewer. */
const MAX_ENTRIES = 4_096;
const MAX_COUNTS = 1_000;

const name = z.string().max(MAX_NAME_LENGTH);
const count = z.number().int().nonnegative();
const age = z.number().nonnegative();
const version = { term: age, sequence: count };

const copy = z.object({
  ...version,
  ageMs: age,
  accounts: z
    .record(z.string(), z.array(count).max(MAX_COUNTS).readonly())
    .refine((accounts) => Object.keys(accounts).length <= MAX_ENTRIES),
});

const permits = { organisation: z.string(), count };
const returned = { ...permits, interval: z.number().int() };

/** A request for permits of operations. */
export const permitRequest = z.object({
  part: count,
  uptimeMs: age,
  echo: z.object({ run: name, sentAt: z.number() }).optional(),
  confirmed: z.object(version),
  copy: copy.optional(),
  wanted: z.array(z.object(permits)).max(MAX_ENTRIES).readonly(),
  returned: z.array(z.object(returned)).max(MAX_ENTRIES).readonly(),
});

/** A lender's answer to such a request. */
export const permitAnswer = z.object({
  run: name,
  sentAt: z.number(),
  isLending: z.boolean(),
  isReleased: z.boolean(),
  copy: copy.optional(),
  granted: z
    .array(z.object({ ...returned, isLimited: z.boolean() }))
    .max(MAX_ENTRIES)
    .readonly(),
});
