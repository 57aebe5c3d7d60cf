import type { FailoverOptions, FenceAnswer } from './failovertypes.js';
import { countMajority } from '../group.js';
import { type Incarnations, isCounted } from './incarnations.js';
import { comparePositions } from '../position.js';

/** Collects the answers to the fences of one term and chooses the instance to promote. */
export class FenceQuorum {
  private readonly grants = new Map<string, FenceAnswer>();

  private readonly refusals = new Set<string>();

  private incarnations: Incarnations | undefined;

  constructor(protected readonly options: Pick<FailoverOptions, 'group' | 'zone'>) {}

  /** Discards the answers of the previous term; those of other incarnations will not count. */
  reset(incarnations: Incarnations | undefined): void {
    this.incarnations = incarnations;
    this.grants.clear();
    this.refusals.clear();
  }

  /** Adds an answer. A refusal does not revoke a grant, since answers may change order. */
  add(answer: FenceAnswer): void {
    const { instance } = answer;
    if (!this.isCounted(answer)) return;
    if (answer.granted) {
      this.grants.set(instance, answer);
      this.refusals.delete(instance);
    } else if (!this.grants.has(instance)) this.refusals.add(instance);
  }

  /** Lists the instances that are not known to have granted the term. */
  listMissing(): readonly string[] {
    return this.options.group.instances.map(({ id }) => id).filter((id) => !this.grants.has(id));
  }

  /** True when so many have refused that no majority can be reached in this term. */
  isUnattainable(): boolean {
    const { length } = this.options.group.instances;
    return length - this.refusals.size < countMajority(length);
  }

  /** Returns the instance to promote, once a majority without `excluded` has granted the term. */
  findCandidate(excluded: string | null): string | undefined {
    const answers = [...this.grants.values()].filter(({ instance }) => instance !== excluded);
    return this.hasMajority(answers) ? this.chooseCandidate(answers)?.instance : undefined;
  }

  /** False for an instance that has lost its data and has not caught up yet. */
  protected isCounted(answer: FenceAnswer): boolean {
    return isCounted(this.incarnations, answer);
  }

  /** True for a majority, whose logs are certain to contain every acknowledged entry. */
  protected hasMajority(answers: readonly FenceAnswer[]): boolean {
    return answers.length >= countMajority(this.options.group.instances.length);
  }

  /** Returns the answer with the most advanced log; ties go to the zone of this VM. */
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
