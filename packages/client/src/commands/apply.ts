import { Args, Flags } from '@oclif/core';
import {
  applyNote,
  checkNote,
  compareConfigurations,
  type ConfigurationChange,
  loadChain,
  type NumberedNote,
  submitNote,
} from '@shallotpick/core';
import { OperatorCommand } from '../operatorcommand.js';
import { loadNoteFile, type NoteFile } from '../notefile.js';
import { CommandError } from '../errors.js';
import { formatChanges } from '../table.js';
import { waitUntilInForce } from '../inforce.js';

/** The JSON output of the command. */
interface ApplyResult {
  readonly number: number;
  readonly outcome: 'accepted' | 'repeated' | 'dryRun';
  readonly changes: readonly ConfigurationChange[];
}

function createOutdatedError(base: number, changes: readonly NumberedNote[]): CommandError {
  const lines = changes.map(({ number, note }) => {
    const names = [
      ...[...note.added.groups, ...note.added.contracts].map(({ name }) => `+${name}`),
      ...[...note.changed.groups, ...note.changed.contracts].map(({ name }) => `~${name}`),
      ...[...note.withdrawn.groups, ...note.withdrawn.contracts].map((name) => `-${name}`),
    ];
    return `note ${number} (${note.id}): ${names.join(' ') || 'no changes'}`;
  });
  const newest = changes.at(-1)?.number ?? base;
  const message = `the base ${base} is outdated; since then:\n${lines.join('\n')}\nset base to ${newest} and apply again`;
  return new CommandError('outdated', message, { base, newest, changes });
}

/** Submits a release note; optionally waits until it is in force on all daemons. */
export class Apply extends OperatorCommand {
  static override description = 'Submit a release note; applying the same note again is harmless';

  static override args = { file: Args.file({ required: true, description: 'YAML file' }) };

  static override flags = {
    'dry-run': Flags.boolean({
      description: 'check the note and show the differences without submitting it',
    }),
    wait: Flags.boolean({ description: 'wait until the note is in force on all daemons' }),
    'wait-timeout-ms': Flags.integer({ default: 30_000, min: 1, description: 'limit of --wait' }),
  };

  async run(): Promise<ApplyResult> {
    const { args, flags } = await this.parse(Apply);
    const file = await loadNoteFile(args.file);
    const platform = this.createPlatformClient(flags);
    if (flags.wait) this.readDaemonAddresses(flags);
    const chain = await loadChain(platform);
    const before = chain.configuration;
    if (flags['dry-run']) return this.showDryRun(file, before);
    const verdict = await submitNote(platform, chain, file.note);
    if (verdict.kind === 'invalid') throw file.createValidationError(verdict.issues);
    if (verdict.kind === 'outdated') throw createOutdatedError(file.note.base, verdict.changes);
    const { number, repeated } = verdict;
    this.log(
      repeated
        ? `note ${number} (${file.note.id}) was accepted before; nothing changed`
        : `note ${number} (${file.note.id}) is accepted`,
    );
    if (flags.wait) {
      const report = (line: string): void => this.logToStderr(line);
      const read = () => this.readStatuses(flags);
      await waitUntilInForce(number, flags['wait-timeout-ms'], read, report);
    }
    const changes = repeated ? [] : compareConfigurations(before, chain.configuration);
    return { number, outcome: repeated ? 'repeated' : 'accepted', changes };
  }

  private showDryRun(file: NoteFile, before: Parameters<typeof applyNote>[0]): ApplyResult {
    const issues = checkNote(before, file.note);
    if (issues.length > 0) throw file.createValidationError(issues);
    const changes = compareConfigurations(before, applyNote(before, file.note));
    this.log(`note ${before.number + 1} would be accepted`);
    this.log(formatChanges(changes));
    return { number: before.number + 1, outcome: 'dryRun', changes };
  }
}
