import { Args, Flags } from '@oclif/core';
import { checkNote, loadChain } from '@shallotpick/core';
import { OperatorCommand } from '../operatorcommand.js';
import { loadNoteFile } from '../notefile.js';

/** Checks a release note without submitting it. */
export class Validate extends OperatorCommand {
  static override description =
    'Check a release note against its base, or only its form with --offline';

  static override args = { file: Args.file({ required: true, description: 'YAML file' }) };

  static override flags = {
    offline: Flags.boolean({ description: 'check the form only, without the platform' }),
  };

  async run(): Promise<{ readonly valid: true; readonly offline: boolean }> {
    const { args, flags } = await this.parse(Validate);
    const file = await loadNoteFile(args.file);
    if (!flags.offline) {
      const { configuration } = await loadChain(this.createPlatformClient(flags));
      const issues = checkNote(configuration, file.note);
      if (issues.length > 0) throw file.createValidationError(issues);
    }
    this.log(`${args.file} is valid`);
    return { valid: true, offline: flags.offline };
  }
}
