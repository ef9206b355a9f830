/**
 * In-process fake of the platform over HTTP: table service, object store, VM list, reboots and task control, with fault injection.
 */
import {type Server} from 'node:http';
import {type Socket, type AddressInfo} from 'node:net';
import {serve, type HttpBindings} from '@hono/node-server';
import {SystemClock, VerdictError} from '@tamarackwind/core';
import {
	FaultInjector, MemoryObjectStore, MemoryTableService, type Faults, type RowKey, type ScanOptions, type Transaction, type VmRecord,
} from '@tamarackwind/clients';
import {Hono, type Context} from 'hono';
import {VmListingHistory, type TransformVms} from './vm-listings.js';
import {FakeTaskRunner, createTaskApp} from './fake-task-runners.js';

export type FakePlatformOptions = {
	readonly port?: number;
	/** Delay after which a change appears in the VM list, in milliseconds. */
	readonly listLagMs?: number;
	/** Duration of a reboot, in milliseconds. */
	readonly rebootMs?: number;
};

/** How a VM behaves in its next reboots. */
export type RebootBehavior = {
	readonly afterMs?: number;
	/** Whether the VM never returns from the reboot. */
	readonly isLost?: boolean;
};

/** Faults to inject into each service of the fake platform. */
export type FakePlatformFaults = {readonly tables?: Faults; readonly objects?: Faults; readonly vms?: Faults};

const defaultRebootMs = 500;

/** Serves the fake platform on a loopback port. */
export class FakePlatform {
	static async create(options: FakePlatformOptions = {}): Promise<FakePlatform> {
		const platform = new FakePlatform(options);
		platform.#port = await platform.#listen(options.port ?? 0);
		return platform;
	}

	readonly tables = MemoryTableService.create();
	readonly objects = MemoryObjectStore.create();
	readonly vmFaults = FaultInjector.create();
	readonly tasks = FakeTaskRunner.create({
		clock: SystemClock.create(), objects: this.objects, checkpointIntervalMs: 500, usageLagMs: 500,
	});

	readonly #vms = new Map<string, VmRecord>();
	/** Reboots started so far, in order. */
	readonly reboots: Array<{readonly vmId: string; readonly token: string}> = [];
	/** Called when a VM stops for a reboot and when it runs again. */
	onReboot: (vmId: string, isRunning: boolean) => void = () => {};
	readonly #rebootMs: number;
	readonly #rebootBehaviors = new Map<string, RebootBehavior>();
	readonly #rebootTokens = new Set<string>();
	readonly #rebootTimers = new Set<NodeJS.Timeout>();
	readonly #listings: VmListingHistory;
	readonly #servers: Server[] = [];
	readonly #sockets = new Set<Socket>();
	#closedSocketBytes = 0;
	readonly #transformsByPort = new Map<number, TransformVms>();
	#port = 0;

	private constructor({listLagMs, rebootMs}: FakePlatformOptions) {
		this.#listings = VmListingHistory.create(listLagMs ?? 0);
		this.#rebootMs = rebootMs ?? defaultRebootMs;
	}

	/** Bytes received and sent on all connections so far. */
	get bytes(): number {
		let sum = this.#closedSocketBytes;
		for (const socket of this.#sockets) {
			sum += socket.bytesRead + socket.bytesWritten;
		}

		return sum;
	}

	get url(): string {
		return `http://127.0.0.1:${this.#port}`;
	}

	/** Adds VMs to the VM list or replaces them. */
	putVms(vms: readonly VmRecord[]): void {
		for (const vm of vms) {
			this.#vms.set(vm.vmId, vm);
		}

		this.#listings.record([...this.#vms.values()]);
	}

	removeVm(vmId: string): void {
		this.#vms.delete(vmId);
		this.#listings.record([...this.#vms.values()]);
	}

	/** Sets how a VM behaves in its next reboots. */
	setRebootBehavior(vmId: string, behavior: RebootBehavior): void {
		this.#rebootBehaviors.set(vmId, behavior);
	}

