import {
  chooseLater,
  hasPosition,
  type InstanceStatus,
  LOG_START,
  type MajorityDecision,
  type MajorityReading,
  MajorityTracker,
} from '@shallotpick/core';

/** Uses a majority reading that was taken before the session arrived. */
export class OldReadingTracker extends MajorityTracker {
  protected override isReadingAfter(): boolean {
    return true;
  }
}

/** Computes the age of a replica from readings of the primary alone. */
export class PrimaryAgeTracker extends MajorityTracker {
  private readonly primaryReadings: MajorityReading[] = [];

  override handleStatus(status: InstanceStatus): readonly MajorityDecision[] {
    const { role, requestedAt: startedAt, durable: position } = status;
    if (role === 'primary') this.primaryReadings.push({ startedAt, position });
    return super.handleStatus(status);
  }

  override findAge(instance: string, now: number): number | undefined {
    const { applied } = this.latest.get(instance) ?? {};
    const reading = this.primaryReadings.findLast(
      ({ position }) => applied && hasPosition(applied, position),
    );
    return reading && now - reading.startedAt;
  }
}

/** Takes a majority reading from a single answer. */
export class SingleAnswerReadingTracker extends MajorityTracker {
  protected override updateReadings(): void {
    const statuses = [...this.latest.values()].sort((a, b) => b.requestedAt - a.requestedAt);
    const startedAt = statuses[0]?.requestedAt ?? 0;
    if (startedAt <= (this.readings.at(-1)?.startedAt ?? 0)) return;
    const position = statuses
      .filter(({ requestedAt }) => requestedAt >= startedAt)
      .reduce((bound, { durable }) => chooseLater(bound, durable), LOG_START);
    this.readings.push({ startedAt, position });
  }
}
