/**
 * Refusals of requests that the HTTP parser did not accept, as problems like any other.
 */
import {type Server} from 'node:http';
import {type Duplex} from 'node:stream';
import {VerdictError} from '@tamarackwind/core';
import {headerNames} from './headers.js';
import {renderProblem, toProblem, type Problem} from './problems.js';

const headersTooLargeCode = 'HPE_HEADER_OVERFLOW';

/** Makes a server answer malformed requests with a problem, and take as long for a body as the deadline allows. */
export function addRefusals(server: Server): void {
	// The deadline of the request bounds the time of its body.
	server.requestTimeout = 0;
	server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		refuseSocket(error, socket);
	});
}

function refuseSocket(error: NodeJS.ErrnoException, socket: Duplex): void {
	if (error.code === 'ECONNRESET' || !socket.writable) {
		socket.destroy();
		return;
	}

	// An answer that is under way must not be followed by another that could pass for its end.
	if (isAnswering(socket)) {
		socket.destroy();
		return;
	}

	socket.end(formatRefusal(createProblem(error)));
}

function createProblem({code}: NodeJS.ErrnoException): Problem {
	return toProblem(code === headersTooLargeCode
		? new VerdictError('the header fields are larger than the entry accepts', {verdict: 'not-run', code: 'headers_too_large'})
		: new VerdictError('the request is not valid HTTP/1.1', {verdict: 'not-run', code: 'malformed_request'}));
}

function isAnswering(socket: Duplex): boolean {
	// Node keeps the message that a connection is answering in this property, and offers no other way to it.
	const {_httpMessage: message} = socket as Duplex & {_httpMessage?: unknown};
	return message !== undefined && message !== null;
}

function formatRefusal(problem: Problem): string {
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
