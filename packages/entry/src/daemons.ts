/**
 * The entry daemon: opens the ports, and closes them again.
 */
import {FairScheduler} from '@tamarackwind/admission';
import {type EntryId} from '@tamarackwind/core';
import {CallerPort} from './callers.js';
import {ClaimCleaner} from './claim-cleaners.js';
import {ClaimStore} from './claims.js';
import {type EntryConfig} from './configs.js';
import {createEntryContext, type EntryContext} from './contexts.js';
import {FleetPart} from './fleets.js';
import {createJobRoutes} from './job-routes.js';
import {JobService} from './jobs.js';
import {Listener} from './listeners.js';
import {createFleetEntry} from './operator-identities.js';
import {createMetricsApp} from './metrics.js';
import {createOperatorApp} from './operators.js';
import {ReceiptSigner, loadReceiptKey} from './receipts.js';
import {addRefusals} from './refusals.js';
import {RequestMetrics} from './request-metrics.js';
import {Upstreams} from './upstreams.js';

/** Ports that an entry listens on. */
export type EntryPorts = {readonly caller: number; readonly operator: number; readonly peer: number; readonly metrics: number};

export type CloseOptions = {
	/** Aborts the wait for requests in flight, which are then cut. */
	readonly signal?: AbortSignal;
};

/** How an entry stopped. */
export type CloseReport = {
	/** Requests in flight that were cut. */
	readonly cutRequests: number;
};

type Listeners = {readonly caller: Listener; readonly operator: Listener; readonly metrics: Listener};

type DataPath = {
	readonly port: CallerPort;
	readonly claims: ClaimStore;
	readonly metrics: RequestMetrics;
	readonly fleetPart: FleetPart;
	readonly upstreams: Upstreams;
	readonly cleaner: ClaimCleaner;
	readonly jobs: JobService;
};

/** Time between two looks for connections that have become idle, in milliseconds. */
const idleCheckMs = 50;
/** Longest wait for the ends of claims to be written, in milliseconds. */
const claimFlushMs = 5000;

/**
 * One running entry.
 *
 * @example
 * const entry = await Entry.create(await loadEntryConfig('entry.jsonc'));
 * await entry.close();
 */
export class Entry {
	static async create(config: EntryConfig): Promise<Entry> {
		const receiptKey = config.receiptKeyFile === undefined ? undefined : await loadReceiptKey(config.receiptKeyFile);
		const ctx = await createEntryContext(config);
		const jobs = JobService.create(ctx);
		const path = createDataPath(ctx, receiptKey, jobs);
		const entry = new Entry(ctx, path, {
			caller: await Listener.create(path.port.app, config.caller, ctx.log),
			operator: await Listener.create(createOperatorApp(ctx, {fleetPart: path.fleetPart, jobs}), config.operator, ctx.log),
			metrics: await Listener.create(createMetricsApp(ctx, () => path.port.isClosing), config.metrics, ctx.log),
		});
		addRefusals(entry.#listeners.caller.server);
		ctx.log.info('entry started', entry.ports);
		return entry;
	}

	readonly #ctx: EntryContext;
	readonly #path: DataPath;
	readonly #listeners: Listeners;

	private constructor(ctx: EntryContext, path: DataPath, listeners: Listeners) {
		this.#ctx = ctx;
		this.#path = path;
		this.#listeners = listeners;
	}

	get ports(): EntryPorts {
		const {caller, operator, metrics} = this.#listeners;
		return {
			caller: caller.port, operator: operator.port, peer: this.#ctx.bus.port, metrics: metrics.port,
		};
	}

	/**
	 * Fails the readiness check, takes no new connections once the balancer has had time to notice, waits for requests in
	 * flight and releases everything.
	 */
	async close({signal}: CloseOptions = {}): Promise<CloseReport> {
		const {config, clock, log} = this.#ctx;
		log.info('entry stopping', {inFlight: this.#path.port.inFlight});
		this.#path.port.drain();
		this.#ctx.markStopping();
		await this.#path.fleetPart.closePlanner();
		await clock.sleep(config.balancerDelayMs, signal);
		const cutRequests = await this.#drainCallers(signal);
		await this.#path.claims.close(claimFlushMs);
		await this.#path.cleaner.close();
		await this.#path.jobs.close();
		await this.#path.fleetPart.scheduler.close();
		await this.#path.upstreams.close();
		await this.#path.fleetPart.close();
		await Promise.all([this.#listeners.operator.close(), this.#listeners.metrics.close()]);
		await this.#ctx.close();
		log.info('entry stopped', {cutRequests});
		return {cutRequests};
	}

	/** Closes the caller port; gives the number of requests that had to be cut. */
	async #drainCallers(signal: AbortSignal | undefined): Promise<number> {
		const {config, clock} = this.#ctx;
		const {port, metrics} = this.#path;
		const {server} = this.#listeners.caller;
		const closed = this.#listeners.caller.close();
		const deadline = clock.readMonotonic() + config.shutdownTimeoutMs;
		while (port.inFlight > 0 && clock.readMonotonic() < deadline && signal?.aborted !== true) {
			await clock.sleep(idleCheckMs, signal);
			server.closeIdleConnections();
		}

		const cutRequests = port.inFlight;
		metrics.observeCut(cutRequests);
		if (cutRequests > 0) {
			await this.#path.upstreams.close();
		}

		// What is left are idle connections, and half-sent requests that were never accepted.
		server.closeAllConnections();
		await closed;
		return cutRequests;
	}
}

function createDataPath(ctx: EntryContext, receiptKey: Uint8Array | undefined, jobs: JobService): DataPath {
	const {config, clock, random, platform, registry, fleet} = ctx;
	const {tables, objects} = platform;
	const metrics = RequestMetrics.create(registry);
	const upstreams = Upstreams.create(clock);
	const fleetPart = FleetPart.create({
		ctx,
		scheduler: FairScheduler.create({
			clock,
			random,
			bus: ctx.bus,
			log: ctx.log,
			registry,
			listWorkers: pool => fleet.listWorkers(pool),
			listPools: () => ctx.settings.current?.pools.values() ?? [],
			countEntries: () => fleet.listEntries().length,
		}),
		barrier: ctx.barrier,
		listEntries: () => [ctx.bus.self.entryId, ...ctx.bus.listPeers().map(peer => peer.entryId)],
		auditAction: async action => ctx.audit.createWrites(createFleetEntry(action)),
	});
	const {scheduler} = fleetPart;
	const claims = ClaimStore.create({
		clock,
		random,
		tables,
		objects,
		entryId: config.entryId as EntryId,
		onDoubled() {
			metrics.observeDoubled();
		},
	});
	const cleaner = ClaimCleaner.create({
		clock, random, tables, objects, registry,
	});
	const receipts = receiptKey === undefined ? undefined : ReceiptSigner.create(receiptKey, clock);
	const countEntries = (): number => Math.max(1, fleet.listEntries().length);
	const port = CallerPort.create({
		countEntries, clock, random, lease: ctx.lease, scheduler, upstreams, metrics, claims, receipts, log: ctx.log, settings: ctx.settings, fleet, jobs: createJobRoutes(ctx, jobs),
	});
	return {
		port, claims, metrics, fleetPart, upstreams, cleaner, jobs,
	};
}
