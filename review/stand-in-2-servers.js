/**
 * HTTP servers with JSON bodies on loopback addresses.
 */
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

const host = '127.0.0.1';

/** Listens on a free port and passes each request to `handle`, which resolves to `{status, body}`, or to `undefined` if the caller gets no answer. */
export class JsonServer {
	static async create(handle) {
		const server = new JsonServer(handle);
		await server.#listen();
		return server;
	}

	address;
	#server;
	#sockets = new Set();

	constructor(handle) {
		this.#server = createServer({keepAliveTimeout: 60_000}, async (request, response) => {
			const chunks = [];
			try {
				for await (const chunk of request) {
					chunks.push(chunk);
				}

				const text = Buffer.concat(chunks).toString('utf8');
				const answer = await handle({
					method: request.method, url: new URL(request.url, 'http://stand-in'), headers: request.headers, body: text === '' ? undefined : JSON.parse(text),
				});
				if (answer !== undefined) {
					const body = JSON.stringify(answer.body ?? {});
					response.writeHead(answer.status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)}).end(body);
				}
			} catch {
				request.destroy();
			}
		});
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.setNoDelay(true);
			socket.on('error', () => {});
			socket.on('close', () => {
				this.#sockets.delete(socket);
			});
		});
	}

	/** Closes all connections with a reset. */
	resetConnections() {
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}

	close() {
		this.#server.close();
		this.resetConnections();
	}

	async #listen() {
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(0, host, resolve);
		});
		this.address = `${host}:${this.#server.address().port}`;
	}
}

/** Waits until `isReached` holds; returns `false` if it does not within `ms`. */
export async function waitUntil(isReached, ms, stepMs = 10) {
	const end = performance.now() + ms;
	while (!await isReached()) {
		if (performance.now() >= end) {
			return false;
		}

		await sleep(stepMs);
	}

	return true;
}
