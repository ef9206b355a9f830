/**
 * HTTP calls over `node:http`, which reports whether a response is truncated.
 */
import {request, type Agent, type IncomingHttpHeaders} from 'node:http';

export type HttpCall = {
	readonly method?: string;
	readonly headers?: Record<string, string>;
	readonly body?: Uint8Array | string;
	/** Whether the body is sent with chunked encoding, without `Content-Length`. */
	readonly isChunked?: boolean;
	readonly agent?: Agent;
	/** Closes the connection when it aborts. */
	readonly signal?: AbortSignal;
};

/** The part of a response that was received. */
export type HttpCallResult = {
	/** HTTP status; 0 if no response head was received. */
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
	/** Whether the whole response was received. */
	readonly isComplete: boolean;
};

const emptyResponse: HttpCallResult = {
	status: 0, headers: {}, body: Buffer.alloc(0), isComplete: false,
};

/** Sends a request; never rejects. */
export async function callHttp(url: string, call: HttpCall = {}): Promise<HttpCallResult> {
	return new Promise(resolve => {
		const {method, body, isChunked, agent, signal} = call;
		const length = body === undefined || isChunked ? {} : {'content-length': Buffer.byteLength(body)};
		const headers = {...call.headers, ...length};
		const clientRequest = request(url, {
			method: method ?? 'GET', headers, agent, signal,
		}, response => {
			const chunks: Uint8Array[] = [];
			response.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
			});
			response.on('error', () => {});
			response.on('close', () => {
				resolve({
					status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks), isComplete: response.complete,
				});
			});
		});
		clientRequest.on('error', () => {
			resolve(emptyResponse);
		});
		clientRequest.end(body);
	});
}

/** Decodes the body of a response as UTF-8. */
export function readText({body}: HttpCallResult): string {
	return Buffer.from(body).toString('utf8');
}
