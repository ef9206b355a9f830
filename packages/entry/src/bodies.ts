/**
 * Bodies of requests: small ones are kept, so that an attempt that was not run can be repeated; larger ones stream.
 */
import {createHash, hash, type Hash} from 'node:crypto';
import {type IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import {VerdictError, type Verdict} from '@tamarackwind/core';

/** Largest body that is kept in memory, in bytes. */
export const maxBufferedBytes = 64 * 1024;

/** The body of one request. */
export class RequestBody {
	/**
	 * Reads the beginning of a body, up to the whole of it.
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
		const {bytes, isWhole} = await readBeginning(source, maxBytes);
		return new RequestBody(length, bytes, isWhole ? undefined : source, maxBytes);
	}

	/** Value of the `content-length` field; `undefined` for a chunked body. */
	readonly contentLength: string | undefined;
	readonly #beginning: Uint8Array;
	readonly #rest: AsyncIterator<Uint8Array> | undefined;
	readonly #maxBytes: number;
	readonly #hash: Hash | undefined;
	#isConsumed = false;
	#hasEnded: boolean;
	#error: VerdictError | undefined;

	private constructor(contentLength: string | undefined, beginning: Uint8Array, rest: AsyncIterator<Uint8Array> | undefined, maxBytes: number) {
		this.contentLength = contentLength;
		this.#beginning = beginning;
		this.#rest = rest;
		this.#maxBytes = maxBytes;
		this.#hasEnded = rest === undefined;
		this.#hash = rest === undefined ? undefined : createHash('sha256').update(beginning);
	}

	/** Whether the body can be sent from its beginning. */
	get isReplayable(): boolean {
		return !this.#isConsumed;
	}

	/** Whether all of the body is in memory. */
	get isBuffered(): boolean {
		return this.#rest === undefined;
	}

	/** Fault of the body itself that ended its stream, if any. */
	get error(): VerdictError | undefined {
		return this.#error;
	}

	/** SHA-256 of the whole body in hexadecimal digits, once all of it was read. */
	readHash(): string | undefined {
		if (this.#hash === undefined) {
			return hash('sha256', this.#beginning, 'hex');
		}

		return this.#hasEnded ? this.#hash.copy().digest('hex') : undefined;
	}

	/** Gives the body to send, or `undefined` when there is none. */
	openBody(): Uint8Array | Readable | undefined {
		if (this.#rest !== undefined) {
			return Readable.from(this.#streamChunks(this.#rest), {objectMode: false, highWaterMark: maxBufferedBytes});
		}

		return this.#beginning.length === 0 && this.contentLength === undefined ? undefined : this.#beginning;
	}

	/** Reads what is left of the body and drops it. */
	async drainRest(): Promise<void> {
		if (this.#rest !== undefined) {
			const chunks = this.#streamChunks(this.#rest);
			while ((await chunks.next()).done !== true) {
				// Reading is all that is wanted: it updates the hash.
			}
		}
	}

	async * #streamChunks(rest: AsyncIterator<Uint8Array>): AsyncGenerator<Uint8Array> {
		yield this.#beginning;
		this.#isConsumed = true;
		let total = this.#beginning.length;
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

async function readBeginning(source: AsyncIterator<Uint8Array>, maxBytes: number): Promise<{bytes: Uint8Array; isWhole: boolean}> {
	const chunks: Uint8Array[] = [];
	let total = 0;
	while (total <= maxBufferedBytes) {
		const {value, done} = await readFirst(source);
		if (done) {
			return {bytes: Buffer.concat(chunks), isWhole: true};
		}

		total += value.length;
		if (total > maxBytes) {
			throw createTooLargeError(maxBytes, 'not-run');
		}

		chunks.push(value);
	}

	return {bytes: Buffer.concat(chunks), isWhole: false};
}

async function readFirst(source: AsyncIterator<Uint8Array>): Promise<IteratorResult<Uint8Array, undefined>> {
	try {
		return await source.next();
	} catch {
		throw new VerdictError('the caller hung up within the body', {verdict: 'not-run', code: 'caller_gone'});
	}
}

function createTooLargeError(maxBytes: number, verdict: Verdict): VerdictError {
	return new VerdictError(`the body is larger than ${maxBytes} bytes`, {verdict, code: 'body_too_large'});
}
