import { access } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';

/**
 * Loads a module of this package: the built one, or the TypeScript source through tsx when the
 * workspace is not built.
 */
export async function loadEntry(name) {
  const built = new URL(`../dist/${name}.js`, import.meta.url);
  const isBuilt = await access(built).then(
    () => true,
    () => false,
  );
  if (isBuilt) return import(built.href);
  const { register } = await import('tsx/esm/api');
  // The paths in this tsconfig map the workspace packages to their sources.
  register({ tsconfig: fileURLToPath(new URL('./tsconfig.json', import.meta.url)) });
  return import(new URL(`../src/${name}.ts`, import.meta.url).href);
}
