import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { Millis } from '@shallotpick/core';
import type { InvariantChecker } from './invariantchecker.js';
import { LONGEST_TIMEOUT_MS } from './operator.js';
import type { StallWatch } from './stallwatch.js';

/** What the check needs to know of a VM. */
export interface JudgedVm {
  readonly name: string;
  readonly isStopping: boolean;
  /** True when the process has run since then, and its callers were never cut off. */
  isLeftAloneSince(time: Millis): boolean;
}

/** A request that a caller has sent; times are of `performance.now`. */
export interface SentRequest {
  readonly vm: JudgedVm;
  /** Undefined for a CONNECT. */
  readonly id: string | undefined;
  readonly text: string;
  readonly sentAt: Millis;
  /** True when the VM had been asked to stop. */
  readonly wasStopping: boolean;
}

/** A request that was in flight for so short a time when its connection ended may be unread. */
const UNREAD_REQUEST_MS: Millis = 200;
/** Added to the longest timeout of a route for what the VM, the soak and the machine need. */
const ANSWER_MARGIN_MS: Millis = 2_000;
const ANSWER_LIMIT_MS: Millis = LONGEST_TIMEOUT_MS + ANSWER_MARGIN_MS;

/**
 * A VM gives its callers 2.5 s to close after it has asked them to. Requests that arrive later
 * aren't judged if the soak's process stood still for a good part of that time.
 */
const CLOSE_WINDOW_MS: Millis = 3_000;
const MAX_JUDGED_STALL_MS: Millis = 1_500;

const ANSWERED = 'every request that is read is answered';
const REFUSED = 'every request behind a refused CONNECT is answered';
const STOPS = 'a graceful shutdown interrupts no request';

const UNANSWERED_MESSAGE = 'requests left unanswered';
/** Reason of the end of a connection whose CONNECT was refused. */
const REFUSED_CONNECT = 'refused connect';
/** Reason of the end of a connection that its caller has closed. */
const CALLER_LEFT = 'caller left';
const UNEXPECTED_MESSAGE = 'request failed unexpectedly';

/** Fields of a log line of a VM. */
interface LogLine {
  readonly message?: string;
  readonly reason?: string;
  /** The oldest unanswered request: its kind, id and first word. */
  readonly oldest?: string;
  readonly vm?: string;
  readonly timestamp?: string;
  /** True for requests that were read after the VM had closed the connection. */
  readonly isReadAfterClose?: boolean;
}

/** Parses a log line; the runtime also prints lines that hold no fields. */
function parseLogLine(line: string): LogLine {
  return line.startsWith('{') ? (JSON.parse(line) as LogLine) : {};
}

/**
 * Checks that a VM that is neither killed nor paused nor cut off from its callers answers every
 * request that it reads.
 *
 * A caller can't see whether a request was read. It was, if an instance has run it. One that was
 * sent well before the connection ended was read as well, since a running process reads what has
 * arrived. Of the others the log of the VM tells: a line that was read whole and got no answer is
 * in `requests left unanswered`. Bytes that are still in the kernel when the VM closes or resets
 * the connection count as unread; no line of the log tells of them.
 */
export class AnswerChecker {
  /** Ids of the requests that may stay unanswered: their callers left, or their VM was disturbed. */
  private readonly excused = new Set<string>();

  /** Requests by VM of which only its log can tell whether they were read. */
  private readonly undecided = new Map<string, readonly string[]>();

  constructor(
    private readonly checker: InvariantChecker,
    private readonly stalls: StallWatch,
  ) {}

  /** Checks the time that an answer took; a request waits for those ahead of it. */
  handleAnswer(request: SentRequest, waitsSince: Millis): void {
    this.checkWait(request, waitsSince);
  }

  /** Records that a caller has closed its connection before the answer. */
  handleDeparture(request: SentRequest, waitsSince: Millis): void {
    this.excuse(request);
    this.checkWait(request, waitsSince);
  }

