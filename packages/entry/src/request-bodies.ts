/**
 * Request bodies: small bodies are buffered, so that an attempt that did not run can be retried; larger bodies are streamed.
 */
import {createHash, hash, type Hash} from 'node:crypto';
import {type IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import {VerdictError, type Verdict} from '@tamarackwind/core';

/** Largest body that is buffered in memory, in bytes. */
export const maxBufferedBytes = 64 * 1024;

/** The body of one request. */
export class RequestBody {
	/**
	 * Reads a body up to the buffer limit.
	 *
	 * @throws {VerdictError} `not-run`, with code `body_too_large` or `caller_gone`.
	 */
	static async create(incoming: IncomingMessage, maxBytes: number): Promise<RequestBody> {
		const length = incoming.headers['content-length'];
		if (length === undefined && incoming.headers['transfer-encoding'] === undefined) {
			return new RequestBody(undefined, Buffer.alloc(0), undefined, maxBytes);
		}

		if (Number(length ?? 0) > maxBytes) {
			throw createTooLargeError(maxBytes, 'not-run');
		}

		const source: AsyncIterator<Uint8Array> = incoming.iterator({destroyOnReturn: false}) as AsyncIterator<Uint8Array>;
		const {bytes, isComplete} = await readPrefix(source, maxBytes);
		return new RequestBody(length, bytes, isComplete ? undefined : source, maxBytes);
	}

	/** Value of the `content-length` header; `undefined` for a chunked body. */
	readonly contentLength: string | undefined;
	readonly #prefix: Uint8Array;
	readonly #rest: AsyncIterator<Uint8Array> | undefined;
	readonly #maxBytes: number;
	readonly #hash: Hash | undefined;
	#isConsumed = false;
	#hasEnded: boolean;
	#error: VerdictError | undefined;

	private constructor(contentLength: string | undefined, prefix: Uint8Array, rest: AsyncIterator<Uint8Array> | undefined, maxBytes: number) {
		this.contentLength = contentLength;
		this.#prefix = prefix;
		this.#rest = rest;
		this.#maxBytes = maxBytes;
		this.#hasEnded = rest === undefined;
		this.#hash = rest === undefined ? undefined : createHash('sha256').update(prefix);
	}

	/** Whether the body can still be sent from the start. */
	get isReplayable(): boolean {
		return !this.#isConsumed;
	}

	/** Whether the whole body is in memory. */
	get isBuffered(): boolean {
		return this.#rest === undefined;
	}

	/** Error that ended the stream of the body, if any. */
	get error(): VerdictError | undefined {
		return this.#error;
	}

	/** Returns the SHA-256 hash of the body in hexadecimal digits, or `undefined` until the whole body is read. */
	readHash(): string | undefined {
		if (this.#hash === undefined) {
			return hash('sha256', this.#prefix, 'hex');
		}

		return this.#hasEnded ? this.#hash.copy().digest('hex') : undefined;
	}

	/** Returns the body to send, or `undefined` if there is none. */
	openBody(): Uint8Array | Readable | undefined {
		if (this.#rest !== undefined) {
			return Readable.from(this.#streamChunks(this.#rest), {objectMode: false, highWaterMark: maxBufferedBytes});
		}

		return this.#prefix.length === 0 && this.contentLength === undefined ? undefined : this.#prefix;
	}

	/** Reads and discards the rest of the body. */
	async drainRest(): Promise<void> {
		if (this.#rest !== undefined) {
			const chunks = this.#streamChunks(this.#rest);
			while ((await chunks.next()).done !== true) {
				// Each read updates the hash.
			}
		}
	}

	async * #streamChunks(rest: AsyncIterator<Uint8Array>): AsyncGenerator<Uint8Array> {
		yield this.#prefix;
		this.#isConsumed = true;
		let total = this.#prefix.length;
		for (;;) {
			const {value, done} = await this.#readNext(rest);
			if (done) {
				this.#hasEnded = true;
				return;
			}

			total += value.length;
			if (total > this.#maxBytes) {
				this.#error = createTooLargeError(this.#maxBytes, 'may-have-run');
				throw this.#error;
			}

			this.#hash?.update(value);
			yield value;
		}
	}

	async #readNext(rest: AsyncIterator<Uint8Array>): Promise<IteratorResult<Uint8Array, undefined>> {
		try {
			return await rest.next();
		} catch {
			this.#error = new VerdictError('the caller hung up within the body', {verdict: 'may-have-run', code: 'caller_gone'});
			throw this.#error;
		}
	}
}

async function readPrefix(source: AsyncIterator<Uint8Array>, maxBytes: number): Promise<{bytes: Uint8Array; isComplete: boolean}> {
	const chunks: Uint8Array[] = [];
	let total = 0;
	while (total <= maxBufferedBytes) {
		const {value, done} = await readPrefixChunk(source);
		if (done) {
			return {bytes: Buffer.concat(chunks), isComplete: true};
		}

		total += value.length;
		if (total > maxBytes) {
			throw createTooLargeError(maxBytes, 'not-run');
		}

		chunks.push(value);
	}

	return {bytes: Buffer.concat(chunks), isComplete: false};
}

async function readPrefixChunk(source: AsyncIterator<Uint8Array>): Promise<IteratorResult<Uint8Array, undefined>> {
	try {
		return await source.next();
	} catch {
		throw new VerdictError('the caller hung up within the body', {verdict: 'not-run', code: 'caller_gone'});
	}
}

function createTooLargeError(maxBytes: number, verdict: Verdict): VerdictError {
	return new VerdictError(`the body is larger than ${maxBytes} bytes`, {verdict, code: 'body_too_large'});
}
