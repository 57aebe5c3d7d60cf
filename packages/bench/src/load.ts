import { connect, type Socket } from 'node:net';
import { BACKEND, FrameReader, serialize } from '@shallotpick/wire';
import { computeQuantile } from './stats.js';

/** Options of a load of callers over bare sockets, which avoids the cost of a driver. */
export interface LoadOptions {
  readonly port: number;
  readonly database: string;
  readonly connections: number;
  readonly durationMs: number;
  readonly text: string;
}

/** Throughput and latency of a load. */
export interface LoadResult {
  readonly statements: number;
  readonly errors: number;
  readonly statementsPerSecond: number;
  readonly medianMs: number;
  readonly p99Ms: number;
}

/** Collects the latencies and errors of all connections. */
class LoadRecorder {
  readonly latencies: number[] = [];

  private errors = 0;

  addError(): void {
    this.errors += 1;
  }

  countErrors(): number {
    return this.errors;
  }
}

const USER = 'load';

/** Sends one query after the other on a connection until `end`. */
async function runConnection(
  options: LoadOptions,
  tally: LoadRecorder,
  end: number,
): Promise<void> {
  const socket: Socket = connect({ host: '127.0.0.1', port: options.port });
  socket.setNoDelay(true);
  const reader = new FrameReader(true);
  const query = serialize.query(options.text);
  let sentAt = 0;
  await new Promise<void>((resolve) => {
    socket.once('close', () => resolve());
    socket.once('error', () => tally.addError());
    socket.on('data', (chunk) => {
      reader.add(chunk);
      for (let frame = reader.read(); frame; frame = reader.read()) {
        if (frame.type === BACKEND.error) tally.addError();
        if (frame.type !== BACKEND.readyForQuery) continue;
        const now = performance.now();
        if (sentAt > 0) tally.latencies.push(now - sentAt);
        if (now >= end) socket.end();
        else {
          sentAt = now;
          socket.write(query);
        }
      }
    });
    socket.write(serialize.startup({ user: USER, database: options.database }));
  });
}

/** Runs a closed-loop load and returns throughput and latency. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const tally = new LoadRecorder();
  const startedAt = performance.now();
  const end = startedAt + options.durationMs;
  const runs = Array.from({ length: options.connections }, () =>
    runConnection(options, tally, end),
  );
  await Promise.all(runs);
  const seconds = (performance.now() - startedAt) / 1_000;
  return {
    statements: tally.latencies.length,
    errors: tally.countErrors(),
    statementsPerSecond: Math.round(tally.latencies.length / seconds),
    medianMs: computeQuantile(tally.latencies, 0.5),
    p99Ms: computeQuantile(tally.latencies, 0.99),
  };
}
