/**
 * Answers of upstreams that fail: written straight to the connection, past the HTTP server.
 */
import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

/** What a raw answer is made of. */
export type RawAnswerOptions = {
	readonly response: ServerResponse;
	readonly socket: Socket;
	readonly requestId: string;
	readonly body: Uint8Array;
	/** An id of another request on the same worker. */
	readonly otherId: string;
};

const duplicateDelayMs = 5;

function renderHead(fields: readonly string[]): string {
	return ['HTTP/1.1 200 OK', ...fields, '', ''].join('\r\n');
}

function renderChunk(body: Uint8Array): Uint8Array {
	return Buffer.concat([Buffer.from(`${body.length.toString(16)}\r\n`), body, Buffer.from('\r\n')]);
}

function formatId(id: string): string {
	return `tamarackwind-request-id: ${id}`;
}

/** Beginning of a chunked answer without its last chunk. */
function writeCutChunks({socket, requestId, body}: RawAnswerOptions, ...fields: string[]): void {
	socket.write(renderHead(['transfer-encoding: chunked', formatId(requestId), ...fields]));
	socket.write(renderChunk(body));
}

/** Beginning of an answer that announces more bytes than it has. */
function writeShort({socket, requestId, body}: RawAnswerOptions, ...fields: string[]): void {
	socket.write(renderHead([`content-length: ${body.length + 100}`, formatId(requestId), ...fields]));
	socket.write(body);
}

/** Answers through the server, so that the connection goes on. */
function writeMarked({response, requestId, body}: RawAnswerOptions): void {
	response.setHeader('tamarackwind-request-id', requestId);
	response.end(body);
}

/** Writes the same answer past the server. */
function writeWhole({socket, requestId, body}: RawAnswerOptions): void {
	socket.write(Buffer.concat([Buffer.from(renderHead([`content-length: ${body.length}`, formatId(requestId)])), body]));
}

async function resetAfterWrite(socket: Socket): Promise<void> {
	// What was written must have left before the reset, or the other side sees the reset alone.
	await delay(duplicateDelayMs);
	socket.resetAndDestroy();
}

const closing = 'connection: close';

/** Ways in which an upstream's answer goes wrong, and a few unusual ones that are whole. */
export const rawAnswers = {

	async 'short'(options: RawAnswerOptions) {
		writeShort(options);
		options.socket.end();
	},
	async 'short-close'(options: RawAnswerOptions) {
		writeShort(options, closing);
		options.socket.end();
	},
	async 'short-reset'(options: RawAnswerOptions) {
		writeShort(options);
		await resetAfterWrite(options.socket);
	},
	async 'short-close-reset'(options: RawAnswerOptions) {
		writeShort(options, closing);
		await resetAfterWrite(options.socket);
	},
	async 'cut'(options: RawAnswerOptions) {
		writeCutChunks(options);
		options.socket.end();
	},
	async 'cut-close'(options: RawAnswerOptions) {
		writeCutChunks(options, closing);
		options.socket.end();
	},
	async 'cut-reset'(options: RawAnswerOptions) {
		writeCutChunks(options);
		await resetAfterWrite(options.socket);
	},
	async 'cut-close-reset'(options: RawAnswerOptions) {
		writeCutChunks(options, closing);
		await resetAfterWrite(options.socket);
	},
	async 'cut-at-head'({socket, requestId}: RawAnswerOptions) {
		socket.end(renderHead(['transfer-encoding: chunked', formatId(requestId), closing]));
	},
	async 'cut-in-size'(options: RawAnswerOptions) {
		writeCutChunks(options, closing);
		options.socket.end('10');
	},
	async 'cut-in-chunk'(options: RawAnswerOptions) {
		writeCutChunks(options, closing);
		options.socket.end('10\r\nabc');
	},
	async 'cut-in-end'(options: RawAnswerOptions) {
		writeCutChunks(options, closing);
		options.socket.end('0\r\n');
	},
	async 'until-close'({socket, requestId, body}: RawAnswerOptions) {
		socket.write(renderHead([formatId(requestId), closing]));
		socket.end(body);
	},
	async 'both-lengths'({socket, requestId, body}: RawAnswerOptions) {
		socket.write(renderHead([`content-length: ${body.length}`, 'transfer-encoding: chunked', formatId(requestId)]));
		socket.end(Buffer.concat([renderChunk(body), Buffer.from('0\r\n\r\n')]));
	},
	async 'two-lengths'({socket, requestId, body}: RawAnswerOptions) {
		socket.write(renderHead([`content-length: ${body.length}`, `content-length: ${body.length + 1}`, formatId(requestId)]));
		socket.end(body);
	},
	async 'no-answer'({socket}: RawAnswerOptions) {
		socket.end();
	},
	async 'reset'({socket}: RawAnswerOptions) {
		socket.resetAndDestroy();
	},
	async 'half-head'({socket}: RawAnswerOptions) {
		socket.end('HTTP/1.1 200 OK\r\ncontent-le');
	},
	async 'crossed'({response, otherId}: RawAnswerOptions) {
		response.setHeader('tamarackwind-request-id', otherId);
		response.end('of another');
	},
	async 'unmarked'({response, body}: RawAnswerOptions) {
		response.end(body);
	},
	async 'duplicate'(options: RawAnswerOptions) {
		writeMarked(options);
		writeWhole(options);
	},
	async 'late-duplicate'(options: RawAnswerOptions) {
		writeMarked(options);
		await delay(duplicateDelayMs);
		writeWhole(options);
	},
	async 'whole-then-close'(options: RawAnswerOptions) {
		writeMarked(options);
		await delay(duplicateDelayMs);
		options.socket.destroy();
	},
	async 'whole-close'(options: RawAnswerOptions) {
		writeCutChunks(options, closing);
		options.socket.end('0\r\n\r\n');
	},
	async 'whole-close-late'(options: RawAnswerOptions) {
		writeCutChunks(options, closing);
		await delay(duplicateDelayMs);
		options.socket.end('0\r\n\r\n');
	},
	async 'whole-trailers'({response, requestId, body}: RawAnswerOptions) {
		response.setHeader('tamarackwind-request-id', requestId);
		response.setHeader('trailer', 'x-checksum');
		response.write(body);
		response.addTrailers([['x-checksum', '1']]);
		response.end();
	},

} as const;

/** Name of a raw answer. */
export type RawAnswerName = keyof typeof rawAnswers;
