/**
 * Problem responses to requests that the HTTP parser rejects.
 */
import {type Server} from 'node:http';
import {type Duplex} from 'node:stream';
import {VerdictError} from '@tamarackwind/core';
import {headerNames} from './headers.js';
import {renderProblem, toProblem, type Problem} from './problems.js';

const headersTooLargeCode = 'HPE_HEADER_OVERFLOW';

/** Makes a server send problem responses to malformed requests, and disables its timeout for request bodies. */
export function handleParserErrors(server: Server): void {
	// The deadline of the request limits the time for its body.
	server.requestTimeout = 0;
	server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		handleClientError(error, socket);
	});
}

function handleClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
	if (error.code === 'ECONNRESET' || !socket.writable) {
		socket.destroy();
		return;
	}

	// A second response must not follow a partly sent one, because the caller could mistake it for the end of the first.
	if (hasResponseInProgress(socket)) {
		socket.destroy();
		return;
	}

	socket.end(formatProblemResponse(createProblem(error)));
}

function createProblem({code}: NodeJS.ErrnoException): Problem {
	return toProblem(code === headersTooLargeCode
		? new VerdictError('the header fields are larger than the entry accepts', {verdict: 'not-run', code: 'headers_too_large'})
		: new VerdictError('the request is not valid HTTP/1.1', {verdict: 'not-run', code: 'malformed_request'}));
}

function hasResponseInProgress(socket: Duplex): boolean {
	// Node stores the response in progress on a connection in this property, and has no public API for it.
	const {_httpMessage: message} = socket as Duplex & {_httpMessage?: unknown};
	return message !== undefined && message !== null;
}

function formatProblemResponse(problem: Problem): string {
	const body = renderProblem(problem);
	return [
		`HTTP/1.1 ${problem.status} ${problem.title}`,
		'content-type: application/problem+json',
		`content-length: ${Buffer.byteLength(body)}`,
		`${headerNames.verdict}: ${problem.verdict}`,
		'connection: close',
		'',
		body,
	].join('\r\n');
}
