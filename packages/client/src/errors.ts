/** Exit codes of the command line; documented in docs/operators.md. */
export const EXIT_CODES = {
  internal: 1,
  usage: 2,
  invalidNote: 3,
  outdated: 4,
  platform: 5,
  daemon: 6,
  notInForce: 7,
  invalidConfiguration: 8,
} as const;

/** The failure of a command; `code` names the reason in JSON output. */
export class CommandError extends Error {
  readonly exitCode: number;

  readonly oclif: { readonly exit: number };

  constructor(
    readonly code: keyof typeof EXIT_CODES,
    message: string,
    readonly details: unknown = undefined,
  ) {
    super(message);
    this.exitCode = EXIT_CODES[code];
    this.oclif = { exit: this.exitCode };
  }
}
