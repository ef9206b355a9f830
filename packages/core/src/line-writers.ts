/**
 * Writes log lines to a file descriptor without blocking the process: a slow or blocked reader causes dropped lines, not
 * delayed requests.
 */
import {write} from 'node:fs';
import {promisify} from 'node:util';

const writeToDescriptor = promisify(write);

/** Longest text that is buffered for a slow reader, in characters. */
const maxPendingCharacters = 512 * 1024;
/** Delay before a write in which lines are batched, in milliseconds. */
const batchDelayMs = 40;

/**
 * Buffers lines and writes them in the background.
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
	#pendingCharacters = 0;
	#droppedLines = 0;
	#running: Promise<void> | undefined;

	private constructor(private readonly descriptor: number) {}

	/** Number of lines dropped because the reader was too slow or a write failed. */
	get droppedLines(): number {
		return this.#droppedLines;
	}

	/** Queues a line, including its line terminator. */
	writeLine(line: string): void {
		if (this.#pendingCharacters + line.length > maxPendingCharacters) {
			this.#droppedLines++;
			return;
		}

		this.#pending.push(line);
		this.#pendingCharacters += line.length;
		this.#running ??= this.#writePending();
	}

	/** Resolves once the queued lines are written, or after `timeoutMs` milliseconds. */
	async flush(timeoutMs: number): Promise<void> {
		await Promise.race([this.#running, new Promise(resolve => {
			setTimeout(resolve, timeoutMs);
		})]);
	}

	async #writePending(): Promise<void> {
		while (this.#pending.length > 0) {
			await new Promise(resolve => {
				setTimeout(resolve, batchDelayMs);
			});
			const lines = this.#pending;
			this.#pending = [];
			let bytes = Buffer.from(lines.join(''), 'utf8');
			try {
				while (bytes.length > 0) {
					const {bytesWritten} = await writeToDescriptor(this.descriptor, bytes);
					bytes = bytes.subarray(bytesWritten);
				}
			} catch {
				// The log can't report its own failure; only the counter can.
				this.#droppedLines += lines.length;
			}

			this.#pendingCharacters = this.#pending.reduce((sum, line) => sum + line.length, 0);
		}

		this.#running = undefined;
	}
}
