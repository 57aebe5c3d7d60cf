import type { ListedVm } from '../configuration/platform.js';

/** Finds the changes between two versions of the platform's VM list. */
export class VmListTracker {
  private states: ReadonlyMap<string, ListedVm['state']> = new Map();

  /**
   * Returns the VMs that the list newly shows as leaving. Only the change counts, because a lagging
   * list may still show the previous process of a VM that has rejoined.
   */
  handleVmList(vms: readonly ListedVm[]): readonly string[] {
    const before = this.states;
    this.states = new Map(vms.map(({ id, state }) => [id, state]));
    return vms
      .filter(({ id, state }) => state === 'leaving' && before.get(id) !== 'leaving')
      .map(({ id }) => id);
  }

  find(id: string): ListedVm['state'] | undefined {
    return this.states.get(id);
  }
}
