/**
 * HTTP helpers of the stand-ins.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:net';

/** Listens on a loopback port, any free one by default; resolves to the address. */
export async function listenOnLoopback(server, port = 0) {
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, '127.0.0.1', resolve);
	});
	return `127.0.0.1:${server.address().port}`;
}

/** Finds free ports. */
export async function findFreePorts(count) {
	const servers = Array.from({length: count}, () => createServer());
	const addresses = await Promise.all(servers.map(async server => listenOnLoopback(server)));
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return addresses.map(address => Number(address.split(':')[1]));
}

export async function readBody(request) {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

export function sendJson(response, status, body) {
	if (!response.writableEnded && !response.destroyed) {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(body));
	}
}
