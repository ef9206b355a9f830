/**
 * Faulty and unusual HTTP responses of upstreams, most of them written directly to the socket instead of through Node's HTTP server.
 */
import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

/** Connection to write to and contents of a raw response. */
export type RawResponseOptions = {
	readonly response: ServerResponse;
	readonly socket: Socket;
	readonly requestId: string;
	readonly body: Uint8Array;
	/** Id of the previous request on the same worker. */
	readonly previousRequestId: string;
};

const flushDelayMs = 5;

function renderHead(fields: readonly string[]): string {
	return ['HTTP/1.1 200 OK', ...fields, '', ''].join('\r\n');
}

function renderChunk(body: Uint8Array): Uint8Array {
	return Buffer.concat([Buffer.from(`${body.length.toString(16)}\r\n`), body, Buffer.from('\r\n')]);
}

function formatRequestIdField(id: string): string {
	return `tamarackwind-request-id: ${id}`;
}

/** Writes a chunked response without its last chunk. */
function writeTruncatedChunks({socket, requestId, body}: RawResponseOptions, ...fields: string[]): void {
	socket.write(renderHead(['transfer-encoding: chunked', formatRequestIdField(requestId), ...fields]));
	socket.write(renderChunk(body));
}

/** Writes a response whose body is shorter than its `Content-Length`. */
function writeTruncatedBody({socket, requestId, body}: RawResponseOptions, ...fields: string[]): void {
	socket.write(renderHead([`content-length: ${body.length + 100}`, formatRequestIdField(requestId), ...fields]));
	socket.write(body);
}

/** Writes a complete response through the HTTP server, which keeps the connection open. */
function writeThroughServer({response, requestId, body}: RawResponseOptions): void {
	response.setHeader('tamarackwind-request-id', requestId);
	response.end(body);
}

/** Writes a complete response directly to the socket. */
function writeToSocket({socket, requestId, body}: RawResponseOptions): void {
	socket.write(Buffer.concat([Buffer.from(renderHead([`content-length: ${body.length}`, formatRequestIdField(requestId)])), body]));
}

async function resetAfterWrite(socket: Socket): Promise<void> {
	// The written bytes must be sent before the reset; otherwise the peer sees only the reset.
	await delay(flushDelayMs);
	socket.resetAndDestroy();
}

const connectionCloseField = 'connection: close';

/** Writers of faulty responses by name, and of some responses that are complete but unusual. */
export const rawResponses = {

	async 'short'(options: RawResponseOptions) {
		writeTruncatedBody(options);
		options.socket.end();
	},
	async 'short-close'(options: RawResponseOptions) {
		writeTruncatedBody(options, connectionCloseField);
		options.socket.end();
	},
	async 'short-reset'(options: RawResponseOptions) {
		writeTruncatedBody(options);
		await resetAfterWrite(options.socket);
	},
	async 'short-close-reset'(options: RawResponseOptions) {
		writeTruncatedBody(options, connectionCloseField);
		await resetAfterWrite(options.socket);
	},
	async 'cut'(options: RawResponseOptions) {
		writeTruncatedChunks(options);
		options.socket.end();
	},
	async 'cut-close'(options: RawResponseOptions) {
		writeTruncatedChunks(options, connectionCloseField);
		options.socket.end();
	},
	async 'cut-reset'(options: RawResponseOptions) {
		writeTruncatedChunks(options);
		await resetAfterWrite(options.socket);
	},
	async 'cut-close-reset'(options: RawResponseOptions) {
		writeTruncatedChunks(options, connectionCloseField);
		await resetAfterWrite(options.socket);
	},
	async 'cut-at-head'({socket, requestId}: RawResponseOptions) {
		socket.end(renderHead(['transfer-encoding: chunked', formatRequestIdField(requestId), connectionCloseField]));
	},
	async 'cut-in-size'(options: RawResponseOptions) {
		writeTruncatedChunks(options, connectionCloseField);
		options.socket.end('10');
	},
	async 'cut-in-chunk'(options: RawResponseOptions) {
		writeTruncatedChunks(options, connectionCloseField);
		options.socket.end('10\r\nabc');
	},
	async 'cut-in-end'(options: RawResponseOptions) {
		writeTruncatedChunks(options, connectionCloseField);
		options.socket.end('0\r\n');
	},
	async 'until-close'({socket, requestId, body}: RawResponseOptions) {
		socket.write(renderHead([formatRequestIdField(requestId), connectionCloseField]));
		socket.end(body);
	},
	async 'both-lengths'({socket, requestId, body}: RawResponseOptions) {
		socket.write(renderHead([`content-length: ${body.length}`, 'transfer-encoding: chunked', formatRequestIdField(requestId)]));
		socket.end(Buffer.concat([renderChunk(body), Buffer.from('0\r\n\r\n')]));
	},
	async 'two-lengths'({socket, requestId, body}: RawResponseOptions) {
		socket.write(renderHead([`content-length: ${body.length}`, `content-length: ${body.length + 1}`, formatRequestIdField(requestId)]));
		socket.end(body);
	},
	async 'no-answer'({socket}: RawResponseOptions) {
		socket.end();
	},
	async 'reset'({socket}: RawResponseOptions) {
		socket.resetAndDestroy();
	},
	async 'half-head'({socket}: RawResponseOptions) {
		socket.end('HTTP/1.1 200 OK\r\ncontent-le');
	},
	async 'crossed'({response, previousRequestId}: RawResponseOptions) {
		response.setHeader('tamarackwind-request-id', previousRequestId);
		response.end('of another');
	},
	async 'unmarked'({response, body}: RawResponseOptions) {
		response.end(body);
	},
	async 'duplicate'(options: RawResponseOptions) {
		writeThroughServer(options);
		writeToSocket(options);
	},
	async 'late-duplicate'(options: RawResponseOptions) {
		writeThroughServer(options);
		await delay(flushDelayMs);
		writeToSocket(options);
	},
	async 'whole-then-close'(options: RawResponseOptions) {
		writeThroughServer(options);
		await delay(flushDelayMs);
		options.socket.destroy();
	},
	async 'whole-close'(options: RawResponseOptions) {
		writeTruncatedChunks(options, connectionCloseField);
		options.socket.end('0\r\n\r\n');
	},
	async 'whole-close-late'(options: RawResponseOptions) {
		writeTruncatedChunks(options, connectionCloseField);
		await delay(flushDelayMs);
		options.socket.end('0\r\n\r\n');
	},
	async 'whole-trailers'({response, requestId, body}: RawResponseOptions) {
		response.setHeader('tamarackwind-request-id', requestId);
		response.setHeader('trailer', 'x-checksum');
		response.write(body);
		response.addTrailers([['x-checksum', '1']]);
		response.end();
	},

} as const;

/** Name of a raw response. */
export type RawResponseName = keyof typeof rawResponses;
