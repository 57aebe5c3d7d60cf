/** Fraction of the limit above which connections with messages in progress are not read. */
const PAUSE_FRACTION = 0.5;
/** Fraction of the limit that messages in progress may hold; further large ones are refused. */
const RUNNING_FRACTION = 0.5;
/**
 * Messages up to this length are never refused, so that a transaction can always be ended, and a
 * client that holds no more is not closed in place of a shared connection.
 */
const SMALL_BYTES = 16 * 1024;

/** What is done about the bytes that a process holds. */
export type MemoryLevel =
  | 'normal'
  /** Connections with messages in progress are not read. */
  | 'paused'
  /** The connection that holds most is closed. */
  | 'exceeded';

/** The bytes that one connection makes the process hold. */
export class MemoryAccount {
  /** Bytes that are dropped when the connection is closed: input, queued messages, answers. */
  private buffered = 0;

  /** Bytes of messages in progress, which are held until these have ended. */
  private running = 0;

  private isClosed = false;

  constructor(
    private readonly budget: MemoryBudget,
    /** Closes the connection; its buffered bytes are dropped. */
    readonly onExceeded: () => void,
    /** True when the connection carries the work of many clients. */
    readonly isShared: boolean,
  ) {}

  countBuffered(): number {
    return this.buffered;
  }

  countHeld(): number {
    return this.buffered + this.running;
  }

  /** Replaces the number of buffered bytes; a closed connection has none. */
  updateBuffered(bytes: number): void {
    if (this.isClosed || bytes === this.buffered) return;
    const difference = bytes - this.buffered;
    this.buffered = bytes;
    this.budget.handleChange(difference, 0);
  }

  /** Counts a message in progress; false, without counting it, when it has to be refused. */
  startMessage(bytes: number): boolean {
    if (!this.budget.mayStart(bytes)) return false;
    this.running += bytes;
    this.budget.handleChange(bytes, bytes);
    return true;
  }

  finishMessage(bytes: number): void {
    this.running -= bytes;
    this.budget.handleChange(-bytes, -bytes);
  }

  close(): void {
    this.updateBuffered(0);
    this.isClosed = true;
    this.budget.remove(this);
  }
}

/**
 * Bounds the bytes that a process holds for all its connections. Messages in progress are left
 * alone; when the rest is too much, the connection that holds most of it is closed.
 */
export class MemoryBudget {
  private readonly accounts = new Set<MemoryAccount>();

  private held = 0;

  private running = 0;

  constructor(readonly limitBytes: number) {}

  open(onExceeded: () => void, isShared = false): MemoryAccount {
    const account = new MemoryAccount(this, onExceeded, isShared);
    this.accounts.add(account);
    return account;
  }

  countHeld(): number {
    return this.held;
  }

  readLevel(): MemoryLevel {
    if (this.held > this.limitBytes) return 'exceeded';
    return this.held > this.limitBytes * PAUSE_FRACTION ? 'paused' : 'normal';
  }

  /** True when a message of this length may be worked on; the only one always may. */
  mayStart(bytes: number): boolean {
    if (bytes <= SMALL_BYTES || this.running === 0) return true;
    return this.running + bytes <= this.limitBytes * RUNNING_FRACTION;
  }

  /** Updates the totals; called by the accounts. */
  handleChange(held: number, running: number): void {
    this.held += held;
    this.running += running;
    if (held > 0) this.closeLargest();
  }

  remove(account: MemoryAccount): void {
    this.accounts.delete(account);
  }

  /** Closes the connections that hold most until the rest is within the limit. */
  private closeLargest(): void {
    while (this.readLevel() === 'exceeded') {
      const largest = this.findLargest();
      if (!largest) return;
      largest.close();
      largest.onExceeded();
    }
  }

  /** A shared connection is closed only when no client's own holds much. */
  private findLargest(): MemoryAccount | undefined {
    const own = this.findLargestOf(false);
    if (own && own.countBuffered() > SMALL_BYTES) return own;
    return this.findLargestOf(true) ?? own;
  }

  private findLargestOf(isShared: boolean): MemoryAccount | undefined {
    let largest: MemoryAccount | undefined;
    this.accounts.forEach((account) => {
      if (account.isShared !== isShared) return;
      if (account.countBuffered() > (largest?.countBuffered() ?? 0)) largest = account;
    });
    return largest;
  }
}
