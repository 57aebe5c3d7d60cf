import type { InstanceView } from './takeovertypes.js';

/** True for an instance that runs, as far as its last reply tells. */
export function isAlive({ health }: Pick<InstanceView, 'health'>): boolean {
  return health === 'answering' || health === 'full';
}

/**
 * True once the instance has answered under its id, which proves that the registered entry is one
 * of a member: any writer can register an entry that names a group. An instance that is full names
 * no id.
 */
export function hasAnswered(view: InstanceView): boolean {
  return view.position !== undefined || view.health === 'answering';
}

/** Returns the instance whose last answer proved that it leads. */
export function findLeader(instances: readonly InstanceView[]): InstanceView | undefined {
  return instances.find(({ leads, health }) => leads && health === 'answering');
}
