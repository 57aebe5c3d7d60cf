import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'earl';
import {
  AnswerChecker,
  InvariantChecker,
  type JudgedVm,
  SoakOrganisations,
  StallWatch,
} from '../src/index.js';

const ANSWERED = 'every request that is read is answered';
const LONG_AGO_MS = 10_000;

function createVm(isLeftAlone: boolean): JudgedVm {
  return { name: 'vm-0', isStopping: false, isLeftAloneSince: () => isLeftAlone };
}

function createRequest(vm: JudgedVm, sentMsAgo: number) {
  const sentAt = performance.now() - sentMsAgo;
  return { vm, id: 'a1', text: 'READ item1', sentAt, wasStopping: false };
}

describe('AnswerChecker', () => {
  let directory: string;
  let checker: InvariantChecker;
  let answers: AnswerChecker;

  const listViolations = (): readonly string[] =>
    checker.violations.map(({ invariant }) => invariant);

  const checkLog = async (fields: Readonly<Record<string, unknown>>): Promise<void> => {
    const line = { message: 'requests left unanswered', vm: 'vm-0', ...fields };
    await writeFile(join(directory, 'vm-0.log'), `${JSON.stringify(line)}\n`);
    await answers.checkLogs(directory);
  };

  beforeEach(async () => {
    directory = await mkdtemp(join(tmpdir(), 'shallotpick-answers-'));
    const publish = (): void => undefined;
    checker = new InvariantChecker(() => 0, new SoakOrganisations(0, publish, () => 0));
    answers = new AnswerChecker(checker, new StallWatch());
  });

  afterEach(() => rm(directory, { recursive: true }));

  // A request in flight when its connection is closed may be unread; only the log can tell.
  it('leaves a request that has just been sent to the log of the VM', async () => {
    answers.handleInterruption(createRequest(createVm(true), 1));
    expect(listViolations()).toEqual([]);
    await checkLog({ reason: 'drain', isReadAfterClose: true });
    expect(listViolations()).toEqual([ANSWERED]);
  });

  // Guards against a check that trusts the log alone, which a faulty VM may not write.
  it('reports a request that was read long before the end of its connection', () => {
    answers.handleInterruption(createRequest(createVm(true), LONG_AGO_MS));
    expect(listViolations()).toEqual([ANSWERED]);
  });

  // A VM that was killed or paused answers nothing.
  it('reports no request of a VM that was disturbed', async () => {
    const request = createRequest(createVm(false), LONG_AGO_MS);
    answers.handleInterruption(request);
    await checkLog({ reason: 'caller left', oldest: 'QUERY a1 READ' });
    expect(listViolations()).toEqual([]);
  });

  // A VM that closes a connection itself must not count as left by its caller.
  it('believes in a caller that left only if it did', async () => {
    await checkLog({ reason: 'caller left', oldest: 'QUERY a1 READ' });
    expect(listViolations()).toEqual([ANSWERED]);
    answers.handleDeparture(createRequest(createVm(true), 1), performance.now());
    await checkLog({ reason: 'caller left', oldest: 'QUERY a1 READ' });
    expect(listViolations()).toEqual([ANSWERED]);
  });

  // A wait that nobody settles ends for the caller as its own timeout.
  it('reports a request without an answer for longer than any timeout', () => {
    const request = createRequest(createVm(true), LONG_AGO_MS);
    answers.handleDeparture(request, request.sentAt);
    expect(listViolations()).toEqual(['a request is answered within its timeout']);
  });
});
