import { createHash, createHmac, pbkdf2, randomBytes } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { readFile } from 'node:fs/promises';
import { promisify } from 'node:util';
import { SettingError } from './errors.js';
import type { Log } from './log.js';
import { startReloading } from './reload.js';

const KEY_BYTES = 32;
const SALT_BYTES = 16;
/** The minimum that RFC 7677 recommends. */
const MIN_ITERATIONS = 4_096;
/** A larger count in one line would delay every login of that user. */
const MAX_ITERATIONS = 1_000_000;
const VERIFIER_PATTERN = /^SCRAM-SHA-256\$(\d{1,7}):([\w+/]+=*)\$([\w+/]+=*):([\w+/]+=*)$/;

const deriveKey = promisify(pbkdf2);

/** Computes HMAC-SHA-256. */
export const computeHmac = (key: Buffer, text: string): Buffer =>
  createHmac('sha256', key).update(text).digest();

/** Computes SHA-256. */
export const computeSha256 = (bytes: Buffer): Buffer => createHash('sha256').update(bytes).digest();

/** Derived keys of a password, which can verify it but not be used to log in elsewhere. */
export interface Verifier {
  readonly iterations: number;
  readonly salt: Buffer;
  readonly storedKey: Buffer;
  readonly serverKey: Buffer;
}

/** Derives the keys of a password as in RFC 5802; of SASLprep only NFKC is applied. */
export async function computeVerifier(
  password: string,
  salt: Buffer,
  iterations: number,
): Promise<Verifier> {
  const normalised = password.normalize('NFKC');
  const salted = await deriveKey(normalised, salt, iterations, KEY_BYTES, 'sha256');
  const storedKey = computeSha256(computeHmac(salted, 'Client Key'));
  return { iterations, salt, storedKey, serverKey: computeHmac(salted, 'Server Key') };
}

/** Creates a verifier in the format of the users file. */
export async function createVerifier(password: string): Promise<string> {
  const salt = randomBytes(SALT_BYTES);
  const { storedKey, serverKey } = await computeVerifier(password, salt, MIN_ITERATIONS);
  const keys = `${storedKey.toString('base64')}:${serverKey.toString('base64')}`;
  return `SCRAM-SHA-256$${MIN_ITERATIONS}:${salt.toString('base64')}$${keys}`;
}

function parseLine(line: string, number: number): readonly [string, Verifier] {
  const colon = line.indexOf(':');
  const [, iterations = '0', ...encoded] = VERIFIER_PATTERN.exec(line.slice(colon + 1)) ?? [];
  const [salt, storedKey, serverKey] = encoded.map((text) => Buffer.from(text, 'base64'));
  const iterationCount = Number(iterations);
  const isValid = colon > 0 && iterationCount >= MIN_ITERATIONS && iterationCount <= MAX_ITERATIONS;
  if (!isValid || storedKey?.length !== KEY_BYTES || serverKey?.length !== KEY_BYTES || !salt) {
    // The line is a secret, so the message does not contain it.
    throw new SettingError(`line ${number} of the users file is not USER:SCRAM-SHA-256$...`);
  }
  return [line.slice(0, colon), { iterations: iterationCount, salt, storedKey, serverKey }];
}

/**
 * Parses the text of a users file: one `USER:VERIFIER` per line; lines with `#` are comments.
 *
 * @throws SettingError with the number of an invalid line, without its content.
 */
export function parseUsers(text: string): ReadonlyMap<string, Verifier> {
  const lines = text.split('\n').map((line) => line.trim());
  return new Map(
    lines.flatMap((line, index) =>
      line === '' || line.startsWith('#') ? [] : [parseLine(line, index + 1)],
    ),
  );
}

/** The users who may log in, reloaded when the file changes. */
export class UsersFile {
  private users: ReadonlyMap<string, Verifier>;

  private text: string;

  private readonly timer: NodeJS.Timeout;

  /** @throws SettingError when the file cannot be read or has an invalid line. */
  constructor(
    private readonly path: string,
    private readonly log: Log,
  ) {
    try {
      this.text = readFileSync(path, 'utf8'); // eslint-disable-line n/no-sync
    } catch (cause) {
      throw new SettingError('cannot read the users file', { cause });
    }
    this.users = parseUsers(this.text);
    this.timer = startReloading(
      () => this.load(),
      (error) => log.warn('reloading the users file failed', { error }),
    );
  }

  find(user: string): Verifier | undefined {
    return this.users.get(user);
  }

  /** Reloads the file if it has changed; an invalid file leaves the users unchanged. */
  async load(): Promise<void> {
    const text = await readFile(this.path, 'utf8');
    if (text === this.text) return;
    this.users = parseUsers(text);
    this.text = text;
    this.log.info('users file reloaded', { users: this.users.size });
  }

  stop(): void {
    clearInterval(this.timer);
  }
}
