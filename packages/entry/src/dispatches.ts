/**
 * Sends one request to an upstream over undici, and fails with a verdict that states whether it may have run.
 */
import {type Readable} from 'node:stream';
import {VerdictError, readErrorMessage, type Verdict} from '@tamarackwind/core';
import {type Dispatcher} from 'undici';
import {type ResponseWriter} from './response-writers.js';
import {headerNames, selectResponseHeaders, type HeaderFields} from './headers.js';
import {type UpstreamConnection} from './upstreams.js';

export type DispatchOptions = {
	readonly connection: UpstreamConnection;
	readonly method: string;
	readonly path: string;
	readonly headers: HeaderFields;
	readonly body: Readable | Uint8Array | undefined;
	readonly requestId: string;
	/** Whether a response without the request id is rejected. A response with a different id is always rejected. */
	readonly requestIdEcho: 'required' | 'optional';
	/** Timeout for the response head, in milliseconds. */
	readonly headTimeoutMs: number;
	/** Longest pause within the response body, in milliseconds. */
	readonly idleTimeoutMs: number;
	/** Aborts the dispatch, for example when the caller disconnects. */
	readonly signal: AbortSignal | undefined;
	/**
	 * Called right before the first byte is sent. If it returns an error, the dispatch fails with that error and sends
	 * nothing.
	 */
	readonly checkBeforeSend: () => VerdictError | undefined;
	/** Called with the header fields of the response, including the hop-by-hop fields. */
	readonly onResponseHead: (headers: HeaderFields) => void;
	readonly responseWriter: ResponseWriter;
};

/**
 * Sends a request to an upstream and streams the response to the caller. Resolves once the whole response is written.
 *
 * @throws {VerdictError} `not-run` if no byte was sent, else `may-have-run`. If the response fails after its head was
 * written, the connection to the caller is closed.
 */
export async function dispatchRequest(options: DispatchOptions): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		const dispatch = new Dispatch(options, resolve, reject);
		options.connection.client.dispatch({
			method: options.method,
			path: options.path,
			headers: options.headers,
			body: options.body ?? null,
		}, dispatch);
	});
}

const bodilessStatuses = new Set([204, 304]);

class Dispatch implements Dispatcher.DispatchHandler {
	readonly #options: DispatchOptions;
	readonly #resolve: () => void;
	readonly #reject: (error: VerdictError) => void;
	readonly #headTimer: NodeJS.Timeout;
	#controller: Dispatcher.DispatchController | undefined;
	#isSent = false;
	#isSettled = false;
	#isWaitingForCaller = false;
	#idleTimer: NodeJS.Timeout | undefined;
	#expectedBytes: number | undefined;
	#receivedBytes = 0;

	constructor(options: DispatchOptions, resolve: () => void, reject: (error: VerdictError) => void) {
		this.#options = options;
		this.#resolve = resolve;
		this.#reject = reject;
		this.#headTimer = setTimeout(() => {
			this.#abort('deadline_exceeded', 'no answer began before the deadline');
		}, options.headTimeoutMs);
		options.signal?.addEventListener('abort', this.#onAbort);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#isSettled) {
			controller.abort(new Error('the dispatch has ended'));
			return;
		}

		if (this.#isSent) {
			this.#abort('upstream_failed', 'the connection failed and the request would have been sent again');
			return;
		}

		const refusal = this.#options.checkBeforeSend();
		if (refusal !== undefined) {
			this.#endWithError(refusal);
			return;
		}

		this.#isSent = true;
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: HeaderFields): void {
		if (status < 200 || this.#isSettled) {
			return;
		}

		const reason = this.#findResponseError(status, headers);
		if (reason !== undefined) {
			this.#abort('bad_answer', reason);
			return;
		}

		clearTimeout(this.#headTimer);
		this.#options.onResponseHead(headers);
		this.#idleTimer = setTimeout(() => {
			this.#onIdle();
		}, this.#options.idleTimeoutMs);
		this.#options.responseWriter.writeHead(status, selectResponseHeaders(headers));
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (this.#isSettled) {
			return;
		}

		this.#idleTimer?.refresh();
		this.#receivedBytes += chunk.length;
		if (!this.#options.responseWriter.write(chunk)) {
			this.#isWaitingForCaller = true;
			controller.pause();
			this.#options.responseWriter.onDrain(() => {
				this.#isWaitingForCaller = false;
				this.#idleTimer?.refresh();
				controller.resume();
			});
		}
	}

	onResponseEnd(): void {
		if (this.#isSettled) {
			return;
		}

		if (this.#expectedBytes !== undefined && this.#receivedBytes !== this.#expectedBytes) {
			this.#abort('upstream_failed', 'the answer was cut');
			return;
		}

		this.#finish();
		this.#options.responseWriter.finish();
		this.#resolve();
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		if (!this.#isSettled) {
			this.#abort(this.#isSent ? 'upstream_failed' : 'connect_failed', `upstream failed: ${readErrorMessage(error)}`);
		}
	}

	readonly #onAbort = (): void => {
		this.#abort('caller_gone', 'the caller hung up');
	};

	/** Returns the reason to reject a response: its end cannot be determined, or it belongs to another request. */
	#findResponseError(status: number, headers: HeaderFields): string | undefined {
		const {method, requestId, requestIdEcho} = this.#options;
		const echoedId = headers[headerNames.requestId];
		if (echoedId === undefined ? requestIdEcho === 'required' : echoedId !== requestId) {
			return echoedId === undefined ? 'the answer does not carry the request id' : 'the answer carries the id of another request';
		}

		if (method === 'HEAD' || bodilessStatuses.has(status)) {
			return undefined;
		}

		const length = headers['content-length'];
		const encoding = headers['transfer-encoding'];
		if (encoding !== undefined) {
			return String(encoding).toLowerCase().trim() === 'chunked' && length === undefined ? undefined : 'the answer\'s framing is ambiguous';
		}

		if (length === undefined || !/^\d+$/v.test(String(length))) {
			return 'the answer ends with its connection, so that its end can\'t be told from a cut';
		}

		this.#expectedBytes = Number(length);
		return undefined;
	}

	#onIdle(): void {
		const {responseWriter, idleTimeoutMs, signal} = this.#options;
		if (!this.#isWaitingForCaller) {
			this.#abort('upstream_failed', `the answer paused for ${idleTimeoutMs} ms`);
			return;
		}

		responseWriter.abort();
		if (signal === undefined) {
			this.#idleTimer?.refresh();
		}
	}

	#abort(code: string, message: string): void {
		const verdict: Verdict = this.#isSent ? 'may-have-run' : 'not-run';
		this.#endWithError(new VerdictError(message, {verdict, code}));
	}

	#endWithError(error: VerdictError): void {
		if (this.#isSettled) {
			return;
		}

		this.#finish();
		if (this.#options.responseWriter.status !== 0) {
			this.#options.responseWriter.abort();
		}

		if (this.#controller === undefined) {
			this.#options.connection.close();
		} else {
			this.#controller.abort(new Error(error.message));
		}

		this.#reject(error);
	}

	#finish(): void {
		this.#isSettled = true;
		clearTimeout(this.#headTimer);
		clearTimeout(this.#idleTimer);
		this.#options.signal?.removeEventListener('abort', this.#onAbort);
	}
}
