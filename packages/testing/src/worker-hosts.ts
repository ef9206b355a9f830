/**
 * Upstream workers of both deployments that do real work and keep a history, several in one process.
 */
import {type Server} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {serve} from '@hono/node-server';
import {type VmRecord} from '@tamarackwind/clients';
import {Hono} from 'hono';
import {
	buildPublication, buildRedraw, buildSeason, type PublicationRequest, type RedrawRequest, type SeasonRequest,
} from './leagues.js';
import {
	runCell, runRefit, runRefresh, type CellRequest, type RefitRequest, type RefreshRequest,
} from './notebooks.js';
import {type WorkerRun} from './workers.js';

type Work = {
	readonly run: (request: unknown) => unknown;
	/** Time that the work takes beside its computation, in milliseconds. */
	readonly durationMs: number;
};

function defineWork<Request>(run: (request: Request) => unknown, durationMs: number): Work {
	return {run: request => run(request as Request), durationMs};
}

const works: Readonly<Record<string, Work>> = {
	seasons: defineWork<SeasonRequest>(buildSeason, 300),
	redraws: defineWork<RedrawRequest>(buildRedraw, 60),
	publications: defineWork<PublicationRequest>(buildPublication, 40),
	cells: defineWork<CellRequest>(runCell, 30),
	refits: defineWork<RefitRequest>(runRefit, 250),
	refreshes: defineWork<RefreshRequest>(runRefresh, 60),
};

/** One worker of a deployment on a loopback port. */
export class WorkerHost {
	static async create(vmId: string): Promise<WorkerHost> {
		const host = new WorkerHost(vmId);
		await host.#listen();
		return host;
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
			const work = works[c.req.param('work')];
			if (work === undefined) {
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
			const answer = work.run(await c.req.json());
			await delay(work.durationMs);
			run.finishedAt = Date.now();
			return c.json(answer as Record<string, unknown>, 200, {'tamarackwind-request-id': run.requestId ?? ''});
		});
		return app;
	}
}

/** Ports of the workers that a host process started, by VM. */
export type HostedPorts = Readonly<Record<VmRecord['vmId'], number>>;
