import { RetryBudgets } from '@shallotpick/core';
import { expect } from 'earl';
import { Attempts } from '../src/attempt.js';
import { SessionContext } from '../src/context.js';
import {
  CallerIdentity,
  ConfigurationHolder,
  createEngineLog,
  type GroupAccess,
  Metrics,
  NotRunError,
  ShutdownSchedule,
  SystemClock,
  UnlimitedQuota,
  type WorkRequest,
} from '../src/index.js';
import { createConfiguration } from './store.js';

/** More groups than a session holds positions of. */
const MANY_GROUPS = 40;
const CONFIGURATION = createConfiguration(20, { timeoutMs: 600, transactionIdleMs: 300 });
const ROUTE = CONFIGURATION.routes.get('aged')!;
const AUTHORIZED = { route: ROUTE, organisation: undefined, version: CONFIGURATION.version };
const RETRIES = { ratio: 1, capacity: 1 };

describe('Attempts', () => {
  let context: SessionContext;
  let requests: WorkRequest[];

  beforeEach(() => {
    requests = [];
    const group = {
      admit: async (request: WorkRequest) => {
        requests.push(request);
        throw new NotRunError('not admitted');
      },
    } as unknown as GroupAccess;
    const configuration = new ConfigurationHolder();
    configuration.update(CONFIGURATION);
    const clock = new SystemClock();
    context = new SessionContext({
      ...{ configuration, clock, database: 'aged', caller: 'caller' },
      identity: new CallerIdentity('a', configuration, () => true),
      requestProof: () => true,
      describeProof: () => ({ version: configuration.read()?.version, provedMsAgo: 0 }),
      log: createEngineLog('error', 'vm'),
      metrics: new Metrics(),
      findGroup: () => group,
      retries: new RetryBudgets({ total: RETRIES, organisation: RETRIES }),
      quota: new UnlimitedQuota(),
      shutdown: new ShutdownSchedule(clock),
    });
  });

  const requestRead = async (): Promise<WorkRequest | undefined> => {
    await new Attempts(context, AUTHORIZED, 'r', 'read').admit();
    return requests.at(-1);
  };

  // The position of another group's log was required of this one.
  it('require only what the session has committed in the group', async () => {
    context.handleCommit('another', { term: 9, offset: 1 });
    expect((await requestRead())?.lastCommit).toEqual(undefined);
    context.handleCommit(ROUTE.group, { term: 1, offset: 7 });
    expect((await requestRead())?.lastCommit?.position).toEqual({ term: 1, offset: 7 });
  });

  // Guards against a read anywhere of a session whose commit was dropped for lack of room.
  it('read at the leader where the position of the session may have been dropped', async () => {
    expect((await requestRead())?.contract).toEqual(ROUTE.contract);
    for (let index = 0; index < MANY_GROUPS; index += 1) {
      context.handleCommit(`group ${index}`, { term: 1, offset: 1 });
    }
    expect((await requestRead())?.contract).toEqual({ ...ROUTE.contract, maxAgeMs: 0 });
    context.handleCommit(ROUTE.group, { term: 1, offset: 7 });
    expect((await requestRead())?.contract).toEqual(ROUTE.contract);
  });
});
