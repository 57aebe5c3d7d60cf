/** A difference that lasts for this many messages is more than a change still in flight. */
const MAX_DIFFERENCES = 3;

/** Synchronization state of one peer. */
interface Peer {
  cursor: number;
  differences: number;
  introduced: boolean;
}

/** Anti-entropy state: which peers lack entries of this VM's membership table. */
export class PeerSync {
  private readonly peers = new Map<string, Peer>();

  /** True once the peer is known to have an entry for this VM. */
  isIntroducedTo(id: string): boolean {
    return this.find(id).introduced;
  }

  /** Handles a message of the peer, which shows that it knows this VM. */
  handleMessage(id: string, isSame: boolean): void {
    const peer = this.find(id);
    peer.introduced = true;
    peer.differences = isSame ? 0 : peer.differences + 1;
  }

  /** True when the peer's digest has differed for several messages. */
  hasDiverged(id: string): boolean {
    return this.find(id).differences >= MAX_DIFFERENCES;
  }

  /** Takes the next `count` entries of a list that is sent to the peer in rotation. */
  takeWindow<T>(id: string, all: readonly T[], count: number): readonly T[] {
    const peer = this.find(id);
    const from = peer.cursor;
    peer.cursor = (from + count) % Math.max(1, all.length);
    const first = all.slice(from, from + count);
    return [...first, ...all.slice(0, Math.min(from, count - first.length))];
  }

  /** Removes the state of a peer, for instance because it has restarted. */
  remove(id: string): void {
    this.peers.delete(id);
  }

  private find(id: string): Peer {
    const known = this.peers.get(id);
    if (known) return known;
    const peer = { cursor: 0, differences: 0, introduced: false };
    this.peers.set(id, peer);
    return peer;
  }
}
