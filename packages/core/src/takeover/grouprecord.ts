import { z } from 'zod';
import type { GroupRecord } from '../group.js';
import { MAX_TERM } from '../position.js';

const MAX_NAME_LENGTH = 1_000;
const nameSchema = z.string().max(MAX_NAME_LENGTH);
/** An instance's id becomes part of a control statement, so it must need no quoting. */
const instanceSchema = z.string().regex(/^[\w.:-]{1,100}$/);
/** An incarnation becomes part of a control statement, so it must need no quoting. */
export const incarnationSchema = z.string().regex(/^[\w.:-]{0,100}$/);

const recordSchema = z
  .object({
    group: nameSchema.min(1),
    term: z.int().nonnegative().max(MAX_TERM),
    phase: z.enum(['fencing', 'named']),
    primary: instanceSchema.nullable(),
    attempt: nameSchema,
    writer: nameSchema,
    incarnations: z.record(nameSchema, incarnationSchema).optional(),
  })
  .refine(({ phase, primary }) => phase === 'fencing' || primary !== null);

/** Checks a value that should be a group's record; undefined when it is none. */
export function checkGroupRecord(value: unknown): GroupRecord | undefined {
  const { success, data } = recordSchema.safeParse(value);
  if (!success) return undefined;
  const { incarnations, ...record } = data;
  return incarnations ? { ...record, incarnations } : record;
}

/** Parses the stored text of a group's record; undefined when it is not one of `group`. */
export function parseGroupRecord(text: string, group: string): GroupRecord | undefined {
  try {
    const record = checkGroupRecord(JSON.parse(text));
    return record?.group === group ? record : undefined;
  } catch {
    return undefined;
  }
}
