import { randomBytes, timingSafeEqual } from 'node:crypto';
import { AuthenticationError } from './errors.js';
import { computeHmac, computeSha256, computeVerifier, type Verifier } from './users.js';

/** The only mechanism offered; channel binding is not supported. */
export const SCRAM_MECHANISM = 'SCRAM-SHA-256';
const NONCE_BYTES = 18;
const MOCK_ITERATIONS = 4_096;
const CLIENT_FIRST = /^([ny],,)(n=[^,]*,r=([\x21-\x2b\x2d-\x7e]+)(?:,.*)?)$/s;
const CLIENT_FINAL = /^((c=[^,]+),r=([\x21-\x2b\x2d-\x7e]+)),p=([\w+/]+=*)$/;

/** Keeps the salt of an unknown user the same across attempts, like that of a real user. */
const mockKey = randomBytes(32);

/** Creates a verifier that matches no password, so that unknown users cannot be enumerated. */
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
  private state: {
    readonly gs2Header: string;
    readonly nonce: string;
    readonly authMessageStart: string;
  } = {
    gs2Header: '',
    nonce: '',
    authMessageStart: '',
  };

  constructor(
    private readonly verifier: Verifier,
    private readonly serverNonce = randomBytes(NONCE_BYTES).toString('base64'),
  ) {}

  /**
   * Handles the client's first message and returns the server's first message.
   *
   * @throws AuthenticationError when it is malformed or asks for channel binding.
   */
  handleFirst(message: string): string {
    const [, gs2Header = '', bare = '', clientNonce = ''] = CLIENT_FIRST.exec(message) ?? [];
    if (clientNonce === '') refuse('the first SCRAM message is malformed');
    const { iterations, salt } = this.verifier;
    const nonce = clientNonce + this.serverNonce;
    const serverFirst = `r=${nonce},s=${salt.toString('base64')},i=${iterations}`;
    this.state = { gs2Header, nonce, authMessageStart: `${bare},${serverFirst}` };
    return serverFirst;
  }

  /**
   * Verifies the client's proof and returns the server's signature.
   *
   * @throws AuthenticationError when the proof is wrong or belongs to another exchange.
   */
  handleFinal(message: string): string {
    const { gs2Header, nonce, authMessageStart } = this.state;
    const [, bare, binding, answeredNonce, proof = ''] = CLIENT_FINAL.exec(message) ?? [];
    const expected = `c=${Buffer.from(gs2Header).toString('base64')}`;
    if (binding !== expected || answeredNonce !== nonce) {
      refuse('the last SCRAM message does not fit the exchange');
    }
    const { storedKey, serverKey } = this.verifier;
    const authMessage = `${authMessageStart},${bare}`;
    const signature = computeHmac(storedKey, authMessage);
    const proofBytes = Buffer.from(proof, 'base64');
    if (proofBytes.length !== signature.length) refuse('the password is wrong');
    const clientKey = Buffer.from(signature.map((byte, index) => byte ^ (proofBytes[index] ?? 0)));
    if (!timingSafeEqual(computeSha256(clientKey), storedKey)) refuse('the password is wrong');
    return `v=${computeHmac(serverKey, authMessage).toString('base64')}`;
  }
}

/** True when the cleartext password matches the verifier. */
export async function checkPassword(password: string, verifier: Verifier): Promise<boolean> {
  const { storedKey } = await computeVerifier(password, verifier.salt, verifier.iterations);
  return timingSafeEqual(storedKey, verifier.storedKey);
}
