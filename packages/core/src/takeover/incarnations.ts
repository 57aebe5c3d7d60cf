/**
 * The incarnations of a group's instances that count, by instance id. An incarnation is one life
 * of an instance's data directory: an instance that loses its data comes back with another one.
 */
export type Incarnations = Readonly<Record<string, string>>;

/** What an instance says, with the incarnation that says it. */
interface InstanceStatement {
  readonly instance: string;
  readonly incarnation: string;
}

/** True when the incarnation counts; while a group's record lists none, all do. */
export function isCounted(
  incarnations: Incarnations | undefined,
  { instance, incarnation }: InstanceStatement,
): boolean {
  return !incarnations || incarnations[instance] === incarnation;
}
