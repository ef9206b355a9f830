/**
 * Writes responses to callers, and stores a copy of those that may have to be sent again.
 */
import {type ServerResponse} from 'node:http';
import {type HeaderFields} from './headers.js';

/** A complete response that can be sent again. */
export type StoredResponse = {
	readonly status: number;
	readonly headers: HeaderFields;
	readonly body: Uint8Array;
};

export type ResponseWriterOptions = {
	readonly response: ServerResponse;
	/** Largest body of which a copy is stored, in bytes; 0 stores none. */
	readonly maxStoredBytes: number;
	/** Reports whether to close the caller's connection after this response. */
	readonly isClosing: () => boolean;
};

/** Writes one response to the caller. */
export class ResponseWriter {
	static create(options: ResponseWriterOptions): ResponseWriter {
		return new ResponseWriter(options);
	}

	readonly #options: ResponseWriterOptions;
	#status = 0;
	#headers: HeaderFields = {};
	#chunks: Uint8Array[] = [];
	#storedBytes = 0;
	#hasBody = false;

	private constructor(options: ResponseWriterOptions) {
		this.#options = options;
	}

	/** Status of the response; 0 until the head is written. */
	get status(): number {
		return this.#status;
	}

	/** Whether the caller's connection is still open. */
	get isCallerConnected(): boolean {
		return !this.#options.response.destroyed;
	}

	/** Copy of the response, unless its body was too large. */
	get stored(): StoredResponse | undefined {
		return this.#storedBytes > this.#options.maxStoredBytes
			? undefined
			: {status: this.#status, headers: this.#headers, body: Buffer.concat(this.#chunks)};
	}

	writeHead(status: number, headers: HeaderFields): void {
		this.#status = status;
		this.#headers = headers;
		if (this.isCallerConnected) {
			this.#options.response.writeHead(status, this.#options.isClosing() ? {...headers, connection: 'close'} : headers);
			setImmediate(() => {
				this.#flushHead();
			});
		}
	}

	/** Writes a chunk of the body. Returns `false` if the writer should wait for `onDrain`. */
	write(chunk: Uint8Array): boolean {
		this.#hasBody = true;
		this.#storeChunk(chunk);
		return this.isCallerConnected ? this.#options.response.write(chunk) : true;
	}

	/** Calls `listener` once when more can be written or the caller disconnects. */
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

	/** Ends a complete response. */
	finish(): void {
		this.#hasBody = true;
		if (this.isCallerConnected) {
			this.#options.response.end();
		}
	}

	/** Closes the caller's connection, so that the response is not mistaken for a complete one. */
	abort(): void {
		this.#options.response.destroy();
	}

	/** Sends the head by itself if no body chunk follows immediately. */
	#flushHead(): void {
		if (this.isCallerConnected && !this.#hasBody) {
			this.#options.response.flushHeaders();
		}
	}

	#storeChunk(chunk: Uint8Array): void {
		const {maxStoredBytes} = this.#options;
		if (maxStoredBytes === 0) {
			return;
		}

		this.#storedBytes += chunk.length;
		if (this.#storedBytes > maxStoredBytes) {
			this.#chunks = [];
		} else {
			this.#chunks.push(chunk);
		}
	}
}
