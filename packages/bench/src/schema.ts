import { formatNoteSchema } from '@shallotpick/core';

process.stdout.write(formatNoteSchema());
