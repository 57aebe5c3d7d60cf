import { write as writeFile, writeSync } from 'node:fs';
import { Writable } from 'node:stream';
import type { Millis } from '@shallotpick/core';
import { createLogger, format, type Logger, transports } from 'winston';

/** Logger of a proxy process. */
export type Log = Logger;

const STDOUT = 1;
const FLUSH_MS: Millis = 250;
/** When a slow reader lets the buffer grow beyond this, further lines are counted and dropped. */
const MAX_BUFFERED_BYTES = 256 * 1024;
/** Lines per second with the same message; further ones are only counted. */
const MAX_LINES_PER_SECOND = 100;
const SECOND_MS: Millis = 1_000;

/** Outputs whose last lines are written when the process exits. */
const outputs = new Set<BufferedOutput>();

function flushOutputs(): void {
  outputs.forEach((output) => output.flushNow());
}

/** Buffers log lines and writes them in batches without blocking on the reader. */
class BufferedOutput extends Writable {
  private lines: string[] = [];

  private bytes = 0;

  private dropped = 0;

  private isWriting = false;

  constructor() {
    super({ decodeStrings: false });
    setInterval(() => this.flush(), FLUSH_MS).unref();
    if (outputs.size === 0) process.once('exit', flushOutputs);
    outputs.add(this);
  }

  override _write(chunk: string | Buffer, _: BufferEncoding, done: () => void): void {
    const line = chunk.toString();
    if (this.bytes + line.length > MAX_BUFFERED_BYTES) {
      this.dropped += 1;
    } else {
      this.lines.push(line);
      this.bytes += line.length;
    }
    done();
  }

  private takeText(): string {
    if (this.dropped > 0) {
      this.lines.push(`${JSON.stringify({ message: 'log lines dropped', count: this.dropped })}\n`);
    }
    const text = this.lines.join('');
    this.lines = [];
    this.bytes = 0;
    this.dropped = 0;
    return text;
  }

  private flush(): void {
    if (this.isWriting || this.lines.length === 0) return;
    this.isWriting = true;
    this.writeAll(Buffer.from(this.takeText()));
  }

  private writeAll(rest: Buffer): void {
    writeFile(STDOUT, rest, (error, written) => {
      if (!error && written < rest.length) {
        this.writeAll(rest.subarray(written));
        return;
      }
      this.isWriting = false;
    });
  }

  /** Writes the buffered lines at once, blocking. */
  flushNow(): void {
    if (this.lines.length === 0) return;
    try {
      // The process is exiting, so a blocking write delays nothing.
      // eslint-disable-next-line n/no-sync
      writeSync(STDOUT, this.takeText());
    } catch {
      // Standard output is closed, so the error can't be reported either.
    }
  }
}

/** Limits the rate of each message and reports the number of suppressed lines. */
function createRateLimiter(): ReturnType<ReturnType<typeof format>> {
  const counts = new Map<string, number>();
  let startedAt = 0;
  return format((info) => {
    const now = performance.now();
    const message = String(info.message);
    if (now - startedAt >= SECOND_MS) {
      const suppressed = [...counts].filter(([, count]) => count > MAX_LINES_PER_SECOND);
      startedAt = now;
      counts.clear();
      if (suppressed.length > 0) {
        const list = suppressed.map(([name, count]) => [name, count - MAX_LINES_PER_SECOND]);
        Object.assign(info, { suppressedBefore: Object.fromEntries(list) as unknown });
      }
    }
    const count = (counts.get(message) ?? 0) + 1;
    counts.set(message, count);
    const isKept = count <= MAX_LINES_PER_SECOND || info.level === 'error';
    return isKept ? info : false;
  })();
}

/**
 * Creates the logger of a proxy process: JSON lines on standard output, batched, rate-limited and
 * non-blocking.
 */
export function createEngineLog(level: string, vm: string): Log {
  return createLogger({
    level,
    defaultMeta: { vm },
    format: format.combine(createRateLimiter(), format.timestamp(), format.json()),
    transports: [new transports.Stream({ stream: new BufferedOutput() })],
  });
}
