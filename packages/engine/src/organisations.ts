import { createHash } from 'node:crypto';
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

/** An organisation with the digests of its keys, by which another VM recognizes them. */
export interface DigestedOrganisation extends Organisation {
  readonly keyDigests: readonly string[];
}

/** Computes what stands for a key, so that no process needs to keep or pass on the key itself. */
export function computeKeyDigest(key: string): string {
  return createHash('sha256').update(key).digest('base64');
}

function addDigests(organisation: KeyedOrganisation | DigestedOrganisation): DigestedOrganisation {
  if ('keyDigests' in organisation) return organisation;
  const { name, rateLimit, keys } = organisation;
  return { name, rateLimit, keyDigests: keys.map(computeKeyDigest) };
}

/** The organisations of one configuration, by key and by name. It is replaced as a whole. */
export class OrganisationIndex {
  private readonly byDigest = new Map<string, Organisation>();

  private readonly byName: ReadonlyMap<string, DigestedOrganisation>;

  /** Number of keys that several organisations hold; such a key identifies none of them. */
  readonly sharedKeys: number;

  constructor(organisations: readonly (KeyedOrganisation | DigestedOrganisation)[]) {
    const shared = new Set<string>();
    // Of two entries with one name only the last counts, also for the keys.
    this.byName = new Map(organisations.map((one) => [one.name, addDigests(one)]));
    this.byName.forEach(({ keyDigests, name, rateLimit }) => {
      const organisation = { name, rateLimit };
      keyDigests.forEach((digest) => {
        const holder = this.byDigest.get(digest);
        if (holder && holder.name !== name) shared.add(digest);
        this.byDigest.set(digest, organisation);
      });
    });
    shared.forEach((digest) => this.byDigest.delete(digest));
    this.sharedKeys = shared.size;
  }

  /** Finds the organisation that holds the key. */
  findByKey(key: string): Organisation | undefined {
    return this.findByDigest(computeKeyDigest(key));
  }

  /** Finds the organisation that holds the key of this digest. */
  findByDigest(digest: string): Organisation | undefined {
    return this.byDigest.get(digest);
  }

  find(name: string): Organisation | undefined {
    return this.byName.get(name);
  }

  list(): readonly DigestedOrganisation[] {
    return [...this.byName.values()];
  }
}
