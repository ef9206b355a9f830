/**
 * HTTP servers of the example deployments' workers: compute real results and record the requests they ran.
 */
import {type Server} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {serve} from '@hono/node-server';
import {type VmRecord} from '@tamarackwind/clients';
import {Hono} from 'hono';
import {
	buildPublication, buildRedraw, buildSeason, type PublicationRequest, type RedrawRequest, type SeasonRequest,
} from './league-services.js';
import {
	runCell, runRefit, runRefresh, type CellRequest, type RefitRequest, type RefreshRequest,
} from './notebook-services.js';
import {type WorkerRun} from './fake-workers.js';

type WorkHandler = {
	readonly run: (request: unknown) => unknown;
	/** Delay after the computation, in milliseconds. */
	readonly durationMs: number;
};

function createHandler<Request>(run: (request: Request) => unknown, durationMs: number): WorkHandler {
	return {run: request => run(request as Request), durationMs};
}

const workHandlers: Readonly<Record<string, WorkHandler>> = {
	seasons: createHandler<SeasonRequest>(buildSeason, 300),
	redraws: createHandler<RedrawRequest>(buildRedraw, 60),
	publications: createHandler<PublicationRequest>(buildPublication, 40),
	cells: createHandler<CellRequest>(runCell, 30),
	refits: createHandler<RefitRequest>(runRefit, 250),
	refreshes: createHandler<RefreshRequest>(runRefresh, 60),
};

/** Serves one worker on a loopback port. */
export class WorkerServer {
	static async create(vmId: string): Promise<WorkerServer> {
		const server = new WorkerServer(vmId);
		await server.#listen();
		return server;
	}

	readonly vmId: string;
	readonly runs: WorkerRun[] = [];
	#server: Server | undefined;
	#port = 0;

	private constructor(vmId: string) {
		this.vmId = vmId;
	}

	get port(): number {
		return this.#port;
	}

	async close(): Promise<void> {
		await new Promise(resolve => {
			this.#server?.close(resolve);
			this.#server?.closeAllConnections();
		});
	}

	async #listen(): Promise<void> {
		const app = this.#createApp();
		await new Promise<void>(resolve => {
			this.#server = serve({fetch: app.fetch, hostname: '127.0.0.1', port: 0}, info => {
				this.#port = info.port;
				resolve();
			}) as Server;
		});
	}

	#createApp(): Hono {
		const app = new Hono();
		app.get('/history', c => c.json(this.runs));
		app.post('/:work', async c => {
			const handler = workHandlers[c.req.param('work')];
			if (handler === undefined) {
				return c.json({error: `work "${c.req.param('work')}" does not exist`}, 404);
			}

			const run: WorkerRun = {
				vmId: this.vmId,
				requestKey: c.req.header('idempotency-key'),
				requestId: c.req.header('tamarackwind-request-id'),
				path: c.req.path,
				startedAt: Date.now(),
			};
			this.runs.push(run);
			const result = handler.run(await c.req.json());
			await delay(handler.durationMs);
			run.finishedAt = Date.now();
			return c.json(result as Record<string, unknown>, 200, {'tamarackwind-request-id': run.requestId ?? ''});
		});
		return app;
	}
}

/** Ports of the workers that a process serves, by VM. */
export type WorkerPorts = Readonly<Record<VmRecord['vmId'], number>>;
