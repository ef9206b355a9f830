/**
 * Fake upstream worker that records the requests it ran.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type RandomSource} from '@tamarackwind/core';
import {attemptTagHeader} from './attempt-checks.js';
import {rawResponses, type RawResponseName} from './raw-responses.js';

/** One run of a request on a worker. */
export type WorkerRun = {
	readonly vmId: string;
	readonly requestKey: string | undefined;
	readonly requestId: string | undefined;
	/** Value of the header that identifies the caller's attempt. */
	readonly attemptTag?: string | undefined;
	readonly path: string;
	/** Milliseconds since the Unix epoch. */
	readonly startedAt: number;
	/** Time at which the response was written; absent while the request runs. */
	finishedAt?: number;
};

export type FakeWorkerOptions = {readonly vmId: string; readonly port?: number};

/** Faults to inject into random requests, regardless of their path. */
export type FakeWorkerFaults = {
	readonly random: RandomSource;
	/** Fraction of the requests that get one of the raw responses. */
	readonly rate: number;
	/** Raw responses to choose from. */
	readonly responses: readonly RawResponseName[];
	/** Maximum delay before a response, in milliseconds. */
	readonly maxDelayMs?: number;
};

/**
 * Fake worker on a loopback port. Its routes:
 *
 * - `/echo` returns the request body.
 * - `/bytes/N` returns N bytes.
 * - `/sleep/MS` returns the request body after MS milliseconds.
 * - `/stream/N/MS` returns N lines, each after a delay of MS milliseconds.
 * - `/status/N` returns status N.
 * - `/headers` returns the request's method, URL and headers as JSON.
 * - `/early` sends informational responses, then the request body.
 * - `/leaving` returns the request body and announces that the worker is leaving.
 * - `/raw/NAME` returns the entry NAME of `rawResponses`.
 * - `/history` lists the runs so far.
 */
export class FakeWorker {
	static async create(options: FakeWorkerOptions): Promise<FakeWorker> {
		const worker = new FakeWorker(options.vmId);
		await new Promise<void>(resolve => {
			worker.#server.listen(options.port ?? 0, '127.0.0.1', resolve);
		});
		return worker;
	}

	readonly runs: WorkerRun[] = [];
	/** Faults to inject; `undefined` for none. */
	faults: FakeWorkerFaults | undefined;
	readonly #vmId: string;
	readonly #server: Server;
	#lastRequestId = 'none';

	private constructor(vmId: string) {
		this.#vmId = vmId;
		this.#server = createServer((request, response) => {
			void this.#handleRequest(request, response);
		});
	}

	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	async close(): Promise<void> {
		await new Promise(resolve => {
			this.#server.close(resolve);
			this.#server.closeAllConnections();
		});
	}

	async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const [, route, argument] = (request.url ?? '/').split('?')[0]!.split('/');
		if (route === 'history') {
			response.end(JSON.stringify(this.runs));
			return;
		}

		const run = this.#recordRun(request);
		const body = await readBody(request);
		const previousRequestId = this.#lastRequestId;
		this.#lastRequestId = run.requestId ?? 'none';
		const rawName = route === 'raw' ? argument as RawResponseName : await this.#pickFault();
		if (rawName !== undefined) {
			await rawResponses[rawName]({
				response, socket: request.socket, requestId: run.requestId ?? '', body, previousRequestId,
			});
			run.finishedAt = Date.now();
			return;
		}

		response.setHeader('x-vm', this.#vmId);
		response.setHeader('tamarackwind-request-id', run.requestId ?? '');
		await writeResponse(request, response, body);
		run.finishedAt = Date.now();
	}

	async #pickFault(): Promise<RawResponseName | undefined> {
		if (this.faults === undefined) {
			return undefined;
		}

		const {random, rate, responses, maxDelayMs} = this.faults;
		const name = random.readFraction() < rate ? random.pickItem(responses) : undefined;
		await delay(random.readFraction() * (maxDelayMs ?? 0));
		return name;
	}

	#recordRun(request: IncomingMessage): WorkerRun {
		const run: WorkerRun = {
			vmId: this.#vmId,
			requestKey: request.headers['idempotency-key'] as string | undefined,
			requestId: request.headers['tamarackwind-request-id'] as string | undefined,
			attemptTag: request.headers[attemptTagHeader] as string | undefined,
			path: request.url ?? '/',
			startedAt: Date.now(),
		};
		this.runs.push(run);
		return run;
	}
}

async function writeResponse(request: IncomingMessage, response: ServerResponse, body: Uint8Array): Promise<void> {
	const [, route = 'echo', first, second] = (request.url ?? '/').split('?')[0]!.split('/');
	switch (route) {
		case 'bytes': {
			response.setHeader('content-length', Number(first));
			response.end(Buffer.alloc(Number(first), 'x'));
			return;
		}

		case 'sleep': {
			await delay(Number(first));
			response.end(body);
			return;
		}

		case 'stream': {
			for (let line = 1; line <= Number(first); line++) {
				await delay(Number(second));
				response.write(`line ${line}\n`);
			}

			response.end();
			return;
		}

		case 'status': {
			response.writeHead(Number(first)).end();
			return;
		}

		case 'headers': {
			response.setHeader('connection', 'x-per-hop');
			response.setHeader('x-per-hop', '1');
			response.end(JSON.stringify({method: request.method, url: request.url, headers: request.headers}));
			return;
		}

		case 'early': {
			response.writeProcessing();
			response.writeEarlyHints({link: '</style.css>; rel=preload'});
			response.end(body);
			return;
		}

		case 'leaving': {
			response.setHeader('tamarackwind-leaving', 'true');
			response.end(body);
			return;
		}

		default: {
			response.end(body);
		}
	}
}

async function readBody(request: IncomingMessage): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks);
}
