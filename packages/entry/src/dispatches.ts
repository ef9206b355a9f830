/**
 * One dispatch of a request to an upstream over undici, with a verdict on failure.
 */
import {type ServerResponse} from 'node:http';
import {type Readable} from 'node:stream';
import {VerdictError, readErrorMessage} from '@tamarackwind/core';
import {type Dispatcher} from 'undici';
import {selectEndToEndHeaders} from './headers.js';

export type DispatchOptions = {
	readonly upstream: Dispatcher;
	readonly method: string;
	readonly path: string;
	readonly headers: Record<string, string | string[]>;
	readonly body: Readable | Uint8Array | undefined;
	/** Aborts the dispatch at the request's deadline or when the caller has gone. */
	readonly signal: AbortSignal;
	readonly response: ServerResponse;
};

/**
 * Sends a request to an upstream and streams the answer to the caller.
 *
 * @throws {VerdictError} `not-run` when no byte was sent, `may-have-run` after that.
 */
export async function dispatchRequest(options: DispatchOptions): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		options.upstream.dispatch(
			{
				method: options.method,
				path: options.path,
				headers: options.headers,
				body: options.body ?? null,
			},
			new AnswerHandler(options, resolve, reject),
		);
	});
}

class AnswerHandler implements Dispatcher.DispatchHandler {
	#isSent = false;
	readonly #options: DispatchOptions;
	readonly #resolve: () => void;
	readonly #reject: (error: VerdictError) => void;

	constructor(options: DispatchOptions, resolve: () => void, reject: (error: VerdictError) => void) {
		this.#options = options;
		this.#resolve = resolve;
		this.#reject = reject;
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#isSent = true;
		const {signal} = this.#options;
		const abort = (): void => {
			controller.abort(signal.reason as Error);
		};

		if (signal.aborted) {
			abort();
		} else {
			signal.addEventListener('abort', abort, {once: true});
		}
	}

	onResponseStart(controller: Dispatcher.DispatchController, statusCode: number, headers: Record<string, string | string[]>): void {
		const {response} = this.#options;
		if (statusCode < 200) {
			return;
		}

		response.on('drain', () => {
			controller.resume();
		});
		response.writeHead(statusCode, selectEndToEndHeaders(headers));
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (!this.#options.response.write(chunk)) {
			controller.pause();
		}
	}

	onResponseEnd(): void {
		this.#options.response.end();
		this.#resolve();
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		const {response, signal} = this.#options;
		if (response.headersSent) {
			response.destroy();
		}

		this.#reject(new VerdictError(`upstream failed: ${readErrorMessage(error)}`, {
			verdict: this.#isSent ? 'may-have-run' : 'not-run',
			code: signal.aborted ? 'deadline_exceeded' : 'upstream_failed',
			cause: error,
		}));
	}
}
