import { expect } from 'earl';
import { ManualClock } from '@shallotpick/core';
import { ConnectionPool, type PooledConnection } from '../src/index.js';

class FakePooled implements PooledConnection {
  isOpen = true;

  constructor(readonly organisation: string | undefined) {}

  isUsable(): boolean {
    return this.isOpen;
  }

  isClean(): boolean {
    return true;
  }

  close(): void {
    this.isOpen = false;
  }
}

class FakePool extends ConnectionPool<FakePooled> {
  readonly opened: FakePooled[] = [];

  protected override async openConnection(organisation: string | undefined): Promise<FakePooled> {
    const connection = new FakePooled(organisation);
    this.opened.push(connection);
    return connection;
  }
}

async function createPool(limit: number, idle: readonly (string | undefined)[]): Promise<FakePool> {
  const pool = new FakePool(new ManualClock());
  pool.updateLimit(limit);
  const connections = await Promise.all(idle.map(async (name) => pool.connectFor(name)));
  connections.forEach((connection) => pool.release(connection));
  return pool;
}

describe('the connections of organisations', () => {
  it('are used again by their own organisation only', async () => {
    const pool = await createPool(3, ['north', 'south']);
    const connection = await pool.connectFor('north');
    expect(connection.organisation).toEqual('north');
    expect(pool.opened.length).toEqual(2);
    expect((await pool.connectFor('north')).organisation).toEqual('north');
    expect(pool.opened.length).toEqual(3);
  });

  // More organisations than connections must not exceed the instance's limit.
  it('replace the one that has been idle for longest at the limit', async () => {
    const pool = await createPool(2, ['north', 'south']);
    await pool.connectFor('east');
    expect(pool.opened.map(({ organisation, isOpen }) => [organisation, isOpen])).toEqual([
      ['north', false],
      ['south', true],
      ['east', true],
    ]);
    expect(pool.countOpen()).toEqual(2);
  });

  it('serve probes in any name when none of this VM is idle', async () => {
    const pool = await createPool(1, ['north']);
    expect((await pool.connect()).organisation).toEqual('north');
  });
});
