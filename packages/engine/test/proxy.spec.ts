import type { PromotionRecord } from '@shallotpick/core';
import { expect } from 'earl';
import { PROMOTIONS_KIND, SHUTTING_DOWN, VMS_KIND, wait } from '../src/index.js';
import { createFixture, type Fixture } from './fixture.js';
import { createConfiguration } from './store.js';

const POLL_MS = 100;
const MAX_POLLS = 100;
/** Shorter than the time between the first heartbeats. */
const MAX_REGISTRATION_MS = 1_200;
const MAX_REPLY_MS = 2_000;
/** Time until a watch that is in progress has answered. */
const WATCH_MS = 50;

/** Waits for a settled promotion record of the given era; undefined when none appears. */
async function waitForRecord({ store }: Fixture, era: number) {
  for (let poll = 0; poll < MAX_POLLS; poll += 1) {
    const { object } = await store.find(PROMOTIONS_KIND, 'g');
    const record = object?.spec as PromotionRecord | undefined;
    if (record?.era === era && record.phase === 'settled') return record;
    await wait(POLL_MS);
  }
  return undefined;
}

describe('Proxy on a store that comes back from an older copy', () => {
  // A VM never learnt that the store had lost its group's record, since a listing tells only what
  // there is; it went on believing in the record until a claim failed.
  it('gives a group whose promotion record is lost a new one', async () => {
    const fixture = await createFixture();
    fixture.promotions.answer = 'accepted';
    expect(await waitForRecord(fixture, 1)).not.toEqual(undefined);
    fixture.store.restore(PROMOTIONS_KIND, [], 1);
    expect((await waitForRecord(fixture, 2))?.era).toEqual(2);
    fixture.stop();
  });

  // A process that started meanwhile did not see this VM for up to 10 s.
  it('registers its VM again at once', async () => {
    const fixture = await createFixture();
    fixture.store.restore(VMS_KIND, [], 1);
    await wait(MAX_REGISTRATION_MS);
    expect((await fixture.store.find(VMS_KIND, 'vm')).object).not.toEqual(undefined);
    fixture.stop();
  });
});

describe('Proxy that has stopped', () => {
  // A group that started then had no ticks, so a request for it was never answered.
  it('starts no group of a configuration that arrives afterwards', async () => {
    const fixture = await createFixture();
    const next = createConfiguration(20, { timeoutMs: 600, transactionIdleMs: 300 });
    const groups = [...next.groups].map(([, group]) => ['h', { ...group, name: 'h' }] as const);
    const routes = [...next.routes].map(
      ([name, route]) => [name, { ...route, group: 'h' }] as const,
    );
    const session = fixture.createSession('fresh');
    fixture.store.put('configurations', 'main', {
      ...{ version: 2, groups: new Map(groups), routes: new Map(routes) },
      transactionIdleMs: next.transactionIdleMs,
    });
    fixture.stop();
    await wait(WATCH_MS);
    const statement = { kind: 'write', text: 'w' } as const;
    const reply = await Promise.race([session.run({ id: '1', statement }), wait(MAX_REPLY_MS)]);
    expect(reply?.failure).toEqual({ verdict: 'overloaded', reason: SHUTTING_DOWN });
    expect(fixture.proxy.findGroup('h') === undefined).toEqual(true);
  });
});
