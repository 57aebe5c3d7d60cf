import { isIP } from 'node:net';
import * as z from 'zod';
import { isUsableHost, isUsablePort } from './address.js';
import type { OddEntry } from './oddentries.js';
import type { StoredObject } from './store.js';

const MAX_TEXT_LENGTH = 200;
/** More cores than a VM has. */
const MAX_POWER = 10_000;
/** Beats that a process writes in more than a century. */
const MAX_BEAT = 1_000_000_000;
/** The end of the year 2099 in Unix milliseconds. */
const MAX_START_TIME = Date.UTC(2100, 0) - 1;

/** A live VM and where it accepts the links of other VMs; without a port it accepts none. */
export interface VmAddress {
  readonly id: string;
  readonly zone: string;
  readonly host: string;
  readonly port: number | undefined;
  /** How much work the VM can do, in cores; unknown of an older build. */
  readonly power?: number | undefined;
}

/** Content of a VM's heartbeat object in the store. */
export interface HeartbeatSpec {
  readonly beat: number;
  /** Start time of the process in Unix milliseconds. */
  readonly startedAt: number;
  readonly zone: string;
  /** Address for the links of other VMs. */
  readonly host?: string | undefined;
  readonly port?: number | undefined;
  /** How much work the VM can do, in cores. */
  readonly power?: number | undefined;
}

/** A decoded heartbeat. */
export interface Heartbeat extends Pick<HeartbeatSpec, 'beat' | 'startedAt'> {
  readonly address: VmAddress;
}

/** Stands for bytes that are no UTF-8. */
const REPLACEMENT = '\uFFFD';

const text = z
  .string()
  .max(MAX_TEXT_LENGTH)
  .refine((value) => !value.includes(REPLACEMENT));

/** Anything that a VM may listen on, also addresses that no link can be opened to. */
function isListenHost(host: string): boolean {
  return isIP(host) !== 0 || isUsableHost(host);
}

/** Content of a VM's heartbeat object. */
export const heartbeatSchema = z
  .object({
    beat: z.int().min(0).max(MAX_BEAT),
    startedAt: z.int().min(0).max(MAX_START_TIME),
    zone: text,
    host: text.refine(isListenHost).optional(),
    port: z.number().refine(isUsablePort).optional(),
    power: z.number().positive().max(MAX_POWER).optional(),
  })
  .refine(({ host, port }) => (host === undefined) === (port === undefined), { path: ['host'] });

const nameSchema = text.min(1);

/** Decodes a heartbeat; `onOdd` is told when the object is none of a VM. */
export function decodeHeartbeat(
  { name, spec }: StoredObject,
  onOdd: (problem: Pick<OddEntry, 'reason'>) => void,
): Heartbeat | undefined {
  if (!nameSchema.safeParse(name).success) {
    onOdd({ reason: 'name' });
    return undefined;
  }
  const parsed = heartbeatSchema.safeParse(spec);
  if (!parsed.success) {
    onOdd({ reason: String(parsed.error.issues[0]?.path[0] ?? 'spec') });
    return undefined;
  }
  const { beat, startedAt, zone, host = '', port, power } = parsed.data;
  const address = { id: name, zone, host, port, ...(power === undefined ? {} : { power }) };
  return { beat, startedAt, address };
}
