import { Counter, Gauge, Histogram, Registry } from 'prom-client';

const SECONDS_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5];

/** Creates a counter whose name has the product's prefix. */
export function createCounter<T extends string>(
  registry: Registry,
  name: string,
  help: string,
  labelNames: T[],
): Counter<T> {
  return new Counter({ name: `shallotpick_${name}`, help, labelNames, registers: [registry] });
}

/** The metrics of a proxy process, in their own registry. */
export class Metrics {
  readonly registry = new Registry();

  /** Admitted statements, by `target` (replica or leader). */
  readonly statements = createCounter(this.registry, 'statements_total', 'Statements by target', [
    'target',
  ]);

  /** Reads of bounded age, by the `zone` (own or other) of the instance that served them. */
  readonly zoneReads = createCounter(this.registry, 'zone_reads_total', 'Reads by zone', ['zone']);

  /** Estimated bytes of reads that instances of other zones served. */
  readonly zoneBytes = createCounter(
    this.registry,
    'zone_bytes_total',
    'Estimated bytes of reads between zones',
    [],
  );

  /** Share of a group's reads that may leave the zone. */
  readonly zoneShare = new Gauge({
    name: 'shallotpick_zone_share',
    help: 'Share of reads that may leave the zone',
    labelNames: ['group'],
    registers: [this.registry],
  });

  /** Changes in the use of instances that failed callers' work, by `kind` (ejected, restored). */
  readonly ejections = createCounter(
    this.registry,
    'ejections_total',
    'Instances that reads avoid, or use again',
    ['kind'],
  );

  /** Failed requests, by `verdict`. */
  readonly failures = createCounter(this.registry, 'failures_total', 'Failed requests', [
    'verdict',
  ]);

  /** Retried statements, by the `verdict` of the previous attempt. */
  readonly retries = createCounter(this.registry, 'retries_total', 'Statements sent again', [
    'verdict',
  ]);

  /** Calls to the platform, by `call` and `outcome`. */
  readonly platformCalls = createCounter(this.registry, 'platform_calls_total', 'Platform calls', [
    'call',
    'outcome',
  ]);

  /** Time since the version of the configuration in force was last proved; -1 without a proof. */
  readonly configurationProofAge = new Gauge({
    name: 'shallotpick_configuration_proof_age_seconds',
    help: 'Time since the configuration in force was proved to be the newest',
    registers: [this.registry],
  });

  /** Versions of the configuration that came into force, by the `call` that brought them. */
  readonly configurationsTaken = createCounter(
    this.registry,
    'configurations_taken_total',
    'Versions of the configuration that came into force',
    ['call'],
  );

  /** Requests and sessions that were refused before any work, by `reason`. */
  readonly authorizationRefusals = createCounter(
    this.registry,
    'authorization_refusals_total',
    'Requests and sessions refused for their key',
    ['reason'],
  );

  /** Connections opened to instances, by `owner` (vm or organisation). */
  readonly connectionsOpened = createCounter(
    this.registry,
    'connections_opened_total',
    'Connections opened to instances',
    ['owner'],
  );

  /** Returns of the platform's store from an older copy, as seen by this process. */
  readonly storeRestorations = createCounter(
    this.registry,
    'store_restorations_total',
    'Returns of the store from an older copy',
    [],
  );

  /** Entries of the store that can't be used, by `kind` and `reason`. */
  readonly oddEntries = createCounter(
    this.registry,
    'odd_entries_total',
    'Entries of the store that are ignored, each revision once',
    ['kind', 'reason'],
  );

  /** Steps of takeovers, by `action`. */
  readonly takeoverSteps = createCounter(this.registry, 'takeover_steps_total', 'Takeover steps', [
    'action',
  ]);

  /** For how long the promotion record of a group has been open; 0 once it is settled. */
  readonly openRecordAge = new Gauge({
    name: 'shallotpick_promotion_record_open_seconds',
    help: 'Time since the promotion record of a group was opened',
    labelNames: ['group'],
    registers: [this.registry],
  });

  /** Acknowledged commits, by what proved them durable, or why they were not handed on. */
  readonly commits = createCounter(this.registry, 'commits_total', 'Acknowledged commits', [
    'verdict',
  ]);

  /** Time in the queue of a group served here, by `priority` and `outcome` (started, refused). */
  readonly queueWait = new Histogram({
    name: 'shallotpick_queue_wait_seconds',
    help: 'Time that work waited in the queue of its group',
    buckets: SECONDS_BUCKETS,
    labelNames: ['priority', 'outcome'],
    registers: [this.registry],
  });

  /** Work refused in the queue, by `cause` and `priority`. */
  readonly queueRefusals = createCounter(
    this.registry,
    'queue_refusals_total',
    'Work refused in the queue',
    ['cause', 'priority'],
  );

  /** Status requests that were to prove commits. */
  readonly proofRequests = createCounter(
    this.registry,
    'proof_requests_total',
    'Status requests for the proof of commits',
    [],
  );

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
}
