import { Args } from '@oclif/core';
import { OperatorCommand } from '../operatorcommand.js';
import { CommandError } from '../errors.js';

/** Starts the graceful shutdown of one daemon. */
export class Drain extends OperatorCommand {
  static override description = 'Drain the daemon of a VM: finish its requests and shut down';

  static override args = { vm: Args.string({ required: true, description: 'id of the VM' }) };

  async run(): Promise<{ readonly vm: string; readonly callers: number }> {
    const { args, flags } = await this.parse(Drain);
    const statuses = await this.readStatuses(flags);
    const found = statuses.find(({ status }) => status?.vm === args.vm);
    if (!found) {
      const known = statuses.map(({ address, status }) => status?.vm ?? `${address} (no answer)`);
      throw new CommandError(
        'daemon',
        `no daemon of ${args.vm} answers; known: ${known.join(', ')}`,
      );
    }
    const { callers } = await this.callDaemon(flags, found.address, (client) =>
      client.drain(args.vm),
    );
    this.log(`${args.vm} is draining; ${callers} callers were connected`);
    return { vm: args.vm, callers };
  }
}
