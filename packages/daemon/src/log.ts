import { createLogger as createWinston, format, type Logger, transports } from 'winston';

export type Log = Logger;

/** Creates the daemon's logger: one JSON object a line on stderr. */
export function createLog(level: string, vm: string): Log {
  return createWinston({
    level,
    defaultMeta: { vm },
    format: format.combine(format.timestamp(), format.json()),
    transports: [new transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })],
  });
}
