/**
 * Structured logs, as plain text or JSON. Lines are written only for changes of state; other events are counted in metrics.
 */
import process from 'node:process';
import {createConsola, type ConsolaInstance, type LogObject} from 'consola';

export type LogOptions = {
	/** `json` writes one object per line. */
	readonly format: 'plain' | 'json';
	/** Fields added to every line. */
	readonly fields?: Readonly<Record<string, string>>;
	/** Receives each line; writes to standard error by default. */
	readonly write?: (line: string) => void;
};

/** Fields of one log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/**
 * Logs changes of state.
 *
 * @example
 * const log = Log.create({format: 'json', fields: {entry: 'entry-1'}});
 * log.info('settings in force', {version: 7});
 */
export class Log {
	static create(options: LogOptions): Log {
		const write = options.write ?? (line => process.stderr.write(line));
		const format = options.format === 'json' ? formatJson : formatPlain;
		const consola = createConsola({
			level: 3,
			reporters: [{
				log(record) {
					write(`${format(record, options.fields ?? {})}\n`);
				},
			}],
		});
		return new Log(consola);
	}

	/** Creates a log that writes nothing. */
	static createSilent(): Log {
		return new Log(createConsola({level: -999, reporters: []}));
	}

	readonly #consola: ConsolaInstance;

	private constructor(consola: ConsolaInstance) {
		this.#consola = consola;
	}

	info(message: string, fields: LogFields = {}): void {
		this.#consola.info(message, fields);
	}

	warn(message: string, fields: LogFields = {}): void {
		this.#consola.warn(message, fields);
	}

	error(message: string, fields: LogFields = {}): void {
		this.#consola.error(message, fields);
	}
}

function readParts(record: LogObject): {message: string; fields: LogFields} {
	const [message, fields] = record.args as [string, LogFields | undefined];
	return {message, fields: fields ?? {}};
}

function formatJson(record: LogObject, commonFields: LogFields): string {
	const {message, fields} = readParts(record);
	return JSON.stringify({
		time: record.date.toISOString(), level: record.type, message, ...commonFields, ...fields,
	});
}

function formatPlain(record: LogObject, commonFields: LogFields): string {
	const {message, fields} = readParts(record);
	const pairs = Object.entries({...commonFields, ...fields}).map(([key, value]) => `${key}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
	return [record.date.toISOString(), record.type, message, ...pairs].join(' ');
}
