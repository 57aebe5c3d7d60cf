import { mkdtemp, readFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { build, type Plugin } from 'esbuild';

/** A deliberate fault in the program: one replacement in one source file. */
export interface Mutant {
  /** End of the path of the source file. */
  readonly file: string;
  readonly from: string;
  readonly to: string;
}

function createPlugin({ file, from, to }: Mutant): Plugin {
  return {
    name: 'mutant',
    setup: ({ onLoad }) => {
      onLoad({ filter: new RegExp(`${file.replaceAll('.', '\\.')}$`) }, async ({ path }) => {
        const text = await readFile(path, 'utf8');
        if (!text.includes(from)) throw new Error(`${file} does not contain "${from}"`);
        return { contents: text.replace(from, to), loader: 'ts' };
      });
    },
  };
}

/** Bundles the program as the platform does, with the mutant's replacement if one is given. */
export async function buildProgram(mutant?: Mutant): Promise<string> {
  const directory = await mkdtemp(join(tmpdir(), 'shallotpick-soak-'));
  const outfile = join(directory, 'shallotpick.cjs');
  await build({
    ...{ entryPoints: ['platform/src/main.ts'], bundle: true, platform: 'node', target: 'node20' },
    ...{ format: 'cjs', conditions: ['development'], outfile, logLevel: 'error' },
    plugins: mutant ? [createPlugin(mutant)] : [],
  });
  return outfile;
}
