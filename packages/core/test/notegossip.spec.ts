import { expect } from 'earl';
import fc from 'fast-check';
import { MAX_GOSSIP_BYTES, type PeerExchange, NoteGossip } from '../src/index.js';

const SEED = 11;
const STEP_MS = 200;

const createText = (number: number, padding = 0): string =>
  JSON.stringify({
    id: `id-${number}`,
    base: number - 1,
    added: {
      contracts: [
        {
          name: `contract-${number}`,
          match: { statementPrefix: 'x'.repeat(padding + 1) },
          maxAgeMs: 0,
          length: 'short',
          repeat: 'never',
        },
      ],
    },
  });

/** Daemons that exchange messages with peers; `isLost` decides which messages are lost. */
class Mesh {
  readonly numbers: number[][];

  readonly gossips: NoteGossip[];

  greatestBytes = 0;

  private readonly lastMessages = new Map<string, PeerExchange>();

  private now = 0;

  constructor(
    size: number,
    private readonly isLost: () => boolean,
  ) {
    this.numbers = Array.from({ length: size }, () => []);
    this.gossips = this.numbers.map((seen) => new NoteGossip(({ number }) => seen.push(number)));
  }

  send(from: number, to: number): void {
    const gossip = this.gossips[from];
    const lastMessage = this.lastMessages.get(`${from}<${to}`);
    const part = gossip?.collect(String(to), lastMessage, this.now) ?? {};
    const empty = { noteNumber: 0, members: [], observations: [], records: [], notes: [] };
    const message = { ...empty, ...part, from: String(from) };
    const bytes = message.notes.reduce((sum, { text }) => sum + Buffer.byteLength(text), 0);
    this.greatestBytes = Math.max(this.greatestBytes, bytes);
    if (this.isLost()) return;
    this.lastMessages.set(`${to}<${from}`, message);
    this.gossips[to]?.handle(message);
  }

  runRound(): void {
    this.now += STEP_MS;
    this.gossips.forEach((_, index) => {
      [1, 2, 5].forEach((step) => {
        const peer = (index + step) % this.gossips.length;
        this.send(index, peer);
        this.send(peer, index);
      });
    });
  }
}

const hasOnlyIncreases = (seen: readonly number[]): boolean =>
  seen.every((number, index) => index === 0 || number > (seen[index - 1] ?? 0));

describe('NoteGossip', () => {
  // Guards against notes that never reach a daemon after message loss or an outage of the platform,
  // and against a daemon that reverts to an older note.
  it('reaches every daemon with 10% loss and outages, and never reverts', () => {
    const schedule = fc.array(fc.record({ at: fc.nat(7), older: fc.boolean() }), { maxLength: 30 });
    fc.assert(
      fc.property(schedule, fc.infiniteStream(fc.nat(9)), (steps, draws) => {
        const mesh = new Mesh(8, () => draws.next().value === 0);
        let newest = 0;
        steps.forEach(({ at, older }) => {
          // A daemon that reaches the platform reads all notes; an outdated read has no effect.
          if (!older) newest += 1;
          for (let number = 1; number <= newest; number++) {
            mesh.gossips[at]?.addNote(number, createText(number));
          }
          mesh.runRound();
        });
        for (let round = 0; round < 60; round++) mesh.runRound();
        const last = mesh.gossips.map(({ configuration }) => configuration.number);
        expect(last).toEqual(last.map(() => newest));
        expect(mesh.numbers.every(hasOnlyIncreases)).toEqual(true);
      }),
      { seed: SEED, numRuns: 100 },
    );
  });

  // Guards against a daemon that cannot catch up because it starts during an outage of the
  // platform, when peers no longer keep the oldest notes.
  it('brings a new daemon up to date from peers, by snapshot shards of bounded size', () => {
    let draw = 0;
    const mesh = new Mesh(3, () => {
      draw += 1;
      return draw % 10 === 0;
    });
    for (let number = 1; number <= 330; number++) {
      const padding = number <= 300 ? 0 : 900;
      mesh.gossips[0]?.addNote(number, createText(number, padding));
    }
    for (let round = 0; round < 60; round++) mesh.runRound();
    const [first, ...others] = mesh.gossips.map(({ configuration }) => configuration);
    expect(first?.number).toEqual(330);
    others.forEach((other) => expect(other).toEqual(first!));
    expect(mesh.greatestBytes <= MAX_GOSSIP_BYTES).toEqual(true);
  });
});
