/**
 * One HTTP connection pool to the platform, shared by its clients.
 */
import {VerdictError} from '@tamarackwind/core';
import {Pool} from 'undici';

export type PlatformOptions = {
	/** Base URL of the platform. */
	readonly url: string;
	/** Bearer token of this process. */
	readonly token?: string;
	/** Longest wait for an answer, in milliseconds. */
	readonly timeoutMs?: number;
	/** Most connections that are open at once. */
	readonly connectionLimit?: number;
};

export type PlatformCall = {
	readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly path: string;
	readonly json?: unknown;
	readonly bytes?: Uint8Array;
	readonly headers?: Readonly<Record<string, string>>;
	/** Longest wait for the answer of this call, in milliseconds. */
	readonly timeoutMs?: number;
};

export type PlatformAnswer = {readonly status: number; readonly body: Uint8Array};

const defaultTimeoutMs = 2000;
const defaultConnectionLimit = 16;
const unsentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Sends calls to the platform and turns failures into verdicts. */
export class PlatformConnection {
	static create(options: PlatformOptions): PlatformConnection {
		return new PlatformConnection(options);
	}

	readonly #url: string;
	readonly #pool: Pool;
	readonly #timeoutMs: number;
	readonly #headers: Record<string, string>;

	private constructor({url, token, timeoutMs, connectionLimit = defaultConnectionLimit}: PlatformOptions) {
		this.#url = url;
		this.#timeoutMs = timeoutMs ?? defaultTimeoutMs;
		this.#pool = new Pool(url, {connections: connectionLimit, pipelining: 1, connect: {timeout: this.#timeoutMs}});
		this.#headers = token === undefined ? {} : {authorization: `Bearer ${token}`};
	}

	/**
	 * Sends one call.
	 *
	 * @throws {VerdictError} when no usable answer arrived in time.
	 */
	async send(call: PlatformCall): Promise<PlatformAnswer> {
		const answer = await this.request(call);
		if (answer.status === 503) {
			throw new VerdictError('platform is down', {verdict: 'not-run', code: 'platform_unavailable'});
		}

		if (answer.status >= 500) {
			throw new VerdictError(`platform answered ${answer.status} to ${call.method} ${call.path}`, {verdict: 'may-have-run', code: 'platform_unavailable'});
		}

		return answer;
	}

	async close(): Promise<void> {
		await this.#pool.destroy();
	}

	/**
	 * Sends one call and gives its answer whatever the status.
	 *
	 * @throws {VerdictError} when no answer arrived in time.
	 */
	async request({method, path, json, bytes, headers, timeoutMs = this.#timeoutMs}: PlatformCall): Promise<PlatformAnswer> {
		const isJson = json !== undefined;
		const type = isJson ? {'content-type': 'application/json'} : {};
		try {
			const response = await this.#pool.request({
				method,
				path,
				headers: {...this.#headers, ...type, ...headers},
				body: isJson ? JSON.stringify(json) : bytes,
				headersTimeout: timeoutMs,
				bodyTimeout: timeoutMs,
				signal: AbortSignal.timeout(timeoutMs),
			});
			return {status: response.statusCode, body: await response.body.bytes()};
		} catch (error) {
			const isUnsent = unsentCodes.has((error as {code?: string}).code ?? '');
			throw new VerdictError(`platform at ${this.#url} did not answer ${method} ${path}`, {verdict: isUnsent ? 'not-run' : 'may-have-run', code: 'platform_unavailable', cause: error});
		}
	}
}

/** Parses the JSON body of an answer. */
export function parseAnswer<T>(answer: PlatformAnswer): T {
	return JSON.parse(Buffer.from(answer.body).toString('utf8')) as T;
}
