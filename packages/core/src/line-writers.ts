/**
 * Lines of a log to a file descriptor, which never block the process: a reader that is slow or stuck costs lines, not requests.
 */
import {write} from 'node:fs';
import {promisify} from 'node:util';

const writeFile = promisify(write);

/** Text that may wait for a slow reader, in characters. */
const maxPending = 512 * 1024;
/** Pause in which lines gather into one write, in milliseconds. */
const gatherMs = 40;

/**
 * Writes lines in the background.
 *
 * @example
 * const writer = LineWriter.create(1);
 * const log = Log.create({format: 'json', write: line => writer.writeLine(line)});
 */
export class LineWriter {
	static create(descriptor: number): LineWriter {
		return new LineWriter(descriptor);
	}

	#pending: string[] = [];
	#length = 0;
	#dropped = 0;
	#running: Promise<void> | undefined;

	private constructor(private readonly descriptor: number) {}

	/** Lines that were dropped because the reader was too slow, or gone. */
	get dropped(): number {
		return this.#dropped;
	}

	/** Hands over a line with its line end. */
	writeLine(line: string): void {
		if (this.#length + line.length > maxPending) {
			this.#dropped++;
			return;
		}

		this.#pending.push(line);
		this.#length += line.length;
		this.#running ??= this.#run();
	}

	/** Resolves once what was handed over is written, or after `ms` milliseconds. */
	async flush(ms: number): Promise<void> {
		await Promise.race([this.#running, new Promise(resolve => {
			setTimeout(resolve, ms);
		})]);
	}

	async #run(): Promise<void> {
		while (this.#pending.length > 0) {
			await new Promise(resolve => {
				setTimeout(resolve, gatherMs);
			});
			const lines = this.#pending;
			this.#pending = [];
			let bytes = Buffer.from(lines.join(''), 'utf8');
			try {
				while (bytes.length > 0) {
					const {bytesWritten} = await writeFile(this.descriptor, bytes);
					bytes = bytes.subarray(bytesWritten);
				}
			} catch {
				// There is nowhere left to tell of it but the counter.
				this.#dropped += lines.length;
			}

			this.#length = this.#pending.reduce((sum, line) => sum + line.length, 0);
		}

		this.#running = undefined;
	}
}
