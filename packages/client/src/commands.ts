import { Apply } from './commands/apply.js';
import { Check } from './commands/check.js';
import { Diff } from './commands/diff.js';
import { Drain } from './commands/drain.js';
import { Explain } from './commands/explain.js';
import { History } from './commands/history.js';
import { Show } from './commands/show.js';
import { Status } from './commands/status.js';
import { Validate } from './commands/validate.js';

/** The commands by name, as oclif loads them. */
export const COMMANDS = {
  apply: Apply,
  check: Check,
  diff: Diff,
  drain: Drain,
  explain: Explain,
  history: History,
  show: Show,
  status: Status,
  validate: Validate,
};
