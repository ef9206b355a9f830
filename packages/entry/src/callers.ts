/**
 * The caller port: any method and path under a service goes to a worker of the service's pool.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type HttpBindings} from '@hono/node-server';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {VerdictError, readErrorMessage, type Log} from '@tamarackwind/core';
import {Hono} from 'hono';
import {AnswerWriter} from './answers.js';
import {forwardRequest, type ForwardOptions} from './attempts.js';
import {RequestBody} from './bodies.js';
import {maxKeptBytes} from './claims.js';
import {selectRequestHeaders} from './headers.js';
import {Identities} from './identities.js';
import {runKeyedRequest, type KeyedParts, type RefusedAttempt} from './keyed-requests.js';
import {isPassingProblem, sendProblem, toProblem} from './problems.js';
import {parseRequest, type CallerRequest} from './requests.js';
import {type SettingsView} from './settings-views.js';

export type CallerPortOptions = KeyedParts & {
	readonly log: Log;
	readonly settings: SettingsView;
	/** Routes of jobs; their first path segment is no service's. */
	readonly jobs?: Hono;
};

/** Handles the requests of callers. */
export class CallerPort {
	static create(options: CallerPortOptions): CallerPort {
		return new CallerPort(options);
	}

	readonly app: Hono<{Bindings: HttpBindings}>;
	readonly #options: CallerPortOptions;
	readonly #identities = Identities.create();
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
			const handled = this.#handle(incoming, outgoing);
			this.#inFlight.add(handled);
			await handled;
			this.#inFlight.delete(handled);
			return RESPONSE_ALREADY_SENT;
		});
	}

	/** Requests that have not ended. */
	get inFlight(): number {
		return this.#inFlight.size;
	}

	/** Whether the entry is about to stop. */
	get isClosing(): boolean {
		return this.#isClosing;
	}

	/** Asks callers, from now on, to end their connections after each answer. */
	drain(): void {
		this.#isClosing = true;
	}

	/** Resolves once no request is in flight. */
	async waitForIdle(): Promise<void> {
		while (this.#inFlight.size > 0) {
			await Promise.all(this.#inFlight);
		}
	}

	/** Counts a request about jobs as in flight until its answer is out. */
	async #trackJobRequest(response: ServerResponse, next: () => Promise<void>): Promise<void> {
		const ended = waitForEnd(response);
		this.#inFlight.add(ended);
		if (this.#isClosing) {
			response.setHeader('connection', 'close');
		}

		try {
			await next();
		} finally {
			void this.#removeEnded(ended);
		}
	}

	async #removeEnded(ended: Promise<void>): Promise<void> {
		await ended;
		this.#inFlight.delete(ended);
	}

	/** Handles one request to its end; never throws. */
	async #handle(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
		const {clock, metrics} = this.#options;
		const startedAt = clock.readMonotonic();
		const ended = waitForEnd(response);
		metrics.observeStart();
		let request: CallerRequest | undefined;
		let refused: RefusedAttempt | undefined;
		try {
			request = this.#parse(incoming);
			refused = await this.#run(request, incoming, response, startedAt);
		} catch (error) {
			refused = {error, receipt: undefined};
		}

		const end = refused === undefined ? {verdict: 'ran' as const, code: formatStatusClass(response.statusCode)} : this.#refuse(response, refused, request);
		await ended;
		metrics.observeEnd({
			...end, service: request?.service.name ?? 'none', workClass: request?.workClass ?? 'none', seconds: (clock.readMonotonic() - startedAt) / 1000,
		});
	}

	#parse(incoming: IncomingMessage): CallerRequest {
		const {current} = this.#options.settings;
		if (current === undefined) {
			throw new VerdictError('the entry has not read its settings yet', {verdict: 'not-run', code: 'settings_missing'});
		}

		return parseRequest(incoming, current, this.#identities);
	}

	async #run(request: CallerRequest, incoming: IncomingMessage, response: ServerResponse, startedAt: number): Promise<RefusedAttempt | undefined> {
		const deadlineAt = startedAt + request.deadlineMs;
		const signal = createGoneSignal(response);
		const body = await this.#readBody(request, incoming, deadlineAt);
		const isKeyed = !request.isIdempotent && request.requestKey !== undefined;
		const isClosing = (): boolean => this.#isClosing;
		const answer = AnswerWriter.create({response, maxKeptBytes: isKeyed ? maxKeptBytes : 0, isClosing});
		const forward: ForwardOptions = {
			request, headers: selectRequestHeaders(incoming.headers), body, answer, deadlineAt, signal, isDetached: false,
		};
		if (isKeyed) {
			return runKeyedRequest(this.#options, {
				...forward, requestKey: request.requestKey, response, isClosing,
			});
		}

		await forwardRequest(this.#options, forward);
		return undefined;
	}

	/** Reads the beginning of the body; a caller that is slower than its deadline is refused. */
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

	/** Tells the caller of a failure; an answer whose head is out already was cut. */
	#refuse(response: ServerResponse, {error, receipt}: RefusedAttempt, request: CallerRequest | undefined): Pick<ReturnType<typeof toProblem>, 'verdict' | 'code'> {
		const {scheduler, log} = this.#options;
		const problem = toProblem(error);
		if (problem.code === 'internal') {
			log.error('request failed within the entry', {error: readErrorMessage(error)});
		}

		if (response.headersSent || response.destroyed) {
			response.destroy();
			return problem;
		}

		const retryAfterSeconds = request !== undefined && isPassingProblem(problem.code) ? scheduler.suggestRetryAfter(request.pool, request.caller.id) : undefined;
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

/** Resolves once the last byte of the answer was handed to the connection, or the connection has closed. */
async function waitForEnd(response: ServerResponse): Promise<void> {
	await new Promise<void>(resolve => {
		response.once('finish', resolve);
		response.once('close', resolve);
	});
}

/** Creates a signal that aborts when the caller hangs up before its answer has ended. */
function createGoneSignal(response: ServerResponse): AbortSignal {
	const controller = new AbortController();
	response.once('close', () => {
		if (!response.writableFinished) {
			controller.abort();
		}
	});
	return controller.signal;
}
