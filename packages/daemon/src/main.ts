import { SettingError } from './errors.js';
import { loadSettings } from './settings.js';
import { createDaemon } from './wiring.js';

const EXIT_BAD_SETTING = 2;

async function run(): Promise<void> {
  const daemon = createDaemon(loadSettings(process.argv.slice(2), process.env));
  process.once('SIGTERM', () => {
    daemon.drain().catch(() => {
      process.exitCode = 1;
    });
  });
  process.once('SIGINT', () => daemon.stop());
  // Ports that are already open would keep the process alive after a failed start.
  await daemon.start().catch((error: unknown) => {
    daemon.stop();
    throw error;
  });
}

run().catch((error: unknown) => {
  const message = error instanceof Error ? error.message : String(error);
  process.stderr.write(`shallotpickd: ${message}\n`);
  process.exitCode = error instanceof SettingError ? EXIT_BAD_SETTING : 1;
});
