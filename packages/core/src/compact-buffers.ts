/**
 * Buffers that copy what is appended to them, so that they cost about as much memory as their content.
 */
const minCapacity = 1024;
const decoder = new TextDecoder();

/**
 * Collects bytes that arrive in pieces. A piece that is kept as it arrived would keep the whole buffer of the read that brought it, and an
 * object of its own, whatever its size.
 *
 * @example
 * const buffer = CompactBuffer.create();
 * buffer.append(chunk);
 * buffer.toText();
 */
export class CompactBuffer {
	/** Creates an empty buffer; `expectedBytes` is the length of the content if it is known. */
	static create(expectedBytes?: number): CompactBuffer {
		return new CompactBuffer(expectedBytes);
	}

	#bytes: Uint8Array = new Uint8Array();
	#length = 0;

	private constructor(private readonly expectedBytes: number | undefined) {}

	/** Number of bytes of content. */
	get length(): number {
		return this.#length;
	}

	/** Number of bytes of memory, at most twice the length or the smallest capacity. */
	get capacity(): number {
		return this.#bytes.length;
	}

	/** Copies bytes to the end. */
	append(chunk: Uint8Array): void {
		const length = this.#length + chunk.length;
		if (length > this.#bytes.length) {
			this.#reserve(length);
		}

		this.#bytes.set(chunk, this.#length);
		this.#length = length;
	}

	/** Returns the content; it shares the memory of this buffer. */
	toBytes(): Uint8Array {
		return this.#bytes.subarray(0, this.#length);
	}

	/** Decodes the content as UTF-8. */
	toText(): string {
		return decoder.decode(this.toBytes());
	}

	/** Releases the memory. */
	clear(): void {
		this.#bytes = new Uint8Array();
		this.#length = 0;
	}

	#reserve(length: number): void {
		const doubled = Math.max(length, minCapacity, this.#bytes.length * 2);
		// The expected length is a claim of the sender; memory is taken only for what has arrived.
		const capacity = this.expectedBytes === undefined || this.expectedBytes < length ? doubled : Math.min(doubled, this.expectedBytes);
		const bytes = Buffer.allocUnsafeSlow(capacity);
		bytes.set(this.toBytes());
		this.#bytes = bytes;
	}
}
