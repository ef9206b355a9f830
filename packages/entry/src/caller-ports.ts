/**
 * The caller port: forwards requests for `/SERVICE/...`, with any method, to a worker of the service's pool.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type HttpBindings} from '@hono/node-server';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {VerdictError, readErrorMessage, type Log} from '@tamarackwind/core';
import {Hono} from 'hono';
import {ResponseWriter} from './response-writers.js';
import {forwardRequest, type ForwardOptions} from './attempts.js';
import {RequestBody} from './request-bodies.js';
import {maxStoredResponseBytes} from './claims.js';
import {selectRequestHeaders} from './headers.js';
import {CallerAuthenticator} from './caller-identities.js';
import {runKeyedRequest, type KeyedRequestDependencies, type FailedAttempt} from './keyed-requests.js';
import {isTransientProblem, sendProblem, toProblem} from './problems.js';
import {parseRequest, type CallerRequest} from './requests.js';
import {type SettingsView} from './settings-views.js';

export type CallerPortOptions = KeyedRequestDependencies & {
	readonly log: Log;
	readonly settings: SettingsView;
	/** Routes of jobs, mounted at `/jobs`; no service has that name. */
	readonly jobs?: Hono;
};

/** Handles the requests of callers. */
export class CallerPort {
	static create(options: CallerPortOptions): CallerPort {
		return new CallerPort(options);
	}

	readonly app: Hono<{Bindings: HttpBindings}>;
	readonly #options: CallerPortOptions;
	readonly #authenticator = CallerAuthenticator.create();
	readonly #inFlight = new Set<Promise<void>>();
	#isClosing = false;

	private constructor(options: CallerPortOptions) {
		this.#options = options;
		this.app = new Hono<{Bindings: HttpBindings}>();
		this.app.use('/jobs/*', async (c, next) => {
			await this.#trackJobRequest(c.env.outgoing, next);
		});
		this.app.route('/jobs', options.jobs ?? new Hono());
		this.app.all('*', async c => {
			const {incoming, outgoing} = c.env;
			const handling = this.#handle(incoming, outgoing);
			this.#inFlight.add(handling);
			await handling;
			this.#inFlight.delete(handling);
			return RESPONSE_ALREADY_SENT;
		});
	}

	/** Number of requests in flight. */
	get inFlight(): number {
		return this.#inFlight.size;
	}

	/** Whether the entry is shutting down. */
	get isClosing(): boolean {
		return this.#isClosing;
	}

	/** Starts to send `connection: close` with each response. */
	drain(): void {
		this.#isClosing = true;
	}

	/** Resolves when no request is in flight. */
	async waitForIdle(): Promise<void> {
		while (this.#inFlight.size > 0) {
			await Promise.all(this.#inFlight);
		}
	}

	/** Counts a request to the job routes as in flight until its response is sent. */
	async #trackJobRequest(response: ServerResponse, next: () => Promise<void>): Promise<void> {
		const ended = waitForResponseEnd(response);
		this.#inFlight.add(ended);
		if (this.#isClosing) {
			response.setHeader('connection', 'close');
		}

		try {
			await next();
		} finally {
			void this.#removeWhenEnded(ended);
		}
	}

