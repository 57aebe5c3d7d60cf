import { Flags } from '@oclif/core';
import { formatNoteKey, loadChain, parseNoteText } from '@shallotpick/core';
import { OperatorCommand } from '../operatorcommand.js';
import { formatTable } from '../table.js';

interface HistoryEntry {
  readonly number: number;
  readonly id: string;
  readonly added: number;
  readonly changed: number;
  readonly withdrawn: number;
}

interface Content {
  readonly groups: readonly unknown[];
  readonly contracts: readonly unknown[];
}

const countItems = ({ groups, contracts }: Content): number => groups.length + contracts.length;

/** Lists the newest notes. */
export class History extends OperatorCommand {
  static override description = 'List the accepted release notes, newest first';

  static override flags = {
    limit: Flags.integer({ default: 20, min: 1, max: 200, description: 'notes to list' }),
  };

  async run(): Promise<readonly HistoryEntry[]> {
    const { flags } = await this.parse(History);
    const platform = this.createPlatformClient(flags);
    const newest = (await loadChain(platform)).configuration.number;
    const entries: HistoryEntry[] = [];
    for (let number = newest; number > Math.max(0, newest - flags.limit); number--) {
      const object = await platform.read(formatNoteKey(number));
      if (object) {
        const { id, added, changed, withdrawn } = parseNoteText(object.value);
        const [plus, both, minus] = [added, changed, withdrawn].map(countItems);
        entries.push({ number, id, added: plus ?? 0, changed: both ?? 0, withdrawn: minus ?? 0 });
      }
    }
    const rows = entries.map((one) => [one.number, one.id, one.added, one.changed, one.withdrawn]);
    this.log(formatTable(['note', 'id', 'added', 'changed', 'withdrawn'], rows));
    return entries;
  }
}
