/**
 * Calls over Node's own HTTP client, which tells a cut answer from a whole one.
 */
import {request, type Agent, type IncomingHttpHeaders} from 'node:http';

export type HttpCall = {
	readonly method?: string;
	readonly headers?: Record<string, string>;
	readonly body?: Uint8Array | string;
	/** Sends the body in chunks, without its length. */
	readonly isChunked?: boolean;
	readonly agent?: Agent;
	/** Hangs up when it aborts. */
	readonly signal?: AbortSignal;
};

/** An answer as far as it arrived. */
export type HttpAnswer = {
	/** 0 when no head arrived. */
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
	/** Whether the answer arrived to its end. */
	readonly isWhole: boolean;
};

const nothing: HttpAnswer = {
	status: 0, headers: {}, body: Buffer.alloc(0), isWhole: false,
};

/** Sends one call; never throws. */
export async function callHttp(url: string, call: HttpCall = {}): Promise<HttpAnswer> {
	return new Promise(resolve => {
		const {method, body, isChunked, agent, signal} = call;
		const length = body === undefined || isChunked ? {} : {'content-length': Buffer.byteLength(body)};
		const headers = {...call.headers, ...length};
		const sent = request(url, {
			method: method ?? 'GET', headers, agent, signal,
		}, response => {
			const chunks: Uint8Array[] = [];
			response.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
			});
			response.on('error', () => {});
			response.on('close', () => {
				resolve({
					status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks), isWhole: response.complete,
				});
			});
		});
		sent.on('error', () => {
			resolve(nothing);
		});
		sent.end(body);
	});
}

/** Reads the body of an answer as text. */
export function readText({body}: HttpAnswer): string {
	return Buffer.from(body).toString('utf8');
}
