/** A VM that runs a daemon, with the address that its peers use. */
export interface Vm {
  readonly id: string;
  readonly zone: string;
  readonly host: string;
  readonly peerPort: number;
}

/** One daemon's view of the VMs that are live. */
export abstract class MembershipView {
  abstract readonly self: Vm;

  /** Live VMs that are not leaving, this one included, ordered by id. */
  abstract listLive(): readonly Vm[];

  /** Calls `listener` after each change of the live VMs. */
  abstract addListener(listener: () => void): void;
}

/** A static view, for a daemon without peers and for tests. */
export class FixedMembership extends MembershipView {
  constructor(
    readonly self: Vm,
    private readonly others: readonly Vm[] = [],
  ) {
    super();
  }

  listLive(): readonly Vm[] {
    return [this.self, ...this.others].sort((a, b) => a.id.localeCompare(b.id));
  }

  addListener(): void {
    // The view never changes, so listeners are never called.
  }
}
