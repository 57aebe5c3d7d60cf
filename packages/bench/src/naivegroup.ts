import type { DatabaseInstance, InstanceStatus, Millis } from '@shallotpick/core';
import { ControlLink, SystemClock } from '@shallotpick/daemon';
import type { StandinGroup } from '@shallotpick/standin';

/** Time without an answer from the primary after which a replica is promoted. */
const FAILOVER_TIMEOUT_MS: Millis = 5_000;
const PROBE_INTERVAL_MS: Millis = 500;

/** Returns the application name of connections; stand-ins block zones by the zone in it. */
export function formatNaiveApplicationName(zone: string): string {
  return `naive/naive/${zone}`;
}

/** Probes a group's primary; after a fixed timeout it promotes a replica without fencing the group. */
export class NaiveGroup {
  primary: DatabaseInstance;

  private term = 1;

  private lastAnswerAt = performance.now();

  private readonly links: ReadonlyMap<string, ControlLink>;

  private readonly timer: NodeJS.Timeout;

  constructor(
    readonly group: StandinGroup,
    zone: string,
  ) {
    const { instances, name } = group.toDatabaseGroup();
    const [first] = instances;
    if (!first) throw new Error('a group needs an instance');
    this.primary = first;
    const clock = new SystemClock();
    this.links = new Map(
      instances.map((instance) => [
        instance.id,
        new ControlLink({
          instance,
          database: name,
          applicationName: formatNaiveApplicationName(zone),
          clock,
        }),
      ]),
    );
    this.timer = setInterval(() => {
      this.probe().catch(() => undefined);
    }, PROBE_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    this.links.forEach((link) => link.close());
  }

  private async probe(): Promise<void> {
    try {
      await this.links.get(this.primary.id)?.readStatus();
      this.lastAnswerAt = performance.now();
    } catch {
      if (performance.now() - this.lastAnswerAt >= FAILOVER_TIMEOUT_MS) await this.promoteReplica();
    }
  }

  private async promoteReplica(): Promise<void> {
    this.lastAnswerAt = performance.now();
    const answers = await Promise.allSettled(
      [...this.links.values()].map((link) => link.readStatus()),
    );
    const best = answers
      .flatMap((answer) => (answer.status === 'fulfilled' ? [answer.value] : []))
      .filter(({ instance }) => instance !== this.primary.id)
      .reduce<InstanceStatus | undefined>(
        (a, b) => (a && a.durable.offset >= b.durable.offset ? a : b),
        undefined,
      );
    if (!best) return;
    this.term += 1;
    await this.links.get(best.instance)?.fence(this.term);
    await this.links.get(best.instance)?.promote(this.term);
    const { instances } = this.group.toDatabaseGroup();
    this.primary = instances.find(({ id }) => id === best.instance) ?? this.primary;
    await Promise.allSettled(
      [...this.links]
        .filter(([id]) => id !== best.instance)
        .map(([, link]) => link.follow(this.term, best.instance)),
    );
  }
}
