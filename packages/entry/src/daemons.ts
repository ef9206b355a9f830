/**
 * The entry daemon: opens all ports, and shuts them down gracefully.
 */
import {FairScheduler} from '@tamarackwind/admission';
import {type EntryId} from '@tamarackwind/core';
import {CallerPort} from './caller-ports.js';
import {ClaimCleaner} from './claim-cleaners.js';
import {ClaimStore} from './claims.js';
import {type EntryConfig} from './configs.js';
import {createEntryContext, type EntryContext} from './contexts.js';
import {FleetService} from './fleet-services.js';
import {createJobRoutes} from './job-routes.js';
import {JobService} from './job-services.js';
import {Listener} from './listeners.js';
import {createFleetAuditEntry} from './operator-identities.js';
import {createMetricsApp} from './metrics.js';
import {createOperatorApp} from './operator-ports.js';
import {ReceiptSigner, loadReceiptKey} from './receipts.js';
import {handleParserErrors} from './parser-errors.js';
import {RequestMetrics} from './request-metrics.js';
import {Upstreams} from './upstreams.js';

/** Port numbers that an entry listens on. */
export type EntryPorts = {readonly caller: number; readonly operator: number; readonly peer: number; readonly metrics: number};

export type CloseOptions = {
	/** Ends the wait for requests in flight, which are then aborted. */
	readonly signal?: AbortSignal;
};

/** Result of the shutdown of an entry. */
export type CloseReport = {
	/** Number of requests in flight that were aborted. */
	readonly cutRequests: number;
};

type Listeners = {readonly caller: Listener; readonly operator: Listener; readonly metrics: Listener};

type DataPlane = {
	readonly port: CallerPort;
	readonly claims: ClaimStore;
	readonly metrics: RequestMetrics;
	readonly fleetService: FleetService;
	readonly upstreams: Upstreams;
	readonly cleaner: ClaimCleaner;
	readonly jobs: JobService;
};

/** Interval at which idle connections are closed during shutdown, in milliseconds. */
const idleCheckIntervalMs = 50;
/** Longest wait for pending writes of claims, in milliseconds. */
const claimFlushTimeoutMs = 5000;

/**
 * A running entry.
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
		const dataPlane = createDataPlane(ctx, receiptKey, jobs);
		const entry = new Entry(ctx, dataPlane, {
			caller: await Listener.create(dataPlane.port.app, config.caller, ctx.log),
			operator: await Listener.create(createOperatorApp(ctx, {fleetService: dataPlane.fleetService, jobs}), config.operator, ctx.log),
			metrics: await Listener.create(createMetricsApp(ctx, () => dataPlane.port.isClosing), config.metrics, ctx.log),
		});
		handleParserErrors(entry.#listeners.caller.server);
		ctx.log.info('entry started', entry.ports);
		return entry;
	}

	readonly #ctx: EntryContext;
	readonly #dataPlane: DataPlane;
	readonly #listeners: Listeners;

	private constructor(ctx: EntryContext, dataPlane: DataPlane, listeners: Listeners) {
		this.#ctx = ctx;
		this.#dataPlane = dataPlane;
		this.#listeners = listeners;
	}

	get ports(): EntryPorts {
		const {caller, operator, metrics} = this.#listeners;
		return {
			caller: caller.port, operator: operator.port, peer: this.#ctx.bus.port, metrics: metrics.port,
		};
	}

	/**
	 * Shuts down gracefully: fails the readiness check, refuses new connections after the load balancer has had time to
	 * notice, waits for requests in flight, and closes all components.
	 */
	async close({signal}: CloseOptions = {}): Promise<CloseReport> {
		const {config, clock, log} = this.#ctx;
		log.info('entry stopping', {inFlight: this.#dataPlane.port.inFlight});
		this.#dataPlane.port.drain();
		this.#ctx.markStopping();
		await this.#dataPlane.fleetService.closePlanner();
		await clock.sleep(config.balancerDelayMs, signal);
		const cutRequests = await this.#drainCallers(signal);
		await this.#dataPlane.claims.close(claimFlushTimeoutMs);
		await this.#dataPlane.cleaner.close();
		await this.#dataPlane.jobs.close();
		await this.#dataPlane.fleetService.scheduler.close();
		await this.#dataPlane.upstreams.close();
		await this.#dataPlane.fleetService.close();
		await Promise.all([this.#listeners.operator.close(), this.#listeners.metrics.close()]);
		await this.#ctx.close();
		log.info('entry stopped', {cutRequests});
		return {cutRequests};
	}

	/** Closes the caller port and returns the number of requests that were aborted. */
	async #drainCallers(signal: AbortSignal | undefined): Promise<number> {
		const {config, clock} = this.#ctx;
		const {port, metrics} = this.#dataPlane;
		const {server} = this.#listeners.caller;
		const closed = this.#listeners.caller.close();
		const deadline = clock.readMonotonic() + config.shutdownTimeoutMs;
		while (port.inFlight > 0 && clock.readMonotonic() < deadline && signal?.aborted !== true) {
			await clock.sleep(idleCheckIntervalMs, signal);
			server.closeIdleConnections();
		}

		const cutRequests = port.inFlight;
		metrics.observeCut(cutRequests);
		if (cutRequests > 0) {
			await this.#dataPlane.upstreams.close();
		}

		// The remaining connections are idle, or carry incomplete requests that were never accepted.
		server.closeAllConnections();
		await closed;
		return cutRequests;
	}
}

function createDataPlane(ctx: EntryContext, receiptKey: Uint8Array | undefined, jobs: JobService): DataPlane {
	const {config, clock, random, platform, registry, fleet} = ctx;
	const {tables, objects} = platform;
	const metrics = RequestMetrics.create(registry);
	const upstreams = Upstreams.create(clock);
	const fleetService = FleetService.create({
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
		auditAction: async action => ctx.audit.createWrites(createFleetAuditEntry(action)),
	});
	const {scheduler} = fleetService;
	const claims = ClaimStore.create({
		clock,
		random,
		tables,
		objects,
		entryId: config.entryId as EntryId,
		onDuplicateRun() {
			metrics.observeDuplicateRun();
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
		port, claims, metrics, fleetService, upstreams, cleaner, jobs,
	};
}
