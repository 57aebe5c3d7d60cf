import { expect } from 'earl';
import { ConfigurationLease } from '../src/index.js';

const DURATION_MS = 1_000;

describe('ConfigurationLease', () => {
  // A process that starts may hold a configuration that was replaced long ago.
  it('is not valid before the first proof', () => {
    expect(new ConfigurationLease(DURATION_MS).isValid(0)).toEqual(false);
  });

  // The store's answer may have waited on its way, so only the time of the request counts.
  it('lasts from the time at which the proving request was sent', () => {
    const lease = new ConfigurationLease(DURATION_MS);
    lease.handleProof({ version: 3, provedAt: 500 }, 3);
    expect([1_499, 1_500].map((now) => lease.isValid(now))).toEqual([true, false]);
  });

  // Proofs of other VMs arrive in any order.
  it('is not shortened by an older proof', () => {
    const lease = new ConfigurationLease(DURATION_MS);
    lease.handleProof({ version: 3, provedAt: 500 }, 3);
    lease.handleProof({ version: 3, provedAt: 100 }, 3);
    expect(lease.isValid(1_400)).toEqual(true);
  });

  // The later version may have taken a key away that the version in use still has.
  it('is not renewed by the proof of a later version', () => {
    const lease = new ConfigurationLease(DURATION_MS);
    expect(lease.handleProof({ version: 4, provedAt: 500 }, 3)).toEqual(false);
    expect(lease.isValid(600)).toEqual(false);
  });
});
