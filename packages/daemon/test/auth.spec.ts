import { expect } from 'earl';
import { checkPassword, ScramExchange } from '../src/auth.js';
import { computeVerifier, createVerifier, parseUsers } from '../src/users.js';

// The example of RFC 7677, section 3.
const SALT = 'W22ZaJ0SNY7soEsUEjb6gQ==';
const SERVER_NONCE = '%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0';
const CLIENT_FIRST = 'n,,n=user,r=rOprNGfwEbeRWgbNEkqO';
const NONCE = `rOprNGfwEbeRWgbNEkqO${SERVER_NONCE}`;
const PROOF = 'dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=';

describe('ScramExchange', () => {
  const create = async (password: string): Promise<ScramExchange> => {
    const verifier = await computeVerifier(password, Buffer.from(SALT, 'base64'), 4_096);
    return new ScramExchange(verifier, SERVER_NONCE);
  };

  // Guards against a deviation from the RFC that our own client would not reveal.
  it('completes the exchange of the example in RFC 7677', async () => {
    const exchange = await create('pencil');
    expect(exchange.handleFirst(CLIENT_FIRST)).toEqual(`r=${NONCE},s=${SALT},i=4096`);
    expect(exchange.handleFinal(`c=biws,r=${NONCE},p=${PROOF}`)).toEqual(
      'v=6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4=',
    );
  });

  // Guards against accepting a wrong password, a wrong nonce or a changed channel binding.
  it('rejects invalid messages and proofs', async () => {
    const finals = [
      `c=biws,r=${NONCE},p=${PROOF.replace('d', 'e')}`,
      `c=biws,r=${NONCE},p=AAAA`,
      `c=biws,r=${NONCE}x,p=${PROOF}`,
      `c=eSws,r=${NONCE},p=${PROOF}`,
      '',
    ];
    for (const final of finals) {
      const exchange = await create('pencil');
      exchange.handleFirst(CLIENT_FIRST);
      expect(() => exchange.handleFinal(final)).toThrow();
    }
    const other = await create('pen');
    other.handleFirst(CLIENT_FIRST);
    expect(() => other.handleFinal(`c=biws,r=${NONCE},p=${PROOF}`)).toThrow();
    expect(() => other.handleFirst('p=tls-unique,,n=user,r=abc')).toThrow();
    const fresh = await create('pencil');
    expect(() => fresh.handleFinal(`c=biws,r=${NONCE},p=${PROOF}`)).toThrow();
  });
});

describe('users file', () => {
  // Guards against verifiers that do not match their password, and secrets in error messages.
  it('parses verifiers and reports invalid lines without their content', async () => {
    const users = parseUsers(`# guests\nguest:${await createVerifier('s3cret')}\n\n`);
    const verifier = users.get('guest');
    expect(verifier && (await checkPassword('s3cret', verifier))).toEqual(true);
    expect(verifier && (await checkPassword('s3creT', verifier))).toEqual(false);
    expect(() => parseUsers('guest:s3cret')).toThrow(
      'line 1 of the users file is not USER:SCRAM-SHA-256$...',
    );
  });
});
