/**
 * Answers on their way to the caller, with a copy kept where the answer may have to be given again.
 */
import {type ServerResponse} from 'node:http';
import {type HeaderFields} from './headers.js';

/** A whole answer that can be given again. */
export type StoredAnswer = {
	readonly status: number;
	readonly headers: HeaderFields;
	readonly body: Uint8Array;
};

export type AnswerWriterOptions = {
	readonly response: ServerResponse;
	/** Largest body of which a copy is kept, in bytes; 0 keeps none. */
	readonly maxKeptBytes: number;
	/** Tells whether the caller's connection is to end after this answer. */
	readonly isClosing: () => boolean;
};

/** Writes one answer to the caller. */
export class AnswerWriter {
	static create(options: AnswerWriterOptions): AnswerWriter {
		return new AnswerWriter(options);
	}

	readonly #options: AnswerWriterOptions;
	#status = 0;
	#headers: HeaderFields = {};
	#chunks: Uint8Array[] = [];
	#keptBytes = 0;
	#hasBody = false;

	private constructor(options: AnswerWriterOptions) {
		this.#options = options;
	}

	/** Status of the answer; 0 until its head was written. */
	get status(): number {
		return this.#status;
	}

	/** Whether the caller can still receive bytes. */
	get hasCaller(): boolean {
		return !this.#options.response.destroyed;
	}

	/** The copy of the answer, unless it was too large. */
	get stored(): StoredAnswer | undefined {
		return this.#keptBytes > this.#options.maxKeptBytes
			? undefined
			: {status: this.#status, headers: this.#headers, body: Buffer.concat(this.#chunks)};
	}

	writeHead(status: number, headers: HeaderFields): void {
		this.#status = status;
		this.#headers = headers;
		if (this.hasCaller) {
			this.#options.response.writeHead(status, this.#options.isClosing() ? {...headers, connection: 'close'} : headers);
			setImmediate(() => {
				this.#flushHead();
			});
		}
	}

	/** Writes a part of the body; `false` asks to wait for `waitForDrain`. */
	write(chunk: Uint8Array): boolean {
		this.#hasBody = true;
		this.#copy(chunk);
		return this.hasCaller ? this.#options.response.write(chunk) : true;
	}

	/** Calls `listener` once when more can be written, also when the caller has hung up. */
	onDrain(listener: () => void): void {
		const {response} = this.#options;
		const resume = (): void => {
			response.off('drain', resume);
			response.off('close', resume);
			listener();
		};

		response.once('drain', resume);
		response.once('close', resume);
	}

	/** Ends the whole answer. */
	finish(): void {
		this.#hasBody = true;
		if (this.hasCaller) {
			this.#options.response.end();
		}
	}

	/** Cuts the caller's connection, so that the answer can't be taken for a whole one. */
	abort(): void {
		this.#options.response.destroy();
	}

	/** Sends the head alone when the body takes its time. */
	#flushHead(): void {
		if (this.hasCaller && !this.#hasBody) {
			this.#options.response.flushHeaders();
		}
	}

	#copy(chunk: Uint8Array): void {
		const {maxKeptBytes} = this.#options;
		if (maxKeptBytes === 0) {
			return;
		}

		this.#keptBytes += chunk.length;
		if (this.#keptBytes > maxKeptBytes) {
			this.#chunks = [];
		} else {
			this.#chunks.push(chunk);
		}
	}
}
