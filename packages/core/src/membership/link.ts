import type { FenceAnswer } from '../takeover/failovertypes.js';
import type { InstanceStatus } from '../group.js';

/** Client of one instance's control functions. Calls reject when no answer arrives in time. */
export abstract class InstanceLink {
  abstract readStatus(): Promise<InstanceStatus>;

  abstract fence(term: number): Promise<FenceAnswer>;

  /**
   * Resolves with false when the instance refuses, for instance after a later fence, or because it
   * has lost the data of the incarnation that was chosen.
   */
  abstract promote(term: number, incarnation?: string): Promise<boolean>;

  abstract follow(term: number, primary: string): Promise<boolean>;

  abstract close(): void;
}
