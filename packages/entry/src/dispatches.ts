/**
 * One dispatch of a request to an upstream over undici, with a verdict on failure.
 */
import {type Readable} from 'node:stream';
import {VerdictError, readErrorMessage, type Verdict} from '@tamarackwind/core';
import {type Dispatcher} from 'undici';
import {type AnswerWriter} from './answers.js';
import {headerNames, selectAnswerHeaders, type HeaderFields} from './headers.js';
import {type UpstreamConnection} from './upstreams.js';

export type DispatchOptions = {
	readonly connection: UpstreamConnection;
	readonly method: string;
	readonly path: string;
	readonly headers: HeaderFields;
	readonly body: Readable | Uint8Array | undefined;
	readonly requestId: string;
	/** Whether an answer without the request id is refused; one with another id always is. */
	readonly requestIdEcho: 'required' | 'optional';
	/** Time for the head of the answer to arrive, in milliseconds. */
	readonly headTimeoutMs: number;
	/** Longest pause within the body of the answer, in milliseconds. */
	readonly idleTimeoutMs: number;
	/** Aborts the dispatch, as when the caller has gone. */
	readonly signal: AbortSignal | undefined;
	/** Called right before the first byte is sent; the error that it gives refuses the dispatch as `not-run`. */
	readonly checkStart: () => VerdictError | undefined;
	/** Called with the fields of the answer's head, hop-by-hop ones included. */
	readonly onHead: (headers: HeaderFields) => void;
	readonly answer: AnswerWriter;
};

/**
 * Sends a request to an upstream and streams the answer to the caller. Resolves once the whole answer was written.
 *
 * @throws {VerdictError} `not-run` when no byte was sent, `may-have-run` after that. An answer that failed after its
 * head was written is cut.
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
	readonly #timer: NodeJS.Timeout;
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
		this.#timer = setTimeout(() => {
			this.#abort('deadline_exceeded', 'no answer began before the deadline');
		}, options.headTimeoutMs);
		options.signal?.addEventListener('abort', this.#onAbort);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#isSettled) {
			controller.abort(new Error('dispatch has ended'));
			return;
		}

		if (this.#isSent) {
			this.#abort('upstream_failed', 'the connection failed and the request would have been sent again');
			return;
		}

		const refusal = this.#options.checkStart();
		if (refusal !== undefined) {
			this.#close(refusal);
			return;
		}

		this.#isSent = true;
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: HeaderFields): void {
		if (status < 200 || this.#isSettled) {
			return;
		}

		const fault = this.#findFault(status, headers);
		if (fault !== undefined) {
			this.#abort('bad_answer', fault);
			return;
		}

		clearTimeout(this.#timer);
		this.#options.onHead(headers);
		this.#idleTimer = setTimeout(() => {
			this.#onIdle();
		}, this.#options.idleTimeoutMs);
		this.#options.answer.writeHead(status, selectAnswerHeaders(headers));
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (this.#isSettled) {
			return;
		}

		this.#idleTimer?.refresh();
		this.#receivedBytes += chunk.length;
		if (!this.#options.answer.write(chunk)) {
			this.#isWaitingForCaller = true;
			controller.pause();
			this.#options.answer.onDrain(() => {
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
		this.#options.answer.finish();
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

	/** Finds why an answer's end could not be told or why it belongs to another request. */
	#findFault(status: number, headers: HeaderFields): string | undefined {
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
		const {answer, idleTimeoutMs, signal} = this.#options;
		if (!this.#isWaitingForCaller) {
			this.#abort('upstream_failed', `the answer paused for ${idleTimeoutMs} ms`);
			return;
		}

		answer.abort();
		if (signal === undefined) {
			this.#idleTimer?.refresh();
		}
	}

	#abort(code: string, message: string): void {
		const verdict: Verdict = this.#isSent ? 'may-have-run' : 'not-run';
		this.#close(new VerdictError(message, {verdict, code}));
	}

	#close(error: VerdictError): void {
		if (this.#isSettled) {
			return;
		}

		this.#finish();
		if (this.#options.answer.status !== 0) {
			this.#options.answer.abort();
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
		clearTimeout(this.#timer);
		clearTimeout(this.#idleTimer);
		this.#options.signal?.removeEventListener('abort', this.#onAbort);
	}
}
