import { createHash } from 'node:crypto';
import { expect } from 'earl';
import type { InstanceConnection } from '../src/index.js';
import { applySetup } from '../src/setup.js';

describe('the values that a connection is given', () => {
  // A session could set a short value that passed for the long one of another session.
  it('tell a short value from the hash of a long one', () => {
    const connection = { variables: new Map(), statements: new Map() };
    const long = 'x'.repeat(300);
    const short = `sha256 ${createHash('sha256').update(long).digest('hex')}`;
    const apply = (value: string) =>
      applySetup(
        connection as unknown as InstanceConnection,
        { variables: new Map([['name', value]]), statements: new Map() },
        { kind: 'commit' },
      );
    expect(apply(short)).toEqual([{ kind: 'set', name: 'name', value: short }]);
    expect(apply(long)).toEqual([{ kind: 'set', name: 'name', value: long }]);
    expect(apply(long)).toEqual([]);
  });
});
