import { randomBytes, timingSafeEqual } from 'node:crypto';
import { AuthenticationError } from './errors.js';
import { computeHmac, computeSha256, computeVerifier, type Verifier } from './users.js';

/** The one mechanism that is offered; there is no channel binding. */
export const SCRAM_MECHANISM = 'SCRAM-SHA-256';
const NONCE_BYTES = 18;
const MOCK_ITERATIONS = 4_096;
const FIRST = /^([ny],,)(n=[^,]*,r=([\x21-\x2b\x2d-\x7e]+)(?:,.*)?)$/s;
const FINAL = /^((c=[^,]+),r=([\x21-\x2b\x2d-\x7e]+)),p=([\w+/]+=*)$/;

/** Makes the answers for unknown users look alike from one attempt to the next. */
const mockKey = randomBytes(32);

/** A verifier that no password fits, so that unknown users are not told apart. */
export function createMockVerifier(user: string): Verifier {
  const seed = computeHmac(mockKey, user);
  const salt = seed.subarray(0, 16);
  return { iterations: MOCK_ITERATIONS, salt, storedKey: seed, serverKey: randomBytes(32) };
}

const refuse = (reason: string): never => {
  throw new AuthenticationError(reason);
};

/** The server's side of one SCRAM-SHA-256 exchange (RFC 5802, RFC 7677). */
export class ScramExchange {
  private state: { readonly header: string; readonly nonce: string; readonly signed: string } = {
    header: '',
    nonce: '',
    signed: '',
  };

  constructor(
    private readonly verifier: Verifier,
    private readonly serverNonce = randomBytes(NONCE_BYTES).toString('base64'),
  ) {}

  /**
   * Takes the client's first message and returns the server's.
   *
   * @throws AuthenticationError when it is malformed or asks for channel binding.
   */
  handleFirst(message: string): string {
    const [, header = '', bare = '', clientNonce = ''] = FIRST.exec(message) ?? [];
    if (clientNonce === '') refuse('the first SCRAM message is malformed');
    const { iterations, salt } = this.verifier;
    const nonce = clientNonce + this.serverNonce;
    const answer = `r=${nonce},s=${salt.toString('base64')},i=${iterations}`;
    this.state = { header, nonce, signed: `${bare},${answer}` };
    return answer;
  }

  /**
   * Takes the client's proof and returns the server's signature.
   *
   * @throws AuthenticationError when the proof does not fit.
   */
  handleFinal(message: string): string {
    const { header, nonce, signed } = this.state;
    const [, bare, binding, answered, proof = ''] = FINAL.exec(message) ?? [];
    const expected = `c=${Buffer.from(header).toString('base64')}`;
    if (binding !== expected || answered !== nonce) {
      refuse('the last SCRAM message does not fit the exchange');
    }
    const { storedKey, serverKey } = this.verifier;
    const text = `${signed},${bare}`;
    const signature = computeHmac(storedKey, text);
    const given = Buffer.from(proof, 'base64');
    if (given.length !== signature.length) refuse('the password is wrong');
    const clientKey = Buffer.from(signature.map((byte, index) => byte ^ (given[index] ?? 0)));
    if (!timingSafeEqual(computeSha256(clientKey), storedKey)) refuse('the password is wrong');
    return `v=${computeHmac(serverKey, text).toString('base64')}`;
  }
}

/** True when the cleartext password fits the verifier. */
export async function checkPassword(password: string, verifier: Verifier): Promise<boolean> {
  const { storedKey } = await computeVerifier(password, verifier.salt, verifier.iterations);
  return timingSafeEqual(storedKey, verifier.storedKey);
}