  /** Checks a request whose connection has ended on the VM's side before the answer. */
  handleInterruption(request: SentRequest): void {
    const { vm, id, text, sentAt, wasStopping } = request;
    if (!vm.isLeftAloneSince(sentAt)) {
      this.excuse(request);
      return;
    }
    const waitedMs = this.readWaitedMs(sentAt);
    const detail = `${vm.name}: ${id ?? ''} ${text}, after ${Math.round(waitedMs)} ms`;
    const wasRun = id !== undefined && this.checker.hasExecuted(id);
    if (!wasRun && (waitedMs < UNREAD_REQUEST_MS || this.wasStalledSince(sentAt))) {
      this.undecided.set(vm.name, [...(this.undecided.get(vm.name) ?? []), detail]);
      return;
    }
    this.checker.addViolation(wasStopping || vm.isStopping ? STOPS : ANSWERED, detail);
  }

  /** Checks what the VMs have logged of requests that they read and didn't answer. */
  async checkLogs(directory: string): Promise<void> {
    const files = (await readdir(directory)).filter((file) => file.endsWith('.log'));
    const texts = await Promise.all(files.map((file) => readFile(join(directory, file), 'utf8')));
    const all = texts.flatMap((text) => text.split('\n'));
    const faults = all.filter((line) => this.tellsOfFault(parseLogLine(line)));
    const found = faults.filter((line) => !this.isCloseStalled(parseLogLine(line)));
    this.checker.counts.unjudged = faults.length - found.length;
    const reasons = new Set(found.map((line) => parseLogLine(line).reason));
    reasons.forEach((reason) => {
      const lines = found.filter((line) => parseLogLine(line).reason === reason);
      const invariant = reason === REFUSED_CONNECT ? REFUSED : ANSWERED;
      this.checker.addViolation(invariant, this.describeLines(lines));
    });
  }

  /** Returns the time since then, without that in which the soak's process stood still. */
  private readWaitedMs(since: Millis): Millis {
    const now = performance.now();
    return now - since - this.stalls.readStalledMs(since, now);
  }

  /** True when the soak's process stood still for so long that the VM may not have got a request. */
  private wasStalledSince(time: Millis): boolean {
    return this.stalls.readStalledMs(time, performance.now()) > MAX_JUDGED_STALL_MS;
  }

  private isCloseStalled({ isReadAfterClose, timestamp = '' }: LogLine): boolean {
    if (!isReadAfterClose) return false;
    const at = Date.parse(timestamp) - performance.timeOrigin;
    return this.stalls.readStalledMs(at - CLOSE_WINDOW_MS, at) > MAX_JUDGED_STALL_MS;
  }

  private excuse({ id }: SentRequest): void {
    if (id !== undefined) this.excused.add(id);
  }

  private checkWait({ vm, id, text }: SentRequest, waitsSince: Millis): void {
    const waitedMs = this.readWaitedMs(waitsSince);
    if (waitedMs < ANSWER_LIMIT_MS || !vm.isLeftAloneSince(waitsSince)) return;
    const detail = `${vm.name}: ${id ?? ''} ${text}, ${Math.round(waitedMs)} ms`;
    this.checker.addViolation('a request is answered within its timeout', detail);
  }

  /** Describes the first of the log lines, with requests that it may tell of. */
  private describeLines([first = '', ...others]: readonly string[]): string {
    const undecided = this.undecided.get(parseLogLine(first).vm ?? '') ?? [];
    return `${first}, and ${others.length} log lines more; interrupted: ${undecided.join('; ')}`;
  }

  private tellsOfFault({ message, reason, oldest = '' }: LogLine): boolean {
    if (message === UNEXPECTED_MESSAGE) return true;
    if (message !== UNANSWERED_MESSAGE) return false;
    const [word, id = ''] = oldest.split(' ');
    return reason !== CALLER_LEFT || (word === 'QUERY' && !this.excused.has(id));
  }
}
