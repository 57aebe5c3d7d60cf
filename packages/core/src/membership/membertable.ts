import type { MemberUpdate } from './peer.js';
import { computeHash } from './rendezvous.js';

const STATE_RANK = { live: 0, suspect: 1, leaving: 2, dead: 3 } as const;

const formatVm = ({ vm }: MemberUpdate): string => `${vm.zone} ${vm.host}:${vm.peerPort}`;

/**
 * Orders updates about one VM by incarnation, then by state, then by address. Every VM keeps the
 * greatest update, so that reordered and repeated messages make no difference.
 */
export function compareMembers(a: MemberUpdate, b: MemberUpdate): number {
  return (
    a.incarnation - b.incarnation ||
    STATE_RANK[a.state] - STATE_RANK[b.state] ||
    Number(formatVm(a) > formatVm(b)) - Number(formatVm(a) < formatVm(b))
  );
}

/** Holds the greatest update of each VM, and a digest of those that are not dead. */
export class MemberTable {
  private readonly members = new Map<string, MemberUpdate>();

  private sum = 0;

  get size(): number {
    return this.members.size;
  }

  /** Equal on two VMs that hold the same updates about all VMs that are not dead. */
  get digest(): number {
    return this.sum;
  }

  find(id: string): MemberUpdate | undefined {
    return this.members.get(id);
  }

  list(): readonly MemberUpdate[] {
    return [...this.members.values()];
  }

  /** Keeps the update if it is greater than the known one; returns true if so. */
  merge(update: MemberUpdate): boolean {
    const known = this.members.get(update.vm.id);
    if (known && compareMembers(update, known) <= 0) return false;
    this.members.set(update.vm.id, update);
    this.updateDigest(known, update);
    return true;
  }

  remove(id: string): void {
    const known = this.members.get(id);
    this.members.delete(id);
    this.updateDigest(known, undefined);
  }

  private updateDigest(before: MemberUpdate | undefined, after: MemberUpdate | undefined): void {
    this.sum = (this.sum - this.computeDigest(before) + this.computeDigest(after)) >>> 0;
  }

  private computeDigest(member: MemberUpdate | undefined): number {
    if (!member || member.state === 'dead') return 0;
    const { vm, incarnation, state } = member;
    return computeHash(`${vm.id}|${incarnation}|${state}|${formatVm(member)}`);
  }
}
