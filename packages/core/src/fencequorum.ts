import type { FailoverOptions, FenceAnswer } from './failovertypes.js';
import { countMajority } from './group.js';
import { comparePositions } from './position.js';

/** Counts the answers to the fences of one term and chooses the instance to promote. */
export class FenceQuorum {
  private readonly grants = new Map<string, FenceAnswer>();

  private readonly refusals = new Set<string>();

  constructor(protected readonly options: Pick<FailoverOptions, 'group' | 'zone'>) {}

  /** Forgets the answers of the term before. */
  reset(): void {
    this.grants.clear();
    this.refusals.clear();
  }

  /** A refusal that overtakes the grant does not undo it. */
  add(answer: FenceAnswer): void {
    const { instance } = answer;
    if (answer.granted) {
      this.grants.set(instance, answer);
      this.refusals.delete(instance);
    } else if (!this.grants.has(instance)) this.refusals.add(instance);
  }

  /** Instances that have not granted the term as far as is known. */
  listMissing(): readonly string[] {
    return this.options.group.instances.map(({ id }) => id).filter((id) => !this.grants.has(id));
  }

  /** True when so many have refused that no majority can be reached in this term. */
  isUnattainable(): boolean {
    const { length } = this.options.group.instances;
    return length - this.refusals.size < countMajority(length);
  }

  /** The instance to promote, once a majority other than `excluded` has granted the term. */
  findCandidate(excluded: string | null): string | undefined {
    const answers = [...this.grants.values()].filter(({ instance }) => instance !== excluded);
    return this.hasMajority(answers) ? this.chooseCandidate(answers)?.instance : undefined;
  }

  /** Only among the answers of a majority is every acknowledged entry found. */
  protected hasMajority(answers: readonly FenceAnswer[]): boolean {
    return answers.length >= countMajority(this.options.group.instances.length);
  }

  /** The instance with the most advanced log; ties go to the zone of this VM. */
  protected chooseCandidate(answers: readonly FenceAnswer[]): FenceAnswer | undefined {
    const zones = new Map(this.options.group.instances.map(({ id, zone }) => [id, zone]));
    const isNear = ({ instance }: FenceAnswer): number =>
      Number(zones.get(instance) === this.options.zone);
    return [...answers].sort(
      (a, b) =>
        comparePositions(b.durable, a.durable) ||
        isNear(b) - isNear(a) ||
        a.instance.localeCompare(b.instance),
    )[0];
  }
}
