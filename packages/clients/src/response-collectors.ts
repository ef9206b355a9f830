/**
 * Collects the response to one request, with a limit on the time without progress and the knowledge whether it was sent.
 */
import {type Clock} from '@tamarackwind/core';
import {type Dispatcher} from 'undici';

export type CollectedResponse = {
	readonly status: number;
	readonly body: Uint8Array;
	/** Time until the head of the response, in milliseconds. */
	readonly headMs: number;
};

export type ResponseCollectorOptions = {
	/** Maximum time until the head of the response, in milliseconds. */
	readonly timeoutMs: number;
	/** Ends the request early. */
	readonly signal?: AbortSignal;
	/** Called with the size of the body, in bytes, before it arrives; without a known size, with what has arrived so far, at each chunk. */
	readonly onResponseSize?: (bytes: number) => void;
};

/** Time without a byte after which a response that has begun counts as stalled, in milliseconds. */
const stallTimeoutMs = 700;
/** Maximum time of a request whose response arrives steadily, in milliseconds; a longer timeout goes before it. */
const maxRequestMs = 30_000;

/**
 * Handler of one request. The request ends at its timeout, or once its response stalls if that is later: the time that a response takes depends
 * on its size and on the link. It holds a single timer, cleared with the response: a timer that stays behind would wake the process once for
 * each completed request.
 */
export class ResponseCollector implements Dispatcher.DispatchHandler {
	/** Creates a handler; the timeout starts now. */
	static create(clock: Clock, options: ResponseCollectorOptions): ResponseCollector {
		return new ResponseCollector(clock, options);
	}

	/** Resolves to the response; rejects when it fails or does not arrive in time. */
	readonly response: Promise<CollectedResponse>;
	readonly #clock: Clock;
	readonly #options: ResponseCollectorOptions;
	readonly #startedAt: number;
	/** Time of the last byte, on the monotonic clock. */
	#receivedAt = Number.NEGATIVE_INFINITY;
	#headMs = 0;
	#cancelTimer = (): void => {};
	readonly #abort = (): void => {
		this.#end('request was aborted');
	};

	readonly #chunks: Uint8Array[] = [];
	#resolve!: (response: CollectedResponse) => void;
	#reject!: (error: Error) => void;
	#controller: Dispatcher.DispatchController | undefined;
	#endError: Error | undefined;
	#status = 0;
	#hasBegun = false;
	/** Number of bytes of the body, if the head of the response states it, and how many of them have arrived. */
	#expectedBytes: number | undefined;
	#receivedBytes = 0;

	private constructor(clock: Clock, options: ResponseCollectorOptions) {
		this.response = new Promise((resolve, reject) => {
			this.#resolve = resolve;
			this.#reject = reject;
		});
		this.#clock = clock;
		this.#options = options;
		this.#startedAt = clock.readMonotonic();
		this.#startTimer(options.timeoutMs);
		options.signal?.addEventListener('abort', this.#abort, {once: true});
		if (options.signal?.aborted) {
			this.#abort();
		}
	}

	/** Whether the bytes of the request may have left this process. */
	get isSent(): boolean {
		return this.#controller !== undefined;
	}

	/** Ends the time limits. */
	close(): void {
		this.#cancelTimer();
		this.#options.signal?.removeEventListener('abort', this.#abort);
	}

	/** Called immediately before the request is written to a connection; one that has ended by then is not written. */
	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.#endError === undefined) {
			this.#controller = controller;
		} else {
			controller.abort(this.#endError);
		}
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void {
		this.#status = status;
		this.#headMs = this.#elapsedMs;
		this.#receivedAt = this.#clock.readMonotonic();
		this.#hasBegun = true;
		this.#expectedBytes = headers['content-length'] === undefined ? undefined : Number(headers['content-length']);
		if (this.#expectedBytes !== undefined) {
			this.#options.onResponseSize?.(this.#expectedBytes);
		}
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		this.#receivedAt = this.#clock.readMonotonic();
		this.#receivedBytes += chunk.length;
		if (this.#expectedBytes === undefined) {
			this.#options.onResponseSize?.(this.#receivedBytes);
		}

		this.#chunks.push(chunk);
	}

	onResponseEnd(): void {
		this.#resolve({status: this.#status, body: this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks), headMs: this.#headMs});
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		this.#reject(error);
	}

	get #elapsedMs(): number {
		return this.#clock.readMonotonic() - this.#startedAt;
	}

	#startTimer(ms: number): void {
		this.#cancelTimer = this.#clock.startTimer(ms, () => {
			this.#checkProgress();
		});
	}

	#checkProgress(): void {
		const deadline = this.#startedAt + Math.max(this.#options.timeoutMs, Math.min(maxRequestMs, this.#receivedAt + stallTimeoutMs - this.#startedAt));
		const remainingMs = deadline - this.#clock.readMonotonic();
		if (remainingMs > 0) {
			this.#startTimer(remainingMs);
		} else {
			this.#end(this.#hasBegun
				? `response is incomplete after ${Math.round(this.#elapsedMs)} ms: ${this.#receivedBytes} of ${this.#expectedBytes ?? 'an unknown number of'} bytes received`
				: `no response within ${this.#options.timeoutMs} ms`);
		}
	}

	#end(message: string): void {
		this.#endError = new Error(message);
		this.#controller?.abort(this.#endError);
		// A request that is still queued for a connection has no controller yet.
		this.#reject(this.#endError);
	}
}
