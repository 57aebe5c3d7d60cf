import type { ConfigurationHolder, DatabaseRoute } from './configuration.js';
import { computeKeyDigest } from './organisations.js';
import type { Failure } from './statement.js';

/** A route that a caller may use, and in whose name its work runs. */
export interface AuthorizedRoute {
  readonly route: DatabaseRoute;
  /** Undefined when the caller needs no key. */
  readonly organisation: string | undefined;
  /** Version of the configuration that holds the route. */
  readonly version: number;
}

/** Whether a caller may use a database, and in whose name its work runs. */
export type Authorization =
  | {
      readonly kind: 'allowed';
      /** Undefined when the caller needs no key. */
      readonly organisation: string | undefined;
    }
  | { readonly kind: 'refused'; readonly failure: Failure };

const UNKNOWN_KEY: Failure = { verdict: 'unauthenticated', reason: 'the key is not known' };
const UNPROVED: Failure = {
  verdict: 'overloaded',
  reason: 'the keys in force are not known at present',
};
/** What a caller is told in place of a refusal that a later version of the configuration may lift. */
export const UNPROVED_REFUSAL: Failure = {
  verdict: 'overloaded',
  reason: 'the configuration in force is not known at present',
};
const MOVED_KEY: Failure = {
  verdict: 'overloaded',
  reason: 'the key has moved to another organisation',
};

/** The identity of one caller: the key that it gave, which is checked again for each operation. */
export class CallerIdentity {
  private readonly keyDigest: string;

  constructor(
    key: string,
    private readonly configuration: ConfigurationHolder,
    /** False while a key may have been revoked without this VM's knowledge. */
    private readonly areKeysInForce: () => boolean,
  ) {
    this.keyDigest = computeKeyDigest(key);
  }

  /**
   * Returns the failure with which a new session is refused. Each of its operations is checked
   * again, so that a key which can't be proved to be in force at present does not end the session.
   */
  checkConnect(route: DatabaseRoute): Failure | undefined {
    const organisations = this.configuration.read()?.organisations;
    if (!organisations || route.isAnonymous) return undefined;
    return organisations.findByDigest(this.keyDigest) ? undefined : UNKNOWN_KEY;
  }

  /** Decides whether an operation on the route may start. */
  authorize(route: DatabaseRoute): Authorization {
    const organisations = this.configuration.read()?.organisations;
    if (!organisations || route.isAnonymous) return { kind: 'allowed', organisation: undefined };
    if (!this.areKeysInForce()) return { kind: 'refused', failure: UNPROVED };
    const organisation = organisations.findByDigest(this.keyDigest);
    if (!organisation) return { kind: 'refused', failure: UNKNOWN_KEY };
    return { kind: 'allowed', organisation: organisation.name };
  }

  /** Returns the failure that ends work which was authorized before in an organisation's name. */
  checkAgain({ route, organisation }: AuthorizedRoute): Failure | undefined {
    const authorization = this.authorize(route);
    if (authorization.kind === 'refused') return authorization.failure;
    const { organisation: holder } = authorization;
    const isHeld = organisation === undefined || holder === undefined || holder === organisation;
    return isHeld ? undefined : MOVED_KEY;
  }
}
