/**
 * Entry point of a low-overhead upstream process that returns N bytes for `/bytes/N`. Prints its port.
 */
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import process from 'node:process';

const bodies = new Map<number, Uint8Array>();

function getBody(size: number): Uint8Array {
	const body = bodies.get(size) ?? Buffer.alloc(size, 'x');
	bodies.set(size, body);
	return body;
}

const server = createServer((request, response) => {
	const size = Number((request.url ?? '').split('/').at(-1));
	response.writeHead(200, {
		'content-type': 'application/octet-stream',
		'content-length': size,
		'tamarackwind-request-id': request.headers['tamarackwind-request-id'] ?? '',
	});
	response.end(getBody(size));
});
server.keepAliveTimeout = 60_000;
server.listen(0, '127.0.0.1', () => {
	process.stdout.write(`${(server.address() as AddressInfo).port}\n`);
});
process.once('SIGTERM', () => {
	process.exit(0);
});
