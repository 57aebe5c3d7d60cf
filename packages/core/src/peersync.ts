/** A difference that lasts for this many messages of a peer is not just news on its way. */
const DIFFERENCES = 3;

interface Peer {
  cursor: number;
  differences: number;
  introduced: boolean;
}

/** What each peer of the membership traffic lacks. */
export class PeerSync {
  private readonly peers = new Map<string, Peer>();

  /** True once the peer is known to have an entry of this VM. */
  isIntroducedTo(id: string): boolean {
    return this.find(id).introduced;
  }

  /** Notes a message of the peer, which shows that it knows this VM. */
  handleMessage(id: string, isSame: boolean): void {
    const peer = this.find(id);
    peer.introduced = true;
    peer.differences = isSame ? 0 : peer.differences + 1;
  }

  /** True when the peer has believed something else for several messages. */
  hasDiverged(id: string): boolean {
    return this.find(id).differences >= DIFFERENCES;
  }

  /** Takes the next `count` entries of a list that the peer is given in turn. */
  takeWindow<T>(id: string, all: readonly T[], count: number): readonly T[] {
    const peer = this.find(id);
    const from = peer.cursor;
    peer.cursor = (from + count) % Math.max(1, all.length);
    const first = all.slice(from, from + count);
    return [...first, ...all.slice(0, Math.min(from, count - first.length))];
  }

  /** Forgets a peer, for instance because it began a new life. */
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
