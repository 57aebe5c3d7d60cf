import { Args } from '@oclif/core';
import { formatNoteKey, parseNoteText, type ReleaseNote } from '@shallotpick/core';
import { stringify } from 'yaml';
import { OperatorCommand } from '../operatorcommand.js';
import { CommandError } from '../errors.js';

/** Prints one accepted release note. */
export class Show extends OperatorCommand {
  static override description = 'Print an accepted release note as YAML';

  static override args = {
    note: Args.integer({ required: true, min: 1, description: 'number of the note' }),
  };

  async run(): Promise<ReleaseNote> {
    const { args, flags } = await this.parse(Show);
    const object = await this.createPlatformClient(flags).read(formatNoteKey(args.note));
    if (!object) throw new CommandError('usage', `there is no note ${args.note}`);
    const note = parseNoteText(object.value);
    this.log(stringify(note).trimEnd());
    return note;
  }
}
