import { expect } from 'earl';
import {
  applyNote,
  checkNote,
  compareConfigurations,
  type Configuration,
  createShards,
  EMPTY_CONFIGURATION,
  formatPath,
  MAX_VALUE_BYTES,
  noteSchema,
  parseNote,
  ShardCollector,
} from '../src/index.js';

const createGroup = (name: string, port = 5432): Configuration['groups'][number] => ({
  name,
  instances: [{ id: 'a', zone: 'nyali', host: '10.0.0.1', port, slots: 2, connectionLimit: 15 }],
});

const base: Configuration = { number: 1, groups: [createGroup('booking')], contracts: [] };

const listIssues = (value: unknown): readonly string[] => {
  const parsed = parseNote(value);
  const issues = parsed.kind === 'note' ? checkNote(base, parsed.note) : parsed.issues;
  return issues.map(({ path, message }) => `${formatPath(path)}: ${message}`);
};

describe('release note', () => {
  // Guards against error messages that omit the wrong field or the allowed values.
  it('names the field and what is allowed', () => {
    const contract = { name: 'pay', match: {}, maxAgeMs: -1, length: 'big', repeat: 'never' };
    expect(listIssues({ id: 'n', base: 1, added: { contracts: [contract] }, adedd: {} })).toEqual([
      'added.contracts[0].maxAgeMs: Too small: expected number to be >=0',
      'added.contracts[0].length: Invalid option: expected one of "short"|"long"',
      ': unknown field adedd; allowed: id, base, added, changed, withdrawn',
    ]);
  });

  // Guards against a note that silently adds, changes or withdraws the wrong item.
  it('refuses duplicate, unknown and missing names', () => {
    const issues = listIssues({
      id: 'n',
      base: 1,
      added: { groups: [createGroup('booking'), createGroup('shop'), createGroup('shop')] },
      changed: { groups: [createGroup('archive')] },
      withdrawn: { contracts: ['pay'] },
    });
    expect(issues).toEqual([
      'added.groups[0].name: booking exists already; list it under changed.groups',
      'added.groups[2].name: shop occurs twice; allowed: once a note',
      'changed.groups[0].name: archive does not exist in note 1',
      'withdrawn.contracts[0]: pay does not exist in note 1',
    ]);
  });

  // Guards against a contract that can never match, and a note on an outdated base.
  it('refuses a contract on a missing group and a wrong base', () => {
    const contract = { name: 'pay', match: { group: 'shop' }, maxAgeMs: 0, length: 'short' };
    const added = { contracts: [{ ...contract, repeat: 'never' }] };
    expect(listIssues({ id: 'n', base: 1, added })).toEqual([
      'added.contracts[0].match.group: group shop does not exist',
    ]);
    expect(listIssues({ id: 'n', base: 0 })).toEqual([
      'base: the note is based on 0; allowed: 1, the newest note',
    ]);
  });

  it('lists the fields that a note changes', () => {
    const note = noteSchema.parse({
      id: 'n',
      base: 1,
      changed: { groups: [createGroup('booking', 5433)] },
    });
    expect(compareConfigurations(base, applyNote(base, note))).toEqual([
      {
        kind: 'group',
        name: 'booking',
        change: 'changed',
        fields: [{ field: 'instances.a.port', before: 5432, after: 5433 }],
      },
    ]);
    expect(compareConfigurations(base, EMPTY_CONFIGURATION)).toEqual([
      { kind: 'group', name: 'booking', change: 'withdrawn', fields: [] },
    ]);
  });
});

describe('snapshot', () => {
  // Guards against shards above the platform's size limit at the required number of groups.
  it('holds 21,000 groups in shards under 1 MB and reads them back in any order', () => {
    const groups = Array.from({ length: 21_000 }, (_, index) => ({
      name: `group-${index}`,
      instances: ['a', 'b', 'c'].map((id) => ({
        ...createGroup('x').instances[0]!,
        id: `group-${index}-${id}`,
      })),
    }));
    const full: Configuration = { number: 300, groups, contracts: [] };
    const shards = createShards(full);
    expect(
      Math.max(...shards.map(({ text }) => Buffer.byteLength(text))) < MAX_VALUE_BYTES,
    ).toEqual(true);
    const collector = new ShardCollector();
    const read = [...shards].reverse().map(({ text }) => collector.add(text));
    expect(read.at(-1)).toEqual(full);
    expect(read.slice(0, -1).every((one) => one === undefined)).toEqual(true);
  });
});
