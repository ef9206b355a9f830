/**
 * The entry daemon: opens the ports, and closes them again.
 */
import {type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {serve} from '@hono/node-server';
import {
	Log, SystemClock, SystemRandom,
} from '@tamarackwind/core';
import {HttpTableService, HttpVmList, PlatformConnection} from '@tamarackwind/platform';
import {Hono} from 'hono';
import {Registry, collectDefaultMetrics} from 'prom-client';
import {createCallerApp} from './callers.js';
import {type EntryConfig} from './configs.js';
import {Upstreams} from './upstreams.js';
import {View} from './views.js';

type FetchApp = Parameters<typeof serve>[0]['fetch'];

/** Ports that an entry listens on. */
export type EntryPorts = {readonly caller: number; readonly metrics: number};

/**
 * One running entry.
 *
 * @example
 * const entry = await Entry.create(await loadEntryConfig('entry.jsonc'));
 * await entry.close();
 */
export class Entry {
	static async create(config: EntryConfig): Promise<Entry> {
		const log = Log.create({format: config.log.format, fields: {entry: config.entryId}});
		const clock = SystemClock.create();
		const connection = PlatformConnection.create({url: config.platform.url, timeoutMs: config.platform.timeoutMs});
		const view = View.create({
			clock, log, tables: HttpTableService.create(connection), vmList: HttpVmList.create(connection), deployment: config.deployment,
		});
		const upstreams = Upstreams.create(64);
		const callerApp = createCallerApp({random: SystemRandom.create(), upstreams, view});
		const callerServer = await listenOn(callerApp.fetch, config.caller);
		const metricsServer = await listenOn(createMetricsApp(view).fetch, config.metrics);
		log.info('entry started', {...readPorts(callerServer, metricsServer)});
		return new Entry([callerServer, metricsServer], async () => {
			await view.close();
			await upstreams.close();
			await connection.close();
			log.info('entry stopped');
		});
	}

	readonly #servers: readonly [Server, Server];
	readonly #closeParts: () => Promise<void>;

	private constructor(servers: readonly [Server, Server], closeParts: () => Promise<void>) {
		this.#servers = servers;
		this.#closeParts = closeParts;
	}

	get ports(): EntryPorts {
		return readPorts(...this.#servers);
	}

	/** Stops taking connections, waits for requests in flight and releases everything. */
	async close(): Promise<void> {
		await Promise.all(this.#servers.map(async server => closeServer(server)));
		await this.#closeParts();
	}
}

async function listenOn(fetch: FetchApp, {host, port}: {readonly host: string; readonly port: number}): Promise<Server> {
	return new Promise((resolve, reject) => {
		const server = serve({fetch, hostname: host, port}, () => {
			resolve(server);
		}) as Server;
		server.once('error', reject);
	});
}

async function closeServer(server: Server): Promise<void> {
	await new Promise(resolve => {
		server.close(resolve);
		server.closeIdleConnections();
	});
}

function readPorts(caller: Server, metrics: Server): EntryPorts {
	return {caller: (caller.address() as AddressInfo).port, metrics: (metrics.address() as AddressInfo).port};
}

function createMetricsApp(view: View): Hono {
	const registry = new Registry();
	collectDefaultMetrics({register: registry});
	const app = new Hono();
	app.get('/metrics', async ctx => ctx.text(await registry.metrics(), 200, {'content-type': registry.contentType}));
	app.get('/healthz', ctx => ctx.text('ok'));
	app.get('/readyz', ctx => view.settings === undefined ? ctx.text('settings were not read yet', 503) : ctx.text('ok'));
	return app;
}
