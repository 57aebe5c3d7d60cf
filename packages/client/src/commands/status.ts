import { OperatorCommand, type DaemonStatus } from '../operatorcommand.js';
import { CommandError } from '../errors.js';
import { formatTable } from '../table.js';

/** Shows the state of the daemons, and the groups as seen by the first that responds. */
export class Status extends OperatorCommand {
  static override description = 'Show the note in force and the groups on each daemon';

  async run(): Promise<readonly DaemonStatus[]> {
    const { flags } = await this.parse(Status);
    const statuses = await this.readStatuses(flags);
    this.log(this.formatDaemons(statuses));
    const seen = statuses.find(({ status }) => status);
    if (!seen?.status) throw new CommandError('daemon', 'no daemon answers', statuses);
    this.log(`groups as ${seen.status.vm} sees them:`);
    this.log(this.formatGroups(seen));
    return statuses;
  }

  private formatDaemons(statuses: readonly DaemonStatus[]): string {
    return formatTable(
      ['daemon', 'address', 'zone', 'note', 'state', 'callers'],
      statuses.map(({ address, status, error }) => {
        const state = (status?.draining && 'draining') || (status?.ready ? 'ready' : 'not ready');
        return [
          status?.vm,
          address,
          status?.zone,
          status?.noteNumber,
          status ? state : `no answer: ${error}`,
          status?.callers,
        ];
      }),
    );
  }

  private formatGroups({ status }: DaemonStatus): string {
    const rows = (status?.groups ?? []).flatMap((group) =>
      group.instances.map((instance) => [
        group.name,
        group.term,
        instance.id,
        instance.zone,
        (instance.id === group.primary && 'primary') || instance.role || 'no answer',
        instance.lagOffsets,
        instance.ageMs === undefined ? undefined : Math.ceil(instance.ageMs),
        `${instance.connections}/${instance.connectionLimit}`,
        instance.leaving ? 'leaving' : '',
      ]),
    );
    return formatTable(
      ['group', 'term', 'instance', 'zone', 'role', 'lag (offsets)', 'age (ms)', 'connections', ''],
      rows,
    );
  }
}
