/**
 * Structured logs by consola, plain or JSON. Counters come first: a line is written only for a change of state.
 */
import process from 'node:process';
import {createConsola, type ConsolaInstance, type LogObject} from 'consola';

export type LogOptions = {
	/** `json` writes one object per line. */
	readonly format: 'plain' | 'json';
	/** Fields that every line carries. */
	readonly fields?: Readonly<Record<string, string>>;
	/** Where lines go; standard error by default. */
	readonly write?: (line: string) => void;
};

/** Fields of one log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/**
 * Writes changes of state.
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
				log(entry) {
					write(`${format(entry, options.fields ?? {})}\n`);
				},
			}],
		});
		return new Log(consola);
	}

	/** A log that writes nothing. */
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

function readParts(entry: LogObject): {message: string; fields: LogFields} {
	const [message, fields] = entry.args as [string, LogFields | undefined];
	return {message, fields: fields ?? {}};
}

function formatJson(entry: LogObject, base: LogFields): string {
	const {message, fields} = readParts(entry);
	return JSON.stringify({
		time: entry.date.toISOString(), level: entry.type, message, ...base, ...fields,
	});
}

function formatPlain(entry: LogObject, base: LogFields): string {
	const {message, fields} = readParts(entry);
	const pairs = Object.entries({...base, ...fields}).map(([key, value]) => `${key}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
	return [entry.date.toISOString(), entry.type, message, ...pairs].join(' ');
}
