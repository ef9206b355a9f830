/**
 * HTTP helpers of the stand-ins.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:net';
import process from 'node:process';

/** Listens on a loopback port, any free one by default; resolves to the address. */
export async function listenOnLoopback(server, port = 0) {
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, '127.0.0.1', resolve);
	});
	return `127.0.0.1:${server.address().port}`;
}

/** Range of the ports that entries listen on: below those that the system hands out, so that no other socket takes one before its entry does. */
const entryPorts = {from: 20_000, to: 32_000};
const portsPerProcess = 16;

/** Finds free ports; plays that run side by side begin at different ones. */
export async function findFreePorts(count) {
	const ports = [];
	const size = entryPorts.to - entryPorts.from;
	for (let offset = 0; ports.length < count && offset < size; offset++) {
		const port = entryPorts.from + (((process.pid * portsPerProcess) + offset) % size);
		if (await isFree(port)) {
			ports.push(port);
		}
	}

	if (ports.length < count) {
		throw new Error('too few free ports');
	}

	return ports;
}

async function isFree(port) {
	const server = createServer();
	try {
		await listenOnLoopback(server, port);
	} catch {
		return false;
	}

	await new Promise(resolve => {
		server.close(resolve);
	});
	return true;
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