	/** Starts a reboot, unless the VM is unknown or the token was used before. */
	rebootVm(vmId: string, token: string): void {
		const vm = this.#vms.get(vmId);
		if (vm === undefined || this.#rebootTokens.has(token)) {
			return;
		}

		this.#rebootTokens.add(token);
		this.reboots.push({vmId, token});
		this.onReboot(vmId, false);
		this.putVms([{...vm, state: 'rebooting'}]);
		const {afterMs = this.#rebootMs, isLost = false} = this.#rebootBehaviors.get(vmId) ?? {};
		if (!isLost) {
			const timer = setTimeout(() => {
				this.#rebootTimers.delete(timer);
				this.onReboot(vmId, true);
				this.putVms([{...vm, incarnation: `${Number(vm.incarnation) + 1}`, state: 'live'}]);
			}, afterMs);
			this.#rebootTimers.add(timer);
		}
	}

	setFaults({tables, objects, vms}: FakePlatformFaults): void {
		this.tables.faults.setFaults(tables ?? {});
		this.objects.faults.setFaults(objects ?? {});
		this.vmFaults.setFaults(vms ?? {});
	}

	/** Opens another port, on which `transformVms` is applied to the VM list. */
	async openPort(transformVms: TransformVms): Promise<number> {
		const port = await this.#listen(0);
		this.#transformsByPort.set(port, transformVms);
		return port;
	}

	async close(): Promise<void> {
		for (const timer of this.#rebootTimers) {
			clearTimeout(timer);
		}

		await Promise.all(this.#servers.map(async server => new Promise(resolve => {
			server.close(resolve);
			server.closeAllConnections();
		})));
	}

	async #listen(port: number): Promise<number> {
		const app = this.#createApp();
		return new Promise<number>(resolve => {
			const server = serve({fetch: app.fetch, hostname: '127.0.0.1', port}, info => {
				resolve(info.port);
			}) as Server;
			server.on('connection', socket => {
				this.#trackSocket(socket);
			});
			this.#servers.push(server);
		});
	}

	#trackSocket(socket: Socket): void {
		this.#sockets.add(socket);
		socket.once('close', () => {
			this.#sockets.delete(socket);
			this.#closedSocketBytes += socket.bytesRead + socket.bytesWritten;
		});
	}

	#createApp(): Hono<{Bindings: HttpBindings}> {
		const app = new Hono<{Bindings: HttpBindings}>();
		app.onError((error, ctx) => createErrorResponse(error, ctx));
		app.post('/tables/read', async ctx => {
			const {keys} = await ctx.req.json<{keys: RowKey[]}>();
			const rows = await this.tables.getRows(keys);
			return ctx.json({rows: rows.map(row => row ?? null)});
		});
		app.post('/tables/scan', async ctx => {
			const {table, ...options} = await ctx.req.json<ScanOptions & {table: string}>();
			return ctx.json({rows: await this.tables.scanRows(table, options)});
		});
		app.post('/tables/commit', async ctx => ctx.json(await this.tables.commit(await ctx.req.json<Transaction>())));
		app.put('/objects/:name', async ctx => {
			const bytes = new Uint8Array(await ctx.req.arrayBuffer());
			const isStored = await this.objects.putObject(ctx.req.param('name'), bytes, {ifAbsent: ctx.req.query('if-absent') === '1'});
			return ctx.body(null, isStored ? 204 : 412);
		});
		app.get('/objects/:name', async ctx => {
			const bytes = await this.objects.getObject(ctx.req.param('name'));
			return bytes === undefined ? ctx.notFound() : ctx.body(new Uint8Array(bytes));
		});
		app.delete('/objects/:name', async ctx => {
			await this.objects.deleteObject(ctx.req.param('name'));
			return ctx.body(null, 204);
		});
		app.get('/objects', async ctx => ctx.json({names: await this.objects.listObjects(ctx.req.query('prefix') ?? '')}));
		app.get('/vms', async ctx => {
			await this.vmFaults.applyBeforeCall();
			const transformVms = this.#transformsByPort.get(ctx.env.incoming.socket.localPort ?? 0);
			if (transformVms !== undefined) {
				const {generation, vms} = this.#listings.read();
				return ctx.json({generation, vms: transformVms(vms)});
			}

			const since = ctx.req.query('since');
			return ctx.json(since === undefined ? this.#listings.read() : this.#listings.readChange(Number(since)));
		});
		app.post('/vms/:vm/reboot', async ctx => {
			await this.vmFaults.applyBeforeCall();
			const {token} = await ctx.req.json<{token: string}>();
			this.rebootVm(ctx.req.param('vm'), token);
			this.vmFaults.applyAfterWrite();
			return ctx.body(null, 202);
		});
		app.route('/', createTaskApp(this.tasks));
		app.post('/stand-in/vms', async ctx => {
			this.putVms(await ctx.req.json<VmRecord[]>());
			return ctx.body(null, 204);
		});
		app.post('/stand-in/faults', async ctx => {
			this.setFaults(await ctx.req.json<FakePlatformFaults>());
			return ctx.body(null, 204);
		});
		return app;
	}
}

function createErrorResponse(error: Error, ctx: Context): Response {
	if (error instanceof VerdictError && error.verdict === 'not-run') {
		return ctx.json({error: error.message}, 503);
	}

	if (error instanceof VerdictError) {
		return ctx.json({error: error.message}, 500);
	}

	return ctx.json({error: error.message}, 400);
}
