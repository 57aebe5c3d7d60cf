import { match, P } from 'ts-pattern';
import type { StandinInstance } from './instance.js';
import type { Query } from './query.js';

/** The column values of a row in text format. */
export type Row = readonly (string | null)[];

/** The instance and the state of the reading connection. */
export interface ReadContext {
  readonly instance: StandinInstance;
  findValue(key: string): string | undefined;
  findVariable(name: string): string;
  countAddedRows(): number;
}

/** Lists the rows that a query returns; applies fence, promote and follow. */
export function listResultRows(query: Query, context: ReadContext): readonly Row[] {
  const { instance } = context;
  const { storage: store } = instance;
  return match(query)
    .with({ kind: 'find' }, ({ key }) => {
      const value = context.findValue(key);
      return value === undefined ? [] : [[value]];
    })
    .with({ kind: 'list' }, () => store.listRows('items'))
    .with({ kind: 'count' }, () => [
      [String(store.listRows('items').length + context.countAddedRows())],
    ])
    .with({ kind: P.union('constant', 'call') }, ({ value }) => [[value]])
    .with({ kind: 'show' }, ({ name }) => [[context.findVariable(name)]])
    .with({ kind: 'status' }, () => {
      const durable = store.readDurable();
      const applied = store.readApplied();
      return [
        [
          instance.incarnation,
          instance.role,
          ...[instance.fenceTerm, durable.term, durable.offset, applied.term, applied.offset].map(
            String,
          ),
          instance.following,
          String(instance.countConnections()),
          String(instance.slots.countRunning()),
        ],
      ];
    })
    .with({ kind: 'fence' }, ({ term }) => {
      const granted = instance.fence(term);
      const durable = store.readDurable();
      const { incarnation } = instance;
      return [[incarnation, granted ? 't' : 'f', String(durable.term), String(durable.offset)]];
    })
    .with({ kind: 'promote' }, ({ term, incarnation }) => [
      [instance.promote(term, incarnation) ? 't' : 'f'],
    ])
    .with({ kind: 'follow' }, ({ term, primary }) => [[instance.follow(term, primary) ? 't' : 'f']])
    .with({ kind: P.any }, () => [])
    .exhaustive();
}
