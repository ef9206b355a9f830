/**
 * HTTP connection pool to the platform, shared by the clients of its services.
 */
import {SystemClock, VerdictError, type Clock} from '@tamarackwind/core';
import {Pool} from 'undici';
import {ResponseCollector} from './response-collectors.js';

export type PlatformConnectionOptions = {
	/** Base URL of the platform. */
	readonly url: string;
	/** Bearer token sent with each request. */
	readonly token?: string;
	/** Maximum wait for a response, in milliseconds. */
	readonly timeoutMs?: number;
	/** Maximum number of open connections. */
	readonly connectionLimit?: number;
	/** Clock of the time limits. */
	readonly clock?: Clock;
};

export type PlatformRequest = {
	readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly path: string;
	readonly json?: unknown;
	readonly bytes?: Uint8Array;
	readonly headers?: Readonly<Record<string, string>>;
	/** Maximum wait for the response to this request, in milliseconds; one that is still arriving then is waited for until it stalls. */
	readonly timeoutMs?: number;
	/** Ends the request early. */
	readonly signal?: AbortSignal;
	/** Called with the size of the body, in bytes, before it arrives; without a known size, with what has arrived so far, at each chunk. */
	readonly onResponseSize?: (bytes: number) => void;
};

export type PlatformResponse = {
	readonly status: number;
	readonly body: Uint8Array;
	/** Time until the head of the response, in milliseconds. */
	readonly headMs: number;
};

const defaultTimeoutMs = 2000;
const defaultConnectionLimit = 16;
/** Time after which an idle connection is closed, in milliseconds: longer than a worker is usually without work, since opening a connection costs several calls. */
const idleConnectionMs = 30_000;

/** Sends requests to the platform and converts failures to `VerdictError`s. */
export class PlatformConnection {
	static create(options: PlatformConnectionOptions): PlatformConnection {
		return new PlatformConnection(options);
	}

	readonly #url: string;
	readonly #pool: Pool;
	readonly #timeoutMs: number;
	readonly #clock: Clock;
	readonly #headers: Record<string, string>;

	private constructor({url, token, timeoutMs, connectionLimit = defaultConnectionLimit, clock = SystemClock.create()}: PlatformConnectionOptions) {
		this.#url = url;
		this.#timeoutMs = timeoutMs ?? defaultTimeoutMs;
		this.#clock = clock;
		this.#pool = new Pool(url, {
			connections: connectionLimit, pipelining: 1, keepAliveTimeout: idleConnectionMs, connect: {timeout: this.#timeoutMs},
		});
		this.#headers = token === undefined ? {} : {authorization: `Bearer ${token}`};
	}

	/**
	 * Sends one request and throws for a server error.
	 *
	 * @throws {VerdictError} when the platform returned a status of 500 or above, or no response arrived in time.
	 */
	async send(request: PlatformRequest): Promise<PlatformResponse> {
		const response = await this.request(request);
		if (response.status === 503) {
			throw new VerdictError('platform is down', {verdict: 'not-run', code: 'platform_unavailable'});
		}

		if (response.status >= 500) {
			throw new VerdictError(`platform answered ${response.status} to ${request.method} ${request.path}`, {verdict: 'may-have-run', code: 'platform_unavailable'});
		}

		return response;
	}

	async close(): Promise<void> {
		await this.#pool.destroy();
	}

	/**
	 * Sends one request and returns the response, whatever its status.
	 *
	 * @throws {VerdictError} when no response arrived in time.
	 */
	async request({method, path, json, bytes, headers, timeoutMs = this.#timeoutMs, signal, onResponseSize}: PlatformRequest): Promise<PlatformResponse> {
		const isJson = json !== undefined;
		const type = isJson ? {'content-type': 'application/json'} : {};
		const collector = ResponseCollector.create(this.#clock, {timeoutMs, signal, onResponseSize});
		try {
			this.#pool.dispatch({
				method,
				path,
				headers: {...this.#headers, ...type, ...headers},
				body: isJson ? JSON.stringify(json) : bytes,
				// The collector limits the request; the library's own timers are coarse and fire early.
				headersTimeout: 0,
				bodyTimeout: 0,
			}, collector);
			return await collector.response;
		} catch (error) {
			throw new VerdictError(`platform at ${this.#url} did not answer ${method} ${path}`, {verdict: collector.isSent ? 'may-have-run' : 'not-run', code: 'platform_unavailable', cause: error});
		} finally {
			collector.close();
		}
	}
}

/** Parses the JSON body of a response. */
export function parseResponse<T>(response: PlatformResponse): T {
	return JSON.parse(Buffer.from(response.body).toString('utf8')) as T;
}
