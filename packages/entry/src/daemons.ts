/**
 * The entry daemon: opens the ports, and closes them again.
 */
import {NaiveScheduler} from '@tamarackwind/admission';
import {type EntryId} from '@tamarackwind/core';
import {SoleEntryBarrier} from '@tamarackwind/peer';
import {createCallerApp} from './callers.js';
import {type EntryConfig} from './configs.js';
import {createEntryContext, type EntryContext} from './contexts.js';
import {FleetPart} from './fleets.js';
import {Listener} from './listeners.js';
import {createMetricsApp} from './metrics.js';
import {createOperatorApp} from './operators.js';
import {Upstreams} from './upstreams.js';

/** Ports that an entry listens on. */
export type EntryPorts = {readonly caller: number; readonly operator: number; readonly metrics: number};

type Closers = {
	/** Lets another entry carry on with waves and moves. */
	readonly closePlanner: () => Promise<void>;
	/** Releases what requests in flight need. */
	readonly closeParts: () => Promise<void>;
};

type Listeners = {readonly caller: Listener; readonly operator: Listener; readonly metrics: Listener};

/**
 * One running entry.
 *
 * @example
 * const entry = await Entry.create(await loadEntryConfig('entry.jsonc'));
 * await entry.close();
 */
export class Entry {
	static async create(config: EntryConfig): Promise<Entry> {
		const ctx = createEntryContext(config);
		const upstreams = Upstreams.create();
		const fleetPart = FleetPart.create({
			ctx,
			scheduler: NaiveScheduler.create({random: ctx.random, listWorkers: pool => ctx.fleet.listWorkers(pool)}),
			barrier: SoleEntryBarrier.create(ctx.versions),
			listEntries: () => [config.entryId as EntryId],
			auditAction: async () => ({checks: [], writes: []}),
		});
		const {scheduler} = fleetPart;
		const listeners = {
			caller: await Listener.create(createCallerApp({ctx, upstreams, scheduler}), config.caller),
			operator: await Listener.create(createOperatorApp(ctx, fleetPart), config.operator),
			metrics: await Listener.create(createMetricsApp(ctx), config.metrics),
		};
		const entry = new Entry(ctx, listeners, {
			closePlanner: async () => fleetPart.closePlanner(),
			async closeParts() {
				await scheduler.close();
				await upstreams.close();
				await fleetPart.close();
			},
		});
		ctx.log.info('entry started', entry.ports);
		return entry;
	}

	readonly #ctx: EntryContext;
	readonly #listeners: Listeners;
	readonly #closers: Closers;

	private constructor(ctx: EntryContext, listeners: Listeners, closers: Closers) {
		this.#ctx = ctx;
		this.#listeners = listeners;
		this.#closers = closers;
	}

	get ports(): EntryPorts {
		const {caller, operator, metrics} = this.#listeners;
		return {caller: caller.port, operator: operator.port, metrics: metrics.port};
	}

	/** Takes no new connections, waits for requests in flight and releases everything. */
	async close(): Promise<void> {
		await this.#closers.closePlanner();
		await Promise.all(Object.values(this.#listeners).map(async (listener: Listener) => listener.close()));
		await this.#closers.closeParts();
		await this.#ctx.close();
		this.#ctx.log.info('entry stopped');
	}
}
