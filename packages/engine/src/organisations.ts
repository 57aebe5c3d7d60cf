import type { OperationRate } from '@shallotpick/core';

/** An organisation, whose callers identify themselves by its keys. */
export interface Organisation {
  readonly name: string;
  /** Undefined for an organisation without a limit. */
  readonly rateLimit: OperationRate | undefined;
}

/** An organisation with the keys of its callers. */
export interface KeyedOrganisation extends Organisation {
  readonly keys: readonly string[];
}

/** The organisations of one configuration, by key and by name. It is replaced as a whole. */
export class OrganisationIndex {
  private readonly byKey = new Map<string, Organisation>();

  private readonly byName = new Map<string, Organisation>();

  /** Number of keys that several organisations hold; such a key identifies none of them. */
  readonly sharedKeys: number;

  constructor(organisations: readonly KeyedOrganisation[]) {
    const shared = new Set<string>();
    // Of two entries with one name only the last counts, also for the keys.
    const distinct = new Map(organisations.map((one) => [one.name, one]));
    distinct.forEach(({ keys, name, rateLimit }) => {
      const organisation = { name, rateLimit };
      this.byName.set(name, organisation);
      keys.forEach((key) => {
        const holder = this.byKey.get(key);
        if (holder && holder.name !== name) shared.add(key);
        this.byKey.set(key, organisation);
      });
    });
    shared.forEach((key) => this.byKey.delete(key));
    this.sharedKeys = shared.size;
  }

  /** Finds the organisation that holds the key. */
  findByKey(key: string): Organisation | undefined {
    return this.byKey.get(key);
  }

  find(name: string): Organisation | undefined {
    return this.byName.get(name);
  }

  list(): readonly Organisation[] {
    return [...this.byName.values()];
  }
}
