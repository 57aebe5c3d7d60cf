/** SQLSTATEs that the proxy raises or recognises, with one meaning each; see docs/errors.md. */
export const SQLSTATE = {
  /** The request did not run. */
  notRun: 'SP001',
  /** The request was sent and its outcome is unknown (transaction_resolution_unknown). */
  outcomeUnknown: '08007',
  /** The response broke off after the request was sent; what ran has no effect. */
  responseInterrupted: 'SP003',
  /** A request with this idempotency key has already run. */
  alreadyRan: 'SP004',
  /** The transaction failed earlier; statements are refused until it is rolled back. */
  failedTransaction: '25P02',
  /** The daemon does not support the request; it did not run. */
  notSupported: '0A000',
  /** The caller cancelled the request before it was sent; it did not run. */
  cancelled: '57014',
  /** The name of the prepared statement is taken; the request did not run. */
  duplicateStatement: '42P05',
  /** The caller sent more messages before Sync than the proxy accepts. */
  programLimit: '54000',
  /** The caller violated the protocol. */
  protocolViolation: '08P01',
  invalidPassword: '28P01',
  unknownDatabase: '3D000',
  shuttingDown: '57P01',
  tooManyCallers: '53300',
  /** From an instance: a write reached a read-only instance and did not run. */
  readOnly: '25006',
  /** From an instance: a unique constraint refused a row. */
  uniqueViolation: '23505',
} as const;
