/**
 * The entry daemon: opens the ports, and closes them again.
 */
import {NaiveScheduler} from '@tamarackwind/admission';
import {createCallerApp} from './callers.js';
import {type EntryConfig} from './configs.js';
import {createEntryContext, type EntryContext} from './contexts.js';
import {Listener} from './listeners.js';
import {createMetricsApp} from './metrics.js';
import {createOperatorApp} from './operators.js';
import {Upstreams} from './upstreams.js';

/** Ports that an entry listens on. */
export type EntryPorts = {readonly caller: number; readonly operator: number; readonly peer: number; readonly metrics: number};

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
		const ctx = await createEntryContext(config);
		const upstreams = Upstreams.create();
		const scheduler = NaiveScheduler.create({random: ctx.random, listWorkers: pool => ctx.fleet.listWorkers(pool)});
		const listeners = {
			caller: await Listener.create(createCallerApp({ctx, upstreams, scheduler}), config.caller),
			operator: await Listener.create(createOperatorApp(ctx), config.operator),
			metrics: await Listener.create(createMetricsApp(ctx), config.metrics),
		};
		const entry = new Entry(ctx, listeners, async () => {
			await scheduler.close();
			await upstreams.close();
		});
		ctx.log.info('entry started', entry.ports);
		return entry;
	}

	readonly #ctx: EntryContext;
	readonly #listeners: Listeners;
	readonly #closeParts: () => Promise<void>;

	private constructor(ctx: EntryContext, listeners: Listeners, closeParts: () => Promise<void>) {
		this.#ctx = ctx;
		this.#listeners = listeners;
		this.#closeParts = closeParts;
	}

	get ports(): EntryPorts {
		const {caller, operator, metrics} = this.#listeners;
		return {
			caller: caller.port, operator: operator.port, peer: this.#ctx.bus.port, metrics: metrics.port,
		};
	}

	/** Takes no new connections, waits for requests in flight and releases everything. */
	async close(): Promise<void> {
		await Promise.all(Object.values(this.#listeners).map(async (listener: Listener) => listener.close()));
		await this.#closeParts();
		await this.#ctx.close();
		this.#ctx.log.info('entry stopped');
	}
}
