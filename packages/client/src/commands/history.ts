import { Flags } from '@oclif/core';
import { formatNoteKey, loadChain, parseNoteText } from '@shallotpick/core';
import { OperatorCommand } from '../operatorcommand.js';
import { formatTable } from '../table.js';

/** The JSON output per note: its number, its id and its numbers of changes. */
interface HistoryEntry {
  readonly number: number;
  readonly id: string;
  readonly added: number;
  readonly changed: number;
  readonly withdrawn: number;
}

/** The groups and contracts that a note adds, changes or withdraws. */
interface NoteChangeSet {
  readonly groups: readonly unknown[];
  readonly contracts: readonly unknown[];
}

const countItems = ({ groups, contracts }: NoteChangeSet): number =>
  groups.length + contracts.length;

/** Lists the newest release notes with their numbers of changes. */
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
        const [addedCount, changedCount, withdrawnCount] = [added, changed, withdrawn].map(
          countItems,
        );
        entries.push({
          number,
          id,
          added: addedCount ?? 0,
          changed: changedCount ?? 0,
          withdrawn: withdrawnCount ?? 0,
        });
      }
    }
    const rows = entries.map((one) => [one.number, one.id, one.added, one.changed, one.withdrawn]);
    this.log(formatTable(['note', 'id', 'added', 'changed', 'withdrawn'], rows));
    return entries;
  }
}
