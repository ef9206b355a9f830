/**
 * Collects the response to one request, with a limit on the whole request and the knowledge whether it was sent.
 */
import {type Clock} from '@tamarackwind/core';
import {type Dispatcher} from 'undici';

export type CollectedResponse = {readonly status: number; readonly body: Uint8Array};

/**
 * Handler of one request. It holds a single timer, cleared with the response: a timer that stays behind would wake the process once for each
 * completed request.
 */
export class ResponseCollector implements Dispatcher.DispatchHandler {
	/** Creates a handler; the time limit starts now. */
	static create(clock: Clock, timeoutMs: number): ResponseCollector {
		return new ResponseCollector(clock, timeoutMs);
	}

	/** Resolves to the response; rejects when it fails or does not arrive in time. */
	readonly response: Promise<CollectedResponse>;
	readonly #cancelTimer: () => void;
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
		this.#cancelTimer = clock.startTimer(timeoutMs, () => {
			this.#handleTimeout(timeoutMs);
		});
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
		this.#expectedBytes = Number(headers['content-length'] ?? Number.NaN);
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		this.#receivedBytes += chunk.length;
		this.#chunks.push(chunk);
	}

	onResponseEnd(): void {
		this.#resolve({status: this.#status, body: this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks)});
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		this.#reject(error);
	}

	#handleTimeout(timeoutMs: number): void {
		this.#timeoutError = new Error(this.#expectedBytes === undefined
			? `no response within ${timeoutMs} ms`
			: `response is incomplete after ${timeoutMs} ms: ${this.#receivedBytes} of ${this.#expectedBytes} bytes received`);
		this.#controller?.abort(this.#timeoutError);
		// A request that is still queued for a connection has no controller yet.
		this.#reject(this.#timeoutError);
	}
}
