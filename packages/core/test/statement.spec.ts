import { expect } from 'earl';
import { classifyStatements } from '../src/index.js';

describe('classifyStatements', () => {
  // Guards against a write routed as a read, which would skip the wait for a majority.
  it('tells reads from writes and reads the hints of the leading comment', function () {
    const sources = [
      'SELECT value FROM items',
      '/* shallotpick contract=availability */ select 1;',
      '/* shallotpick once=pay-17 */ INSERT INTO items VALUES (1)',
      'SELECT * FROM items FOR UPDATE',
      'SELECT * INTO copy_of_items FROM items',
      '-- remark\nBEGIN',
      'START TRANSACTION READ ONLY',
      'ROLLBACK TO SAVEPOINT one',
      'ROLLBACK',
      'LISTEN changes',
      'SELECT pg_advisory_lock(1)',
      'COPY items FROM STDIN',
      'WITH gone AS (DELETE FROM items RETURNING 1) SELECT * FROM gone',
      '  ',
      'SELECT 1; DELETE FROM items',
      "SELECT 'a;b', $x$;$x$ /* ; /* ; */ */ FROM items; -- end;\n",
      'SELECT count(*), lower(name) FROM items WHERE id IN (1, 2)',
      'SELECT book_seat(7)',
      "SELECT 'for update' FROM items FOR /* now */ UPDATE",
      "SELECT set_config('search_path', 'other', false)",
      'COMMIT PREPARED one',
    ];
    expect(sources.flatMap(classifyStatements)).toMatchSnapshot(this);
  });
});
