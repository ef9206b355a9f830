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

/** Time without a byte after which a response that has begun counts as stalled, in milliseconds. */
const stallTimeoutMs = 700;
/** Maximum time of a request, however steadily its response arrives, in milliseconds. */
const maxRequestMs = 30_000;

/**
 * Handler of one request. The request ends at its timeout, or once its response stalls if that is later: the time that a response takes depends
 * on its size and on the link. It holds a single timer, cleared with the response: a timer that stays behind would wake the process once for
 * each completed request.
 */
export class ResponseCollector implements Dispatcher.DispatchHandler {
	/** Creates a handler; the timeout starts now. */
	static create(clock: Clock, timeoutMs: number): ResponseCollector {
		return new ResponseCollector(clock, timeoutMs);
	}

	/** Resolves to the response; rejects when it fails or does not arrive in time. */
	readonly response: Promise<CollectedResponse>;
	readonly #clock: Clock;
	readonly #timeoutMs: number;
	readonly #startedAt: number;
	/** Time of the last byte, on the monotonic clock. */
	#receivedAt = Number.NEGATIVE_INFINITY;
	#headMs = 0;
	#cancelTimer = (): void => {};
	readonly #chunks: Uint8Array[] = [];
	#resolve!: (response: CollectedResponse) => void;
	#reject!: (error: Error) => void;
	#controller: Dispatcher.DispatchController | undefined;
	#timeoutError: Error | undefined;
	#status = 0;
	/** Number of bytes of the body, and how many of them have arrived; `undefined` until the head of the response states it. */
	#expectedBytes: number | undefined;
	#receivedBytes = 0;

	private constructor(clock: Clock, timeoutMs: number) {
		this.response = new Promise((resolve, reject) => {
			this.#resolve = resolve;
			this.#reject = reject;
		});
		this.#clock = clock;
		this.#timeoutMs = timeoutMs;
		this.#startedAt = clock.readMonotonic();
		this.#startTimer(timeoutMs);
	}

	/** Whether the bytes of the request may have left this process. */
	get isSent(): boolean {
		return this.#controller !== undefined;
	}

	/** Ends the time limit. */
	close(): void {
		this.#cancelTimer();
	}

	/** Called immediately before the request is written to a connection; one that has timed out by then is not written. */
	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.#timeoutError === undefined) {
			this.#controller = controller;
		} else {
			controller.abort(this.#timeoutError);
		}
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void {
		this.#status = status;
		this.#headMs = this.#elapsedMs;
		this.#receivedAt = this.#clock.readMonotonic();
		this.#expectedBytes = Number(headers['content-length'] ?? Number.NaN);
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		this.#receivedAt = this.#clock.readMonotonic();
		this.#receivedBytes += chunk.length;
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
		const deadline = Math.min(this.#startedAt + maxRequestMs, Math.max(this.#startedAt + this.#timeoutMs, this.#receivedAt + stallTimeoutMs));
		const remainingMs = deadline - this.#clock.readMonotonic();
		if (remainingMs > 0) {
			this.#startTimer(remainingMs);
		} else {
			this.#end();
		}
	}

	#end(): void {
		this.#timeoutError = new Error(this.#expectedBytes === undefined
			? `no response within ${this.#timeoutMs} ms`
			: `response is incomplete after ${Math.round(this.#elapsedMs)} ms: ${this.#receivedBytes} of ${this.#expectedBytes} bytes received`);
		this.#controller?.abort(this.#timeoutError);
		// A request that is still queued for a connection has no controller yet.
		this.#reject(this.#timeoutError);
	}
}
