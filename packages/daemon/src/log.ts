import { createLogger as createWinston, format, type Logger, transports } from 'winston';

/** The logger of the daemon. */
export type Log = Logger;

/** Creates the daemon's logger, which writes one JSON object per line to stderr. */
export function createLog(level: string, vm: string): Log {
  return createWinston({
    level,
    defaultMeta: { vm },
    format: format.combine(format.timestamp(), format.json()),
    transports: [new transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })],
  });
}
