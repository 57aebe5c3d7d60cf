import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'earl';
import { COMMANDS, EXIT_CODES } from '../src/index.js';

const ROOT = fileURLToPath(new URL('..', import.meta.url));
const CONFIGURATION = {
  version: 7,
  routes: [{ host: 'orders', service: 'g', route_type: 'primary', timeout_ms: 800 }],
  services: [{ name: 'g', max_conns: 16 }],
  tenants: [{ name: 'north', api_keys: ['a', 'b'], rate_per_s: 5, burst: 5 }],
};

describe('check', () => {
  let directory = '';

  const write = async (name: string, content: unknown): Promise<string> => {
    const path = join(directory, name);
    await writeFile(path, JSON.stringify(content));
    return path;
  };

  /** Runs the command in this process and returns its exit code and JSON output. */
  const run = async (...args: string[]) => {
    const output: string[] = [];
    const original = process.stdout.write.bind(process.stdout);
    process.stdout.write = (text: string) => output.push(text) > 0;
    try {
      await COMMANDS.check.run([...args, '--json'], ROOT);
    } finally {
      process.stdout.write = original;
    }
    const code = process.exitCode ?? 0;
    process.exitCode = undefined;
    return { code, json: JSON.parse(output.join('')) };
  };

  beforeEach(async () => {
    directory = await mkdtemp(join(tmpdir(), 'shallotpick-'));
  });

  afterEach(async () => rm(directory, { recursive: true }));

  it('accepts a sound configuration without a platform', async () => {
    const path = await write('next.json', CONFIGURATION);
    expect(await run(path)).toEqual({ code: 0, json: { findings: [] } });
  });

  it('names each field that cannot be used', async () => {
    const path = await write('next.json', { ...CONFIGURATION, version: 'x', services: [{}] });
    const { code, json } = await run(path);
    expect(code).toEqual(EXIT_CODES.invalidConfiguration);
    const paths = json.error.details.map((one: { readonly path: string }) => one.path);
    expect(paths).toEqual(['version', 'services.0.name', 'services.0.max_conns']);
  });

  it('fails for a route whose group is missing', async () => {
    const path = await write('next.json', { ...CONFIGURATION, services: [] });
    expect((await run(path)).code).toEqual(EXIT_CODES.invalidConfiguration);
  });

  // A key in the output would end up in the logs of whatever ran the command.
  it('compares with the configuration in force and shows no key', async () => {
    const before = await write('before.json', CONFIGURATION);
    const tenants = [{ name: 'north', api_keys: ['a'], rate_per_s: 2, burst: 5 }];
    const after = await write('after.json', { ...CONFIGURATION, version: 8, tenants });
    const { code, json } = await run(after, '--in-force', before);
    expect(code).toEqual(0);
    expect(json.effects).toEqual([
      { subject: 'version', change: 'changed', effect: '7 -> 8' },
      {
        subject: 'organisation north',
        change: 'changed',
        effect: '1 keys revoked; open sessions lose their right with them',
      },
      {
        subject: 'organisation north',
        change: 'changed',
        effect: 'rate limit: 5/s, burst 5 -> 2/s, burst 5',
      },
    ]);
  });
});
