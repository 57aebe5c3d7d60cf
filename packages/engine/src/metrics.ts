import { Counter, Gauge, Histogram, Registry } from 'prom-client';

const SECONDS_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5];

/** The metrics of one proxy process, in a registry of their own. */
export class Metrics {
  readonly registry = new Registry();

  /** Statements sent to instances, by `target` (replica or leader). */
  readonly statements = this.createCounter('statements_total', 'Statements by target', ['target']);

  /** Requests that were not answered with success, by `verdict`. */
  readonly failures = this.createCounter('failures_total', 'Failed requests', ['verdict']);

  /** Statements that were sent again, by the `verdict` of the attempt before. */
  readonly retries = this.createCounter('retries_total', 'Statements sent again', ['verdict']);

  /** Calls to the platform, by `call` and `outcome`. */
  readonly platformCalls = this.createCounter('platform_calls_total', 'Platform calls', [
    'call',
    'outcome',
  ]);

  /** Steps of leader changes, by `action`. */
  readonly takeovers = this.createCounter('takeover_steps_total', 'Takeover steps', ['action']);

  readonly callers = new Gauge({
    name: 'shallotpick_callers',
    help: 'Open caller connections',
    registers: [this.registry],
  });

  readonly configurationVersion = new Gauge({
    name: 'shallotpick_configuration_version',
    help: 'Version of the configuration in force',
    registers: [this.registry],
  });

  readonly latency = new Histogram({
    name: 'shallotpick_statement_seconds',
    help: 'Time from a statement of a caller to its answer',
    buckets: SECONDS_BUCKETS,
    labelNames: ['kind'],
    registers: [this.registry],
  });

  private createCounter<T extends string>(name: string, help: string, labels: T[]): Counter<T> {
    return new Counter({
      name: `shallotpick_${name}`,
      help,
      labelNames: labels,
      registers: [this.registry],
    });
  }
}
