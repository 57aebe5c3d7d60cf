import { expect } from 'earl';
import fc from 'fast-check';
import { PingTargets } from '../src/membership/pingtargets.js';
import type { MemberUpdate } from '../src/index.js';

const toUpdate = (id: string, state: MemberUpdate['state']): MemberUpdate => ({
  vm: { id, zone: 'z', host: 'h', peerPort: 1 },
  incarnation: 1,
  state,
});

describe('PingTargets', () => {
  // Guards against VMs that no other VM pings, uneven load, and rings that depend on the order of
  // changes.
  it('gives each VM two VMs to ping and two that ping it, whatever the order of changes', () => {
    const states = fc.array(
      fc.tuple(fc.nat(29), fc.constantFrom<MemberUpdate['state']>('live', 'suspect', 'dead')),
      { maxLength: 40 },
    );
    fc.assert(
      fc.property(states, (changes) => {
        const ids = Array.from({ length: 30 }, (_, index) => `vm-${index}`);
        const live = new Map<string, MemberUpdate['state']>(ids.map((id) => [id, 'live']));
        changes.forEach(([index, state]) => live.set(ids[index] ?? '', state));
        const counts = new Map<string, number>();
        ids.forEach((self) => {
          const targets = new PingTargets(self, 2);
          ids.forEach((id) => id !== self && targets.handleChange(toUpdate(id, 'live')));
          changes.forEach(([index, state]) => {
            const id = ids[index] ?? '';
            if (id !== self) targets.handleChange(toUpdate(id, state));
          });
          if (live.get(self) !== 'live') return;
          const found = [...targets.list()];
          expect(found.filter((id) => live.get(id) === 'live').length <= 2).toEqual(true);
          found.forEach((id) => counts.set(id, (counts.get(id) ?? 0) + 1));
        });
        const alive = ids.filter((id) => live.get(id) !== 'dead');
        const pingers = ids.filter((id) => live.get(id) === 'live');
        if (pingers.length < 4) return;
        expect(alive.every((id) => [1, 2].includes(counts.get(id) ?? 0))).toEqual(true);
      }),
    );
  });
});
