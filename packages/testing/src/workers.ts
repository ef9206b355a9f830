/**
 * Stand-in of an upstream worker, which keeps a history of what it ran.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';

/** One run of a request on a worker. */
export type WorkerRun = {
	readonly vmId: string;
	readonly requestKey: string | undefined;
	readonly requestId: string | undefined;
	readonly path: string;
	/** Milliseconds since the Unix epoch. */
	readonly startedAt: number;
	finishedAt?: number;
};

export type WorkerStandInOptions = {readonly vmId: string; readonly port?: number};

/**
 * A worker on one loopback port. Its paths: `/echo` answers the request's body, `/bytes/N` answers N bytes,
 * `/sleep/MS` answers after MS milliseconds, `/history` lists the runs so far.
 */
export class WorkerStandIn {
	static async create(options: WorkerStandInOptions): Promise<WorkerStandIn> {
		const worker = new WorkerStandIn(options.vmId);
		await new Promise<void>(resolve => {
			worker.#server.listen(options.port ?? 0, '127.0.0.1', resolve);
		});
		return worker;
	}

	readonly runs: WorkerRun[] = [];
	readonly #vmId: string;
	readonly #server: Server;

	private constructor(vmId: string) {
		this.#vmId = vmId;
		this.#server = createServer((request, response) => {
			void this.#handle(request, response);
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

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const [, kind, argument] = (request.url ?? '/').split('?')[0]!.split('/');
		if (kind === 'history') {
			response.end(JSON.stringify(this.runs));
			return;
		}

		const run = this.#beginRun(request);
		const body = await readBody(request);
		if (kind === 'sleep') {
			await new Promise(resolve => {
				setTimeout(resolve, Number(argument));
			});
		}

		run.finishedAt = Date.now();
		response.setHeader('x-vm', this.#vmId);
		response.setHeader('tamarackwind-request-id', run.requestId ?? '');
		response.end(kind === 'bytes' ? Buffer.alloc(Number(argument), 'x') : body);
	}

	#beginRun(request: IncomingMessage): WorkerRun {
		const run: WorkerRun = {
			vmId: this.#vmId,
			requestKey: request.headers['idempotency-key'] as string | undefined,
			requestId: request.headers['tamarackwind-request-id'] as string | undefined,
			path: request.url ?? '/',
			startedAt: Date.now(),
		};
		this.runs.push(run);
		return run;
	}
}

async function readBody(request: IncomingMessage): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks);
}
