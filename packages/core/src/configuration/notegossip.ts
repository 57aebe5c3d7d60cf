import type { Millis } from '../clock.js';
import { NoteChain } from './chain.js';
import type { Configuration } from './note.js';
import { ExchangeFeature, type NoteUpdate, type PeerExchange } from '../membership/peer.js';
import { createShards, ShardCollector, SNAPSHOT_INTERVAL, type SnapshotShard } from './snapshot.js';

/** Size limit of the notes in a message; any note or shard that the platform accepts fits. */
export const MAX_GOSSIP_BYTES = 1_000_000;
/** Notes are not resent within this time to a peer that still reports an old number. */
const RESEND_INTERVAL_MS: Millis = 1_000;

/** What has been sent to one peer. */
interface Progress {
  /** Greatest number that was sent to or reported by the peer. */
  sentNumber: number;
  sentAt: Millis;
  /** Number of shards sent, which determines the next one. */
  shard: number;
}

/**
 * Gossips release notes between daemons. Each message carries the number of the newest note in
 * force as a digest; the receiver's number shows the sender which notes are missing. Notes are
 * sent and applied in order, so numbers only increase. A peer that lacks notes older than the kept
 * ones gets the shards of the last snapshot, in rotation, until it reports a newer number.
 */
export class NoteGossip extends ExchangeFeature {
  private readonly texts = new Map<number, string>();

  private readonly progress = new Map<string, Progress>();

  private readonly collector = new ShardCollector();

  private chain = new NoteChain();

  /** Last snapshot, at a multiple of the interval; the same on all daemons at one number. */
  private base: Configuration = this.chain.configuration;

  private shards: readonly SnapshotShard[] | undefined;

  /** Number in force at the last call of `hasUpdates`. */
  private announcedNumber = 0;

  constructor(private readonly onConfiguration: (configuration: Configuration) => void) {
    super();
  }

  get configuration(): Configuration {
    return this.chain.configuration;
  }

  /** Finds the text of a recent note. */
  findText(number: number): string | undefined {
    return this.texts.get(number);
  }

  /** Adds an accepted note; false unless it is the next one. */
  addNote(number: number, text: string): boolean {
    if (!this.chain.add(number, text)) return false;
    this.texts.set(number, text);
    if (number % SNAPSHOT_INTERVAL === 0) this.updateBase();
    this.onConfiguration(this.configuration);
    return true;
  }

  /** Replaces the configuration by a snapshot; false unless the snapshot is newer. */
  addSnapshot(configuration: Configuration): boolean {
    if (configuration.number <= this.configuration.number) return false;
    this.chain = new NoteChain(configuration);
    this.texts.clear();
    this.updateBase();
    this.onConfiguration(configuration);
    return true;
  }

  /** True once after each change, so that a note is sent without waiting for the next round. */
  hasUpdates(): boolean {
    const { number } = this.configuration;
    const isNew = number > this.announcedNumber;
    this.announcedNumber = number;
    return isNew;
  }

  override collect(
    peer: string,
    lastMessage: PeerExchange | undefined,
    now: Millis,
  ): Partial<PeerExchange> {
    const { number } = this.configuration;
    const peerNumber = lastMessage?.noteNumber;
    const notes =
      peerNumber === undefined || peerNumber >= number
        ? []
        : this.listMissing(peer, peerNumber, now);
    return { noteNumber: number, notes };
  }

  override handle(message: PeerExchange): void {
    [...message.notes]
      .sort((a, b) => a.number - b.number)
      .forEach(({ number, text }) => {
        if (number <= this.configuration.number) return;
        // Shards begin with the field `number`, which notes don't have.
        if (text.startsWith('{"number":')) this.handleShard(text);
        else this.addNote(number, text);
      });
  }

  private handleShard(text: string): void {
    const configuration = this.collector.add(text);
    if (configuration) this.addSnapshot(configuration);
  }

  private updateBase(): void {
    this.base = this.configuration;
    this.shards = undefined;
    [...this.texts.keys()]
      .filter((number) => number <= this.base.number - SNAPSHOT_INTERVAL)
      .forEach((number) => this.texts.delete(number));
  }

  private listMissing(peer: string, peerNumber: number, now: Millis): readonly NoteUpdate[] {
    const progress = this.progress.get(peer) ?? { sentNumber: 0, sentAt: -Infinity, shard: 0 };
    this.progress.set(peer, progress);
    if (now - progress.sentAt >= RESEND_INTERVAL_MS) progress.sentNumber = peerNumber;
    const from = Math.max(peerNumber, progress.sentNumber);
    if (!this.texts.has(peerNumber + 1)) {
      progress.sentAt = now;
      progress.shard += 1;
      return this.listShard(progress.shard);
    }
    const notes = this.listAfter(from);
    if (notes.length > 0) {
      progress.sentNumber = notes.at(-1)?.number ?? from;
      progress.sentAt = now;
    }
    return notes;
  }

  private listShard(turn: number): readonly NoteUpdate[] {
    this.shards ??= createShards(this.base);
    const next = this.shards[turn % this.shards.length];
    return next ? [{ number: next.number, text: next.text }] : [];
  }

  private listAfter(from: number): readonly NoteUpdate[] {
    const notes: NoteUpdate[] = [];
    let remainingBytes = MAX_GOSSIP_BYTES;
    for (let number = from + 1; number <= this.configuration.number; number++) {
      const text = this.texts.get(number);
      remainingBytes -= text === undefined ? 0 : Buffer.byteLength(text);
      if (text === undefined || remainingBytes < 0) break;
      notes.push({ number, text });
    }
    return notes;
  }
}
