import { parseArgs } from 'node:util';
import type { Vm } from '@shallotpick/core';
import { z } from 'zod';
import { SettingError } from './errors.js';

const port = z.coerce.number().int().min(0).max(65_535);
const id = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/, 'lower-case letters, digits and hyphens');

const file = z.string().min(1).optional();
const flag = z
  .enum(['true', 'false'])
  .default('false')
  .transform((text) => text === 'true');
const PEER = /^([a-z][a-z0-9-]{0,62})@([a-z][a-z0-9-]{0,62})@([^@\s]+):(\d{1,5})$/;

/** `id@zone@host:port,...` */
const peers = z
  .string()
  .default('')
  .transform((text, context): readonly Vm[] =>
    text.split(',').flatMap((entry) => {
      if (entry.trim() === '') return [];
      const [, peer = '', zone = '', host = '', peerPort] = PEER.exec(entry.trim()) ?? [];
      const parsed = port.min(1).safeParse(peerPort);
      if (peer && parsed.success) return [{ id: peer, zone, host, peerPort: parsed.data }];
      context.addIssue({ code: 'custom', message: `"${entry}" is not id@zone@host:port` });
      return [];
    }),
  );

const settingsShape = z.object({
  vm: id,
  zone: id,
  host: z.string().min(1).default('127.0.0.1'),
  callerPort: port.default(6432),
  metricsPort: port.default(9432),
  /** Port for other daemons; without it the daemon accepts no peer calls. */
  peerPort: port.optional(),
  peers,
  tlsPeerKey: file,
  tlsPeerCert: file,
  tlsPeerCa: file,
  /** DNS name in the certificates of all peers. */
  tlsPeerName: z.string().min(1).default('shallotpick-peer'),
  tlsCallerKey: file,
  tlsCallerCert: file,
  /** Refuses callers that do not request TLS. */
  tlsCallerRequired: flag,
  /** CA that signs the instances' certificates; enables TLS on every connection to an instance. */
  tlsInstanceCa: file,
  /** File of `USER:VERIFIER` lines; without it callers are not authenticated. */
  usersFile: file,
  callerAuth: z.enum(['scram', 'password']).default('scram'),
  startupTimeoutMs: z.coerce.number().int().min(1).max(600_000).default(10_000),
  /** Enables the operator service. */
  operatorPort: port.optional(),
  tlsOperatorKey: file,
  tlsOperatorCert: file,
  tlsOperatorCa: file,
  platformUrl: z.url(),
  instanceUser: z.string().min(1).default('shallotpick'),
  maxCallers: z.coerce.number().int().min(1).max(1_000_000).default(20_000),
  /** Bytes that all callers together may make the daemon hold; computed from the heap by default. */
  clientMemoryBytes: z.coerce.number().int().min(1).optional(),
  messageTimeoutMs: z.coerce.number().int().min(1).max(3_600_000).default(300_000),
  answerTimeoutMs: z.coerce.number().int().min(1).max(3_600_000).default(600_000),
  queueDeadlineMs: z.coerce.number().int().min(1).max(600_000).default(10_000),
  drainLimitMs: z.coerce.number().int().min(0).max(3_600_000).default(30_000),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
});

/** Converts `callerPort` to the flag `caller-port`. */
function toFlag(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

/** Settings that must be set together. */
const REQUIRED_TOGETHER = [
  ['tlsPeerKey', 'tlsPeerCert', 'tlsPeerCa'],
  ['tlsCallerKey', 'tlsCallerCert'],
  ['tlsOperatorKey', 'tlsOperatorCert', 'tlsOperatorCa'],
] as const;

const settingsSchema = settingsShape.superRefine((settings, context) => {
  REQUIRED_TOGETHER.forEach((names) => {
    const missing = names.filter((name) => settings[name] === undefined);
    if (missing.length === 0 || missing.length === names.length) return;
    const message = `must be set together with ${names.map(toFlag).join(', ')}`;
    missing.forEach((name) => context.addIssue({ code: 'custom', path: [name], message }));
  });
  if (settings.tlsCallerRequired && !settings.tlsCallerCert) {
    const message = 'needs tls-caller-key and tls-caller-cert';
    context.addIssue({ code: 'custom', path: ['tlsCallerRequired'], message });
  }
});

/** Settings of one daemon; see docs/operators.md. */
export type Settings = Readonly<z.infer<typeof settingsSchema>>;

/** The name of a setting. */
type SettingName = keyof Settings;

const SETTING_NAMES = Object.keys(settingsShape.shape) as readonly SettingName[];

/** Converts `callerPort` to the environment variable `SHALLOTPICK_CALLER_PORT`. */
function toVariable(name: string): string {
  return `SHALLOTPICK_${toFlag(name).replaceAll('-', '_').toUpperCase()}`;
}

function parseFlags(args: readonly string[]): Readonly<Record<string, string | undefined>> {
  const options = Object.fromEntries(
    SETTING_NAMES.map((name) => [toFlag(name), { type: 'string' } as const]),
  );
  try {
    return parseArgs({ args: [...args], options, strict: true }).values;
  } catch (cause) {
    throw new SettingError('unknown or malformed flag', { cause });
  }
}

/**
 * Reads the settings from flags, then environment variables, then defaults.
 *
 * @throws SettingError with the name, the value and the allowed values of each invalid setting.
 */
export function loadSettings(
  args: readonly string[],
  environment: Readonly<Record<string, string | undefined>>,
): Settings {
  const flags = parseFlags(args);
  const given = Object.fromEntries(
    SETTING_NAMES.map((name) => [name, flags[toFlag(name)] ?? environment[toVariable(name)]]),
  );
  const parsed = settingsSchema.safeParse(given);
  if (parsed.success) return parsed.data;
  const problems = parsed.error.issues.map(({ path, message }) => {
    const name = String(path[0]);
    const value = given[name] === undefined ? 'not set' : `"${given[name]}"`;
    return `--${toFlag(name)} (${toVariable(name)}) is ${value}: ${message}`;
  });
  throw new SettingError(problems.join('; '));
}