	async #removeWhenEnded(ended: Promise<void>): Promise<void> {
		await ended;
		this.#inFlight.delete(ended);
	}

	/** Handles one request until its response ends; never throws. */
	async #handle(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
		const {clock, metrics} = this.#options;
		const startedAt = clock.readMonotonic();
		const ended = waitForResponseEnd(response);
		metrics.observeStart();
		let request: CallerRequest | undefined;
		let failure: FailedAttempt | undefined;
		try {
			request = this.#parse(incoming);
			failure = await this.#run(request, incoming, response, startedAt);
		} catch (error) {
			failure = {error, receipt: undefined};
		}

		const result = failure === undefined ? {verdict: 'ran' as const, code: formatStatusClass(response.statusCode)} : this.#sendFailure(response, failure, request);
		await ended;
		metrics.observeEnd({
			...result, service: request?.service.name ?? 'none', workClass: request?.workClass ?? 'none', seconds: (clock.readMonotonic() - startedAt) / 1000,
		});
	}

	#parse(incoming: IncomingMessage): CallerRequest {
		const {current} = this.#options.settings;
		if (current === undefined) {
			throw new VerdictError('the entry has not read its settings yet', {verdict: 'not-run', code: 'settings_missing'});
		}

		return parseRequest(incoming, current, this.#authenticator);
	}

	async #run(request: CallerRequest, incoming: IncomingMessage, response: ServerResponse, startedAt: number): Promise<FailedAttempt | undefined> {
		const deadlineAt = startedAt + request.deadlineMs;
		const signal = createDisconnectSignal(response);
		const body = await this.#readBody(request, incoming, deadlineAt);
		const isKeyed = !request.isIdempotent && request.requestKey !== undefined;
		const isClosing = (): boolean => this.#isClosing;
		const responseWriter = ResponseWriter.create({response, maxStoredBytes: isKeyed ? maxStoredResponseBytes : 0, isClosing});
		const forwardOptions: ForwardOptions = {
			request, headers: selectRequestHeaders(incoming.headers), body, responseWriter, deadlineAt, signal, isDetached: false,
		};
		if (isKeyed) {
			return runKeyedRequest(this.#options, {
				...forwardOptions, requestKey: request.requestKey, response, isClosing,
			});
		}

		await forwardRequest(this.#options, forwardOptions);
		return undefined;
	}

	/** Reads the start of the body, and fails if the deadline passes first. */
	async #readBody(request: CallerRequest, incoming: IncomingMessage, deadlineAt: number): Promise<RequestBody> {
		const {clock} = this.#options;
		let isLate = false;
		const timer = setTimeout(() => {
			isLate = true;
			incoming.emit('error', new Error('the body did not arrive before the deadline'));
		}, deadlineAt - clock.readMonotonic());
		try {
			return await RequestBody.create(incoming, request.service.maxBodyBytes);
		} catch (error) {
			throw isLate ? new VerdictError('the body did not arrive before the deadline', {verdict: 'not-run', code: 'request_timeout'}) : error;
		} finally {
			clearTimeout(timer);
		}
	}

	/** Sends a problem response. If the response head was already sent, closes the connection instead. */
	#sendFailure(response: ServerResponse, {error, receipt}: FailedAttempt, request: CallerRequest | undefined): Pick<ReturnType<typeof toProblem>, 'verdict' | 'code'> {
		const {scheduler, log} = this.#options;
		const problem = toProblem(error);
		if (problem.code === 'internal') {
			log.error('request failed with an internal error', {error: readErrorMessage(error)});
		}

		if (response.headersSent || response.destroyed) {
			response.destroy();
			return problem;
		}

		const retryAfterSeconds = request !== undefined && isTransientProblem(problem.code) ? scheduler.suggestRetryAfter(request.pool, request.caller.id) : undefined;
		if (this.#isClosing || problem.status === 413 || problem.status === 408) {
			response.setHeader('connection', 'close');
		}

		sendProblem(response, {...problem, retryAfterSeconds, receipt});
		return problem;
	}
}

function formatStatusClass(status: number): string {
	return `${Math.floor(status / 100)}xx`;
}

/** Resolves when the last byte of the response is handed to the connection, or the connection closes. */
async function waitForResponseEnd(response: ServerResponse): Promise<void> {
	await new Promise<void>(resolve => {
		response.once('finish', resolve);
		response.once('close', resolve);
	});
}

/** Creates a signal that aborts when the caller disconnects before the response ends. */
function createDisconnectSignal(response: ServerResponse): AbortSignal {
	const controller = new AbortController();
	response.once('close', () => {
		if (!response.writableFinished) {
			controller.abort();
		}
	});
	return controller.signal;
}
