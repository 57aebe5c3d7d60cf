import { expect } from 'earl';
import { computeClientLimits, MemoryBudget } from '../src/index.js';

const LIMIT = 8 * 1024 * 1024;
const LARGE = 1024 * 1024;

describe('MemoryBudget', () => {
  // Guards against a limit for each connection alone, which many connections pass together, and
  // against closing the newest one while the one that holds most stays.
  it('closes the connections that hold most until the rest fits', () => {
    const budget = new MemoryBudget(LIMIT);
    const closed: number[] = [];
    const accounts = [3, 1, 5, 2].map((_, index) => budget.open(() => closed.push(index)));
    [3, 1, 5, 2].forEach((units, index) => accounts[index]?.updateBuffered(units * LARGE));
    expect(closed).toEqual([2]);
    expect(budget.countHeld()).toEqual(6 * LARGE);
    expect(budget.readLevel()).toEqual('paused');
  });

  // Closing a link cuts the work of many clients.
  it('closes a shared connection only when no other holds much', () => {
    const budget = new MemoryBudget(LIMIT);
    const closed: string[] = [];
    const link = budget.open(() => closed.push('link'), true);
    const client = budget.open(() => closed.push('client'));
    const idle = budget.open(() => closed.push('idle'));
    idle.updateBuffered(100);
    client.updateBuffered(LARGE);
    link.updateBuffered(LIMIT);
    expect(closed).toEqual(['client', 'link']);
    expect(budget.countHeld()).toEqual(100);
  });

  // Guards against the end of a transaction that is refused, and against a message that never runs.
  it('refuses further large messages in progress, but no small one and no only one', () => {
    const budget = new MemoryBudget(LIMIT);
    const account = budget.open(() => undefined);
    const started = Array.from({ length: 8 }, () => account.startMessage(LARGE));
    expect(started.filter(Boolean).length).toEqual(4);
    expect(account.startMessage(200)).toEqual(true);
    started.filter(Boolean).forEach(() => account.finishMessage(LARGE));
    account.finishMessage(200);
    expect(budget.countHeld()).toEqual(0);
    expect(account.startMessage(2 * LIMIT)).toEqual(true);
  });

  // Guards against bytes that are counted for ever after a late update of a closed connection.
  it('counts nothing for a closed connection but its messages in progress', () => {
    const budget = new MemoryBudget(LIMIT);
    const account = budget.open(() => undefined);
    account.startMessage(LARGE);
    account.updateBuffered(LARGE);
    account.close();
    account.updateBuffered(LARGE);
    expect(budget.countHeld()).toEqual(LARGE);
    account.finishMessage(LARGE);
    expect(budget.countHeld()).toEqual(0);
  });
});

describe('computeClientLimits', () => {
  // Guards against a VM without descriptors for its instances, and against memory that it lacks.
  it('leaves a reserve of descriptors and most of the memory', () => {
    const vm = { cores: 1, memoryMb: 250, descriptors: 4_300 };
    const limits = computeClientLimits(vm, 160 * LARGE, { answerMs: 5 });
    expect(limits).toEqual({
      ...{ memoryBytes: 24 * LARGE, maxClients: 3_076, maxLinks: 512 },
      ...{ firstMessageMs: 10_000, messageMs: 30_000, answerMs: 5 },
    });
  });
});
