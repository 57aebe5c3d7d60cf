const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** 32-bit FNV-1a with a finalizer, so that keys with equal prefixes are distributed evenly. */
export function computeHash(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Ranks VMs for a duty by rendezvous hashing: the loss of a VM moves only its own duties. */
export function rankVms(duty: string, vms: readonly string[]): readonly string[] {
  return vms
    .map((vm) => ({ vm, weight: computeHash(`${duty}|${vm}`) }))
    .sort((a, b) => b.weight - a.weight || a.vm.localeCompare(b.vm))
    .map(({ vm }) => vm);
}
