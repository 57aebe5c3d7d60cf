import { createCounter } from '@shallotpick/engine';
import { collectDefaultMetrics, Gauge, Histogram, Registry } from 'prom-client';

const SECONDS_BUCKETS = [0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5];

/** The metrics of one daemon; a registry per daemon lets several run in one process. */
export class Metrics {
  readonly registry = new Registry();

  readonly statements = createCounter(this.registry, 'statements_total', 'Statements by target', [
    'group',
    'target',
  ]);

  readonly refusals = createCounter(this.registry, 'refusals_total', 'Requests refused, not run', [
    'reason',
  ]);

  readonly retries = createCounter(this.registry, 'retries_total', 'Requests sent again', [
    'reason',
  ]);

  readonly platformCalls = createCounter(this.registry, 'platform_calls_total', 'Platform calls', [
    'call',
    'outcome',
  ]);

  readonly peerCalls = createCounter(this.registry, 'peer_calls_total', 'Calls to peers', [
    'call',
    'outcome',
  ]);

  readonly failoverSteps = createCounter(
    this.registry,
    'failover_steps_total',
    'Failover actions',
    ['action'],
  );

  readonly skippedEntries = createCounter(
    this.registry,
    'skipped_entries_total',
    'Different invalid entries of the platform and of peers that were skipped',
    ['kind'],
  );

  readonly invalidAnswers = createCounter(
    this.registry,
    'invalid_answers_total',
    'Changes of an instance to answers that its contract does not allow',
    ['instance'],
  );

  readonly callers = new Gauge({
    name: 'shallotpick_callers',
    help: 'Open caller connections',
    registers: [this.registry],
  });

  readonly acknowledgement = new Histogram({
    name: 'shallotpick_acknowledgement_seconds',
    help: 'Wait for a majority to hold a commit',
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });

  constructor() {
    collectDefaultMetrics({ register: this.registry });
  }
}
