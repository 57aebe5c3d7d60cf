import { Args } from '@oclif/core';
import {
  compareConfigurations,
  type ConfigurationChange,
  InvalidNoteError,
  loadConfiguration,
} from '@shallotpick/core';
import { OperatorCommand } from '../operatorcommand.js';
import { CommandError } from '../errors.js';
import { formatChanges } from '../table.js';

/** Compares the configurations after two notes. */
export class Diff extends OperatorCommand {
  static override description = 'Show what differs between the configurations of two notes';

  static override args = {
    a: Args.integer({ required: true, min: 0, description: 'number of the earlier note' }),
    b: Args.integer({ required: true, min: 0, description: 'number of the later note' }),
  };

  async run(): Promise<readonly ConfigurationChange[]> {
    const { args, flags } = await this.parse(Diff);
    const platform = this.createPlatformClient(flags);
    const [before, after] = await Promise.all(
      [args.a, args.b].map(async (number) =>
        loadConfiguration(platform, number).catch((error: unknown) => {
          if (error instanceof InvalidNoteError) throw new CommandError('usage', error.message);
          throw error;
        }),
      ),
    );
    const changes = before && after ? compareConfigurations(before, after) : [];
    this.log(formatChanges(changes));
    return changes;
  }
}
