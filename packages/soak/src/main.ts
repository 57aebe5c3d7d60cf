import { join, resolve } from 'node:path';
import { parseArgs } from 'node:util';
import { runSoak } from './soak.js';

const DEFAULT_WINDOW_MS = 12_000;
/** Length of the fault window per series of faults, unless --series is set. */
const MS_PER_SERIES = 1_500;

/** Runs the seeds one after the other; exits with 1 when an invariant was violated. */
async function runCommand(): Promise<void> {
  const { values } = parseArgs({
    options: {
      seed: { type: 'string', default: '1' },
      runs: { type: 'string', default: '1' },
      vms: { type: 'string', default: '4' },
      groups: { type: 'string', default: '2' },
      callers: { type: 'string', default: '24' },
      connections: { type: 'string' },
      window: { type: 'string', default: String(DEFAULT_WINDOW_MS) },
      series: { type: 'string' },
      restorations: { type: 'boolean', default: false },
      restarts: { type: 'boolean', default: false },
      /** Draws faults of several parts within a takeover, and the platform's rules. */
      outages: { type: 'boolean', default: false },
      /** Lets VMs differ in what they reach, and draws the platform's rules. */
      partitions: { type: 'boolean', default: false },
      instances: { type: 'string', default: '3' },
      /** Writes configurations in series, beside callers that pipeline requests. */
      changes: { type: 'boolean', default: false },
      /** Moves databases that callers use between groups. */
      moves: { type: 'boolean', default: false },
      /** Number of organisations, whose keys come and go. */
      organisations: { type: 'string', default: '0' },
      /** Lets another writer leave entries that can't be used. */
      'odd-entries': { type: 'boolean', default: false },
      program: { type: 'string', default: join('target', 'shallotpick.cjs') },
      logs: { type: 'string', default: join('target', 'soak') },
    },
  });
  const windowMs = Number(values.window);
  const series = Number(values.series ?? Math.ceil(windowMs / MS_PER_SERIES));
  for (let index = 0; index < Number(values.runs); index++) {
    const seed = Number(values.seed) + index;
    const report = await runSoak({
      ...{ seed, windowMs, series, vms: Number(values.vms), groups: Number(values.groups) },
      callers: Number(values.callers),
      restorations: values.restorations,
      restarts: values.restarts,
      outages: values.outages,
      partitions: values.partitions,
      changes: values.changes,
      moves: values.moves,
      instances: Number(values.instances),
      organisations: Number(values.organisations),
      oddEntries: values['odd-entries'],
      ...(values.connections ? { connections: Number(values.connections) } : {}),
      program: resolve(values.program),
      directory: resolve(values.logs),
    });
    const isHeld = report.violations.length === 0;
    const verdict = isHeld ? 'all invariants held' : `${report.violations.length} violations`;
    const kinds = report.faults.map(({ kind, at }) => `${kind}@${at}`).join(' ');
    const rules =
      values.outages || values.partitions ? ` rules ${JSON.stringify(report.promotionRules)};` : '';
    process.stdout.write(
      `seed ${seed}: ${verdict}; ${JSON.stringify(report.counts)};${rules} faults ${kinds}\n`,
    );
    if (isHeld) continue;
    report.formattedViolations.forEach((line) => process.stdout.write(`  ${line}\n`));
    process.stdout.write(`  logs: ${join(values.logs, `seed-${seed}`)}\n`);
    process.exitCode = 1;
  }
}

await runCommand();
// Connections that were silenced for good would keep the process alive.
// eslint-disable-next-line n/no-process-exit
process.exit();
