import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { formatNoteKey } from '@shallotpick/core';
import { createDaemon, type Daemon, loadSettings } from '@shallotpick/daemon';
import { StandinPlatform } from '@shallotpick/standin';
import { expect } from 'earl';
import { generate } from 'selfsigned';
import { COMMANDS, EXIT_CODES } from '../src/index.js';

const ROOT = fileURLToPath(new URL('..', import.meta.url));

const createNote = (id: string, base: number): string => `id: ${id}
base: ${base}
added:
  contracts:
    - name: ${id}
      match: {}
      maxAgeMs: 0
      length: short
      repeat: never
`;

describe('command line', () => {
  let platform: StandinPlatform;
  let daemon: Daemon;
  let directory = '';
  let output: string[] = [];

  /** Runs a command in this process and returns its exit code and JSON output. */
  const run = async (name: keyof typeof COMMANDS, ...args: string[]) => {
    const write = process.stdout.write.bind(process.stdout);
    output = [];
    process.stdout.write = (text: string) => output.push(text) > 0;
    try {
      await (COMMANDS[name] as unknown as typeof COMMANDS.status).run([...args, '--json'], ROOT);
    } finally {
      process.stdout.write = write;
    }
    const code = process.exitCode ?? 0;
    process.exitCode = undefined;
    return { code, json: JSON.parse(output.join('')) };
  };

  const writeNote = async (file: string, text: string): Promise<string> => {
    const path = join(directory, file);
    await writeFile(path, text);
    return path;
  };

  beforeEach(async () => {
    directory = await mkdtemp(join(tmpdir(), 'shallotpick-'));
    platform = new StandinPlatform();
    const url = await platform.start();
    platform.set(formatNoteKey(1), JSON.stringify({ id: 'first', base: 0 }));
    const pem = await generate([{ name: 'commonName', value: 'localhost' }], {
      algorithm: 'sha256',
      extensions: [{ name: 'subjectAltName', altNames: [{ type: 7, ip: '127.0.0.1' }] }],
    });
    const files = {
      SHALLOTPICK_TLS_CA_FILE: await writeNote('ca.pem', pem.cert),
      SHALLOTPICK_TLS_CERT_FILE: await writeNote('cert.pem', pem.cert),
      SHALLOTPICK_TLS_KEY_FILE: await writeNote('key.pem', pem.private),
    };
    const settings = loadSettings([], {
      SHALLOTPICK_TLS_OPERATOR_CA: files.SHALLOTPICK_TLS_CA_FILE,
      SHALLOTPICK_TLS_OPERATOR_CERT: files.SHALLOTPICK_TLS_CERT_FILE,
      SHALLOTPICK_TLS_OPERATOR_KEY: files.SHALLOTPICK_TLS_KEY_FILE,
      SHALLOTPICK_VM: 'vm-1',
      SHALLOTPICK_ZONE: 'nyali',
      SHALLOTPICK_PLATFORM_URL: url,
      SHALLOTPICK_CALLER_PORT: '0',
      SHALLOTPICK_METRICS_PORT: '0',
      SHALLOTPICK_OPERATOR_PORT: '0',
      SHALLOTPICK_LOG_LEVEL: 'error',
    });
    daemon = createDaemon(settings);
    await daemon.start();
    const daemons = `127.0.0.1:${daemon.readOperatorPort()}`;
    Object.assign(process.env, files, {
      SHALLOTPICK_PLATFORM_URL: url,
      SHALLOTPICK_DAEMONS: daemons,
    });
  });

  afterEach(async () => {
    Object.keys(process.env)
      .filter((name) => name.startsWith('SHALLOTPICK_'))
      .forEach((name) => delete process.env[name]);
    daemon.stop();
    await platform.stop();
    await rm(directory, { recursive: true });
  });

  // Guards against an accepted note that never takes effect, and a repeated apply that counts.
  it('applies a note once, waits over mutual TLS, reports changes since an outdated base', async () => {
    const file = await writeNote('a.yaml', createNote('one', 1));
    expect((await run('apply', file, '--wait')).json).toEqual({
      number: 2,
      outcome: 'accepted',
      changes: [{ kind: 'contract', name: 'one', change: 'added', fields: [] }],
    });
    expect((await run('apply', file)).json.outcome).toEqual('repeated');
    const outdated = await run('apply', await writeNote('b.yaml', createNote('two', 1)));
    expect([outdated.code, outdated.json.error.code]).toEqual([EXIT_CODES.outdated, 'outdated']);
    expect(outdated.json.error.details.newest).toEqual(2);
    const [status] = (await run('status')).json;
    expect([status.status.vm, status.status.noteNumber]).toEqual(['vm-1', 2]);
  });

  // Guards against an error without its location in the file.
  it('names file, line and allowed values of an invalid field', async () => {
    const text = createNote('one', 1).replace('length: short', 'length: big');
    const file = await writeNote('bad.yaml', text);
    const { code, json } = await run('validate', file);
    expect(code).toEqual(EXIT_CODES.invalidNote);
    expect(json.error.details).toEqual([
      {
        file,
        line: 8,
        column: 15,
        field: 'added.contracts[0].length',
        message: 'Invalid option: expected one of "short"|"long"',
      },
    ]);
  });

  // Guards against an operator port that accepts clients without a certificate.
  it('is refused by a daemon when it has no certificate', async () => {
    ['CA', 'CERT', 'KEY'].forEach((name) => delete process.env[`SHALLOTPICK_TLS_${name}_FILE`]);
    expect((await run('status')).code).toEqual(EXIT_CODES.daemon);
  });

  // Guards against a drain of the wrong VM, and against a response lost in the shutdown.
  it('drains the named VM only', async () => {
    expect((await run('drain', 'vm-2')).code).toEqual(EXIT_CODES.daemon);
    expect((await run('drain', 'vm-1')).json).toEqual({ vm: 'vm-1', callers: 0 });
    expect(daemon.isDraining()).toEqual(true);
  });

  // Guards against an outage of the platform that is reported as success.
  it('reports an unreachable platform', async () => {
    platform.faults.isDown = true;
    expect((await run('history')).code).toEqual(EXIT_CODES.platform);
  });
});
