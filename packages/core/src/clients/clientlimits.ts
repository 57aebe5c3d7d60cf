import type { Millis } from '../clock.js';
import type { VmLimits } from '../membership/vmpower.js';

const MIB_BYTES = 1024 * 1024;

/** Fractions of the VM's memory and of the heap that connections may make the process hold. */
const MEMORY_FRACTION = 0.1;
const HEAP_FRACTION = 0.15;
/** Room for some messages of the largest size. */
const MIN_MEMORY_BYTES = 8 * MIB_BYTES;

/** Descriptors of files, which are not available for sockets. */
const FILE_DESCRIPTORS = 200;
/** Descriptors for instances, store, links, readiness and metrics. */
const MAX_RESERVE = 1_024;
const RESERVE_FRACTION = 0.25;
/** Fraction of the reserve that links of other VMs may use. */
const LINK_FRACTION = 0.5;
const DEFAULT_MAX_CLIENTS = 20_000;
const DEFAULT_MAX_LINKS = 1_024;

const FIRST_MESSAGE_MS: Millis = 10_000;
const MESSAGE_MS: Millis = 30_000;
const ANSWER_MS: Millis = 30_000;

/** Limits that protect a process from clients that misbehave. */
export interface ClientLimits {
  /** Bytes that all connections together may make the process hold. */
  readonly memoryBytes: number;
  /** Connections of callers. */
  readonly maxClients: number;
  /** Links that other VMs have opened. */
  readonly maxLinks: number;
  /** Time for the first message of a connection. */
  readonly firstMessageMs: Millis;
  /** Time from the beginning of a message to its end. */
  readonly messageMs: Millis;
  /** Time in which a client must take an answer. */
  readonly answerMs: Millis;
}

/** Limits that were set; the others follow from what the VM has. */
export type ClientLimitOverrides = Partial<Omit<ClientLimits, 'maxLinks'>>;

/** Computes the bytes that connections may hold, from the memory of the VM and of the heap. */
function computeMemory(vm: VmLimits | undefined, heapBytes: number): number {
  const memoryBytes = (vm?.memoryMb ?? Infinity) * MIB_BYTES;
  const limit = Math.min(memoryBytes * MEMORY_FRACTION, heapBytes * HEAP_FRACTION);
  return Math.max(MIN_MEMORY_BYTES, Math.floor(limit));
}

/** Divides the descriptors among callers and links; the rest is the process's own. */
function computeConnections(
  descriptors: number | undefined,
): Pick<ClientLimits, 'maxClients' | 'maxLinks'> {
  if (descriptors === undefined) {
    return { maxClients: DEFAULT_MAX_CLIENTS, maxLinks: DEFAULT_MAX_LINKS };
  }
  const sockets = Math.max(1, descriptors - FILE_DESCRIPTORS);
  const reserve = Math.min(MAX_RESERVE, Math.ceil(sockets * RESERVE_FRACTION));
  return {
    maxClients: Math.max(1, sockets - reserve),
    maxLinks: Math.max(1, Math.floor(reserve * LINK_FRACTION)),
  };
}

/** Computes the limits from what the VM and the heap have, and from those that were set. */
export function computeClientLimits(
  vm: VmLimits | undefined,
  heapBytes: number,
  overrides: ClientLimitOverrides = {},
): ClientLimits {
  return {
    memoryBytes: computeMemory(vm, heapBytes),
    ...computeConnections(vm?.descriptors),
    ...{ firstMessageMs: FIRST_MESSAGE_MS, messageMs: MESSAGE_MS, answerMs: ANSWER_MS },
    ...overrides,
  };
}
