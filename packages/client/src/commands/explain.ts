import { Flags } from '@oclif/core';
import type { ExplainResponse } from '@shallotpick/wire';
import { OperatorCommand } from '../operatorcommand.js';
import { CommandError } from '../errors.js';
import { formatTable } from '../table.js';

/** Shows which instance would serve a contract's requests now. */
export class Explain extends OperatorCommand {
  static override description = 'Show which instance would serve a contract now on each daemon';

  static override flags = {
    group: Flags.string({ required: true, description: 'database group' }),
    contract: Flags.string({ default: 'default', description: 'contract of the note in force' }),
    kind: Flags.string({
      default: 'read',
      options: ['read', 'write'],
      description: 'kind of statement',
    }),
  };

  async run(): Promise<readonly ExplainResponse[]> {
    const { flags } = await this.parse(Explain);
    const { group, contract, kind } = flags;
    const answers = await Promise.all(
      this.readDaemonAddresses(flags).map((address) =>
        this.callDaemon(flags, address, (client) =>
          client.explain({ group, contract, kind }),
        ).catch((error: unknown) => {
          if (error instanceof CommandError) throw error;
          const message = error instanceof Error ? error.message : String(error);
          throw new CommandError('daemon', `${address}: ${message}`);
        }),
      ),
    );
    answers.forEach((answer) => this.show(answer, kind));
    return answers;
  }

  private show(answer: ExplainResponse, kind: string): void {
    const { vm, contract, maxAgeMs, length, repeat, instances, reason } = answer;
    const target = instances[0] ?? 'no instance';
    this.log(`${vm}: a ${kind} under ${contract} goes to ${target} (${reason})`);
    this.log(`contract: maxAgeMs ${maxAgeMs}, length ${length}, repeat ${repeat}`);
    const rows = answer.candidates.map((one) => {
      const rank = instances.indexOf(one.instance) + 1;
      return [one.instance, rank || undefined, one.reason];
    });
    this.log(formatTable(['instance', 'rank', 'reason'], rows));
  }
}
