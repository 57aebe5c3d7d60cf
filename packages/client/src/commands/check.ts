import { readFile } from 'node:fs/promises';
import { Args, Flags } from '@oclif/core';
import {
  checkConfiguration,
  compareDrafts,
  type ConfigurationDraft,
  type ConfigurationEffect,
  type ConfigurationFinding,
} from '@shallotpick/engine';
import { decodeDraft } from '@shallotpick/platform';
import { CommandError } from '../errors.js';
import { OperatorCommand } from '../operatorcommand.js';
import { formatTable } from '../table.js';

/** The JSON output: what was found, and what differs from the configuration in force. */
interface CheckResult {
  readonly findings: readonly ConfigurationFinding[];
  /** Absent without the configuration in force. */
  readonly effects?: readonly ConfigurationEffect[];
}

/** @throws CommandError when the file can't be read or holds no configuration. */
async function loadDraft(path: string): Promise<ConfigurationDraft> {
  let content: unknown;
  try {
    content = JSON.parse(await readFile(path, 'utf8'));
  } catch (error) {
    throw new CommandError('usage', `${path}: ${String(error)}`);
  }
  const decoded = decodeDraft(content);
  if (decoded.kind === 'draft') return decoded.draft;
  const { problems } = decoded;
  const lines = problems.map((one) => `${path}: ${one.path}: ${one.reason}`);
  throw new CommandError('invalidConfiguration', lines.join('\n'), problems);
}

function formatFindings(findings: readonly ConfigurationFinding[]): string {
  if (findings.length === 0) return 'nothing found';
  const rows = findings.map((one) => [one.severity, one.category, one.subject, one.reason]);
  return formatTable(['severity', 'category', 'subject', 'reason'], rows);
}

function formatEffects(effects: readonly ConfigurationEffect[]): string {
  const rows = effects.map(({ subject, change, effect }) => [subject, change, effect]);
  return formatTable(['subject', 'change', 'effect'], rows);
}

/** Checks a configuration of the users' platform before it is sent; needs no platform. */
export class Check extends OperatorCommand {
  static override description =
    "Check a configuration of the users' platform, and show what differs from the one in force";

  static override args = { file: Args.file({ required: true, description: 'JSON file' }) };

  static override flags = {
    'in-force': Flags.file({ description: 'JSON file with the configuration in force' }),
  };

  async run(): Promise<CheckResult> {
    const { args, flags } = await this.parse(Check);
    const draft = await loadDraft(args.file);
    const findings = checkConfiguration(draft);
    const path = flags['in-force'];
    const effects = path === undefined ? undefined : compareDrafts(await loadDraft(path), draft);
    const errors = findings.filter(({ severity }) => severity === 'error');
    this.log(formatFindings(findings));
    if (effects) this.log(formatEffects(effects));
    if (errors.length > 0) {
      const message = `${args.file}: ${errors.length} errors`;
      throw new CommandError('invalidConfiguration', message, { findings, effects });
    }
    return effects ? { findings, effects } : { findings };
  }
}
