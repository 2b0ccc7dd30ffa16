/**
 * Writes logs as JSON lines.
 *
 * @module
 */
import process from 'node:process';
import loglevel from 'loglevel';

/** Level below which lines are dropped. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'silent';

/** Fields of a log line; they must never contain a key or a prompt. */
export type LogFields = Record<string, unknown>;

/** Logger of one component. */
export type Logger = {
	debug(message: string, fields?: LogFields): void;
	info(message: string, fields?: LogFields): void;
	warn(message: string, fields?: LogFields): void;
	error(message: string, fields?: LogFields): void;
};

/** Options of {@linkcode createLogger}. */
export type CreateLoggerOptions = {
	/** Level below which lines are dropped. Default `info`. */
	level?: LogLevel;
	/** Fields of every line, for example the host's name. Default none. */
	fields?: LogFields;
	/** Writes a line. Default writes to standard error. */
	write?: (line: string) => void;
};

/**
 * Creates a logger that writes one JSON object per line.
 *
 * @param name Name of the component, written as the field `part` of each line.
 * @param options Level, common fields and destination.
 * @example
 * ```ts
 * const logger = createLogger('router', {level: 'info'});
 * logger.info('listening', {port: 8080});
 * ```
 */
export function createLogger(name: string, options: CreateLoggerOptions = {}): Logger {
	const write = options.write ?? (line => process.stderr.write(line + '\n'));
	const logger = loglevel.getLogger(Symbol(name));
	logger.methodFactory = level => (message: string, fields?: LogFields) => {
		write(JSON.stringify({
			time: new Date().toISOString(), level, part: name, message, ...options.fields, ...fields,
		}));
	};

	logger.setLevel(options.level ?? 'info', false);
	return logger;
}
