import type { Millis } from '../clock.js';
import type { ZoneBudget } from './zonebudget.js';

/** Gap between two changes of the share. */
const STEP_MS: Millis = 200;
/** Change of the share in one step when one finish is negligible beside the other. */
const MAX_STEP = 0.05;
/** Least decrease of the share in one step, so that it returns to staying soon. */
const RETURN_STEP = 0.01;
/** Change of the share in one step while only those reads make their objective that leave. */
const OBJECTIVE_STEP = 0.1;
/** Share that may leave for an instance that was not measured lately, so that it is measured. */
const TRIAL_SHARE = 0.05;
/** An older measurement does not tell how busy an instance is. */
const FRESH_MS: Millis = 1_000;
/** A share below this is none. */
const MIN_SHARE = 0.01;

/** What a VM expects of an instance that may serve a read. */
export interface ZoneCandidate {
  readonly id: string;
  readonly zone: string;
  /** Expected wait at the instance and cost of the read there. */
  readonly workMs: Millis;
  /** Time to the instance and back. */
  readonly pathMs: Millis;
  /** When the instance last answered work. */
  readonly measuredAt: Millis;
}

/** Time until a candidate's answer is expected. */
function estimateFinish({ workMs, pathMs }: ZoneCandidate): Millis {
  return workMs + pathMs;
}

function findSoonest(candidates: readonly ZoneCandidate[]): ZoneCandidate | undefined {
  const [first, ...rest] = candidates;
  return (
    first &&
    rest.reduce((best, next) => (estimateFinish(next) < estimateFinish(best) ? next : best), first)
  );
}

/** True when a read makes its objective on the other candidate only. */
function isTooLate(candidate: ZoneCandidate, other: ZoneCandidate, remainingMs: Millis): boolean {
  return estimateFinish(candidate) > remainingMs && estimateFinish(other) <= remainingMs;
}

/** The two candidates between which a read is divided. */
interface Alternatives {
  readonly near: ZoneCandidate;
  readonly far: ZoneCandidate;
}

/**
 * Divides the reads of one group between the VM's zone and the others. A share of the reads leaves
 * the zone; it moves in small steps by the measured difference, so that VMs with outdated knowledge
 * don't all turn to the same idle instance.
 */
export class ZoneBalance {
  private share = 0;

  private steppedAt: Millis | undefined;

  /** Reads that may leave beyond those that have; a read leaves once it amounts to one. */
  private credit = 0;

  constructor(
    private readonly zone: string,
    private readonly budget: ZoneBudget,
  ) {}

  /** Share of the reads that may leave the zone. */
  readShare(): number {
    return this.share;
  }

  /**
   * Ranks the candidates of a read, the one first that it is sent to.
   *
   * @param candidates instances that may serve the read, best first
   */
  rank(candidates: readonly ZoneCandidate[], now: Millis): readonly ZoneCandidate[] {
    const alternatives = this.findAlternatives(candidates);
    if (!alternatives) return candidates;
    const { near, far } = alternatives;
    const chosen = this.mayLeave(now) ? [far, near] : [near];
    return [...chosen, ...candidates.filter((one) => !chosen.includes(one))];
  }

  /**
   * Moves the share by the measured difference.
   *
   * @param marginMs difference of expected finishes that does not count
   */
  handleMeasurement(
    candidates: readonly ZoneCandidate[],
    remainingMs: Millis,
    marginMs: Millis,
    now: Millis,
  ): void {
    if (this.steppedAt !== undefined && now - this.steppedAt < STEP_MS) return;
    this.steppedAt = now;
    const share = this.computeShare(candidates, remainingMs, marginMs, now);
    this.share = share < MIN_SHARE ? 0 : share;
  }

  /** Notes that a read starts on an instance of a zone. */
  handleStart(zone: string, now: Millis): void {
    const hasLeft = zone !== this.zone;
    // Reads that left for lack of room at home count, but not against those of later peaks.
    this.credit = Math.max(-1, Math.min(1, this.credit + this.share - Number(hasLeft)));
    if (hasLeft) this.budget.take(now);
  }

  private findAlternatives(candidates: readonly ZoneCandidate[]): Alternatives | undefined {
    const near = findSoonest(candidates.filter(({ zone }) => zone === this.zone));
    const far = findSoonest(candidates.filter(({ zone }) => zone !== this.zone));
    return near && far && { near, far };
  }

  /** True when the read makes its objective elsewhere only, or is sooner there by the margin. */
  private pays({ near, far }: Alternatives, remainingMs: Millis, marginMs: Millis): boolean {
    if (isTooLate(near, far, remainingMs)) return true;
    return estimateFinish(near) - estimateFinish(far) > marginMs;
  }

  /** True when another read that leaves keeps within the share and the budget. */
  private mayLeave(now: Millis): boolean {
    return this.credit + this.share >= 1 && this.budget.hasRoom(now);
  }

  private computeShare(
    candidates: readonly ZoneCandidate[],
    remainingMs: Millis,
    marginMs: Millis,
    now: Millis,
  ): number {
    const alternatives = this.findAlternatives(candidates);
    if (!alternatives) return 0;
    const { near, far } = alternatives;
    const stayMs = estimateFinish(near);
    const leaveMs = estimateFinish(far);
    const isLeaving = this.pays(alternatives, remainingMs, marginMs);
    if (!isLeaving && stayMs >= leaveMs) return this.share;
    const difference = (stayMs - leaveMs) / Math.max(1, stayMs, leaveMs);
    // The square keeps steps small near the balance, where outdated knowledge would pass over it.
    const measured = MAX_STEP * difference * Math.abs(difference) - (isLeaving ? 0 : RETURN_STEP);
    const step = isTooLate(near, far, remainingMs) ? OBJECTIVE_STEP : measured;
    if (now - far.measuredAt <= FRESH_MS) return Math.max(0, Math.min(1, this.share + step));
    // Without a measurement the share goes back to what brings one.
    const trial = isLeaving ? TRIAL_SHARE : 0;
    return this.share > trial ? Math.max(trial, this.share - MAX_STEP) : trial;
  }
}
