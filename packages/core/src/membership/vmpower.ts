/** Memory that a VM needs to make use of one core. */
const MEMORY_PER_CORE_MB = 256;

const CLASSES_PER_DOUBLING = 2;

/** What a VM may use, as its own settings tell it. */
export interface VmLimits {
  /** Cores, also as a fraction of one. */
  readonly cores: number;
  readonly memoryMb: number;
  /** File descriptors of the process, sockets included. */
  readonly descriptors?: number | undefined;
}

/** Computes how much work a VM can do, in cores; one with little memory counts as smaller. */
export function computePower({ cores, memoryMb }: VmLimits): number {
  return Math.min(cores, memoryMb / MEMORY_PER_CORE_MB);
}

/**
 * Computes the class of each VM by its power relative to the smallest; two classes make a factor
 * of two. VMs of unknown power count as the smallest.
 */
export function classifyPower(
  vms: readonly { readonly id: string; readonly power?: number | undefined }[],
): ReadonlyMap<string, number> {
  const known = vms.flatMap(({ power }) => (power !== undefined && power > 0 ? power : []));
  const least = Math.min(...known);
  const classify = (power: number | undefined): number =>
    power !== undefined && power > 0
      ? Math.floor(CLASSES_PER_DOUBLING * Math.log2(power / least))
      : 0;
  return new Map(vms.map(({ id, power }) => [id, classify(power)]));
}
