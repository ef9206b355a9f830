/**
 * Competes for the scheduler lease. The entry that holds it runs the schedulers of all pools and maintains the fleet.
 */
import {
	readErrorMessage, type Clock, type PoolName, type RandomSource, type ServiceName, type VmId,
} from '@tamarackwind/core';
import {LeaderLease, type WatchableTableService} from '@tamarackwind/clients';
import {AccountLedger, type UnloadedServices} from './account-ledgers.js';
import {type RateLimitedLog} from './rate-limited-logs.js';
import {type Bounds} from './bounds.js';
import {FleetMaintainer} from './fleet-maintainers.js';
import {JobFeed} from './job-feeds.js';
import {type LoadMeter} from './load-meters.js';
import {type OverloadPolicy} from './overload-policies.js';
import {OverloadTerm, type KnownOverload, type OverloadStatus} from './overload-terms.js';
import {schedulerRole} from './table-keys.js';
import {type DeclarationCodec, type DeclarationWatcher} from './declaration-watchers.js';
import {PoolScheduler, type PoolSchedulerOptions} from './pool-schedulers.js';
import {type Timings} from './timings.js';
import {
	type FleetControl, type PlacementAdvisor, type WorkerControl, type WorkerRegistry,
} from './workers.js';

export type SchedulerOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly tables: WatchableTableService;
	readonly declarations: DeclarationWatcher;
	readonly codec: DeclarationCodec;
	readonly registry: WorkerRegistry;
	readonly control: WorkerControl;
	readonly advisor: PlacementAdvisor;
	readonly fleet: FleetControl;
	readonly log: RateLimitedLog;
	readonly meter: LoadMeter;
	/** Name of this entry, which identifies it as the holder. */
	readonly holder: string;
	/** CPU cores of this entry; entries with more cores acquire a vacant lease first. */
	readonly cores: number;
	/** Retention of ended jobs, in milliseconds. */
	readonly retentionMs: number;
	/** Rate limit of the VM control service for all entries together, in orders per second. */
	readonly fleetOrdersPerS: number;
	readonly bounds: Bounds;
	readonly timings: Timings;
	/** What is done when the capacity of a pool is insufficient; nothing by default. */
	readonly overloadPolicy?: OverloadPolicy;
	/** Called with the actual end of a job less its estimate, in milliseconds. */
	readonly onEstimateError?: (errorMs: number) => void;
};

/** Status that the holder publishes to all entries with each lease renewal. */
export type SchedulerStatus = {
	/** Jobs of each queue that have not started, by service; services that the holder has not loaded yet are omitted. */
	readonly waiting: Readonly<Record<ServiceName, Readonly<Record<string, number>>>>;
	/** Outstanding work of each pool, as the time in milliseconds that the whole pool needs for it. */
	readonly backlogMs: Readonly<Record<string, number>>;
	/** Overload of the pools, by which entries refuse submissions; omitted while nothing is refused. */
	readonly overload?: OverloadStatus;
};

/** Pause between two watches on the lease, in milliseconds: batches changes. */
const watchPauseMs = 10;
/** Time after its last renewal of the scheduler lease for which a holder continues to renew worker leases, in milliseconds: covers long outages of the store. */
const leaseRenewalGraceMs = 12_000;
/** Maximum wait of one watch on the registry, in milliseconds: bounds the delay before the VMs of lost workers are checked. */
const registryWaitMs = 300;
/** Pause between two watches on the registry, in milliseconds: batches changes. */
const registryPauseMs = 20;
/**
 * Time after the first pool of a term is known for which no VM is ordered while another pool is not, in milliseconds. Pools usually open
 * within some ten milliseconds of each other, and moves that are planned without one of them take VMs that it is about to need.
 */
const maxOpeningMs = 2000;
/** Share of a row's maximum size that the status may take; the rest is left to the renewal around it. */
const maxStatusShare = 0.75;
/** Time from which services that are not loaded are logged while they hold back accounts, in milliseconds: the users' limit for accepted work. */
const loggedUnloadedMs = 3000;
const clockSlackFactor = 1.03;

/** Competes for the scheduler lease and schedules jobs while this entry holds it. */
export class Scheduler {
	static create(options: SchedulerOptions): Scheduler {
		const scheduler = new Scheduler(options);
		void scheduler.#runElection();
		void scheduler.#runRegistry();
		return scheduler;
	}

	readonly #options: SchedulerOptions;
	readonly #lease: LeaderLease;
	readonly #pools = new Map<ServiceName, PoolScheduler>();
	/** Pools of the current term that are being opened. */
	#openingPools = new Set<ServiceName>();
	#fleetMaintainer: FleetMaintainer | undefined;
	#feed: JobFeed | undefined;
	/** Use and caps of the accounts; one ledger for each term. */
	#ledger: AccountLedger | undefined;
	#overload: OverloadTerm | undefined;
	/** Epoch under which this entry schedules; `undefined` while it does not. */
	#epoch: number | undefined;
	#acquiredAt = 0;
	/** Open pools for which the registry has been read since they were opened, so that their workers are known. */
	readonly #knownPools = new Set<PoolScheduler>();
	/** Time at which the registry was last read, on the monotonic clock. */
	#registryReadAt = Number.NEGATIVE_INFINITY;
	/** Time since which the first of them is known, on the monotonic clock; `undefined` before. */
	#knownSince: number | undefined;
	#isClosed = false;

	private constructor(options: SchedulerOptions) {
		this.#options = options;
		this.#lease = LeaderLease.create({
			...options, role: schedulerRole, partition: schedulerRole, termMs: options.timings.schedulerTermMs, isHolderUnique: true, describeHolderState: () => this.#describeStatus(),
		});
	}

	get isHeld(): boolean {
		return this.#lease.isHeld;
	}

	/** Services whose jobs this holder has not read, for which the starts of capped accounts wait; `undefined` if there are none. */
	get unloaded(): UnloadedServices | undefined {
		return this.#ledger?.unloaded;
	}

	get takeovers(): number {
		return this.#lease.takeovers;
	}

	get pools(): Iterable<PoolScheduler> {
		return this.#pools.values();
	}

	/** Last published status of the holder and its age in milliseconds; `undefined` before the first one. */
	get holderStatus(): {readonly status: SchedulerStatus; readonly ageMs: number} | undefined {
		if (this.#lease.isHeld) {
			return {status: this.#describeStatus(), ageMs: 0};
		}

		const known = this.#lease.observedState;
		return known?.holderState === undefined
			? undefined
			: {status: known.holderState as SchedulerStatus, ageMs: this.#options.clock.readMonotonic() - known.changedAt};
	}

	/** Overload of the pools that the current holder published last; `undefined` while there is none. */
	get overload(): KnownOverload | undefined {
		if (this.#lease.isHeld) {
			return this.#overload?.known;
		}

		const known = this.#lease.observedState;
		const status = (known?.holderState as SchedulerStatus | undefined)?.overload;
		return known === undefined || status === undefined || known.holder === '' || status.epoch !== known.epoch
			? undefined
			: {status, ageMs: this.#options.clock.readMonotonic() - known.changedAt};
	}

	/** Releases the scheduler lease, so that another entry can acquire it immediately. */
	async close(): Promise<void> {
		this.#isClosed = true;
		const wasHeld = this.#epoch !== undefined;
		this.#closePools();
		if (wasHeld) {
			this.#options.log.info('duty released', {duty: schedulerRole});
			await this.#lease.release();
		}
	}

	get #canOrder(): boolean {
		return !this.#isClosed && this.#lease.isHeld && this.#lease.epoch === this.#epoch;
	}

	get #isRenewalAllowed(): boolean {
		const {renewedAt} = this.#lease;
		return !this.#isClosed && renewedAt !== undefined && this.#options.clock.readBootTime() - renewedAt < leaseRenewalGraceMs;
	}

	/** Time by which every run that an earlier holder started on an unreachable worker has ended, on the monotonic clock. */
	get #earlierRunsEndBy(): number {
		const {bounds, timings} = this.#options;
		return this.#acquiredAt + (leaseRenewalGraceMs - timings.schedulerTermMs) + (bounds.maxWorkerLeaseMs * clockSlackFactor);
	}

	async #runElection(): Promise<void> {
		const {clock, log, tables, timings} = this.#options;
		const {schedulerWatchMs, schedulerRefreshMs} = timings;
		while (!this.#isClosed) {
			try {
				const isHeld = await this.#lease.watch(tables, schedulerWatchMs);
				this.#applyLease();
				this.#logUnloaded();
				await clock.sleep(isHeld ? schedulerRefreshMs : watchPauseMs);
			} catch (error) {
				log.warn('duty not refreshed', {duty: schedulerRole, isHeld: this.#lease.isHeld, error: readErrorMessage(error)});
				await clock.sleep(schedulerRefreshMs);
			}
		}
	}

	/** Starts or stops scheduling after the lease was acquired or lost. */
	#applyLease(): void {
		const {log, clock, holder, overloadPolicy} = this.#options;
		const {epoch, renewedAt} = this.#lease;
		if (renewedAt === undefined && this.#epoch !== undefined) {
			log.warn('duty lost', {duty: schedulerRole, epoch: this.#epoch});
			this.#closePools();
		} else if (epoch !== undefined && epoch !== this.#epoch && !this.#isClosed) {
			this.#closePools();
			this.#epoch = epoch;
			this.#acquiredAt = clock.readMonotonic();
			log.info('duty taken', {duty: schedulerRole, epoch, holder});
			this.#ledger = AccountLedger.create({...this.#options, earlierRunsEndBy: this.#earlierRunsEndBy});
			this.#feed = JobFeed.create(this.#options);
			this.#overload = overloadPolicy === undefined ? undefined : OverloadTerm.create({...this.#options, policy: overloadPolicy, epoch});
			this.#fleetMaintainer = FleetMaintainer.create({
				...this.#options,
				epoch,
				canOrder: () => this.#canOrder,
				isReady: () => this.#isFleetReady,
				isPoolKnown: pool => this.#isPoolKnown(pool),
				getCheck: () => this.#canOrder ? this.#lease.check : undefined,
				listPools: () => [...this.#pools.values()],
				findPool: pool => this.#pools.get(pool as string as ServiceName),
				getRegistryReadAt: () => this.#registryReadAt,
			});
		}

		this.#openPools();
	}

	/** Logs the services for which the starts of capped accounts have waited for long. */
	#logUnloaded(): void {
		const {unloaded} = this;
		if (unloaded !== undefined && unloaded.ms >= loggedUnloadedMs) {
			this.#options.log.warn('starts of capped accounts wait for services that are not loaded', {services: unloaded.services, epoch: this.#epoch, ms: Math.round(unloaded.ms)});
		}
	}

	#openPools(): void {
		const {declarations} = this.#options;
		if (this.#epoch === undefined || this.#feed === undefined || this.#ledger === undefined || !this.#canOrder) {
			return;
		}

		for (const {name} of declarations.configuration?.pools ?? []) {
			if (!this.#pools.has(name) && !this.#openingPools.has(name)) {
				void this.#openPool(name, this.#epoch, {feed: this.#feed, ledger: this.#ledger});
			}
		}
	}

	async #openPool(service: ServiceName, epoch: number, shared: Pick<PoolSchedulerOptions, 'feed' | 'ledger'>): Promise<void> {
		const {log} = this.#options;
		const openingPools = this.#openingPools;
		openingPools.add(service);
		const pool = PoolScheduler.create({
			...this.#options,
			...shared,
			service,
			epoch,
			overload: this.#overload,
			getFleet: () => this.#epoch === epoch ? this.#fleetMaintainer?.fleet : undefined,
			canOrder: () => this.#canOrder && this.#epoch === epoch,
			isRenewalAllowed: () => this.#isRenewalAllowed && this.#epoch === epoch,
			earlierRunsEndBy: this.#earlierRunsEndBy,
			onLost: () => {
				this.#closePools();
			},
		});
		try {
			await pool.open();
			// The same epoch may have begun anew meanwhile, with another feed and ledger.
			if (this.#epoch === epoch && this.#ledger === shared.ledger) {
				this.#pools.set(service, pool);
			} else {
				pool.close();
			}
		} catch (error) {
			pool.close();
			log.warn('opening the service failed', {service, epoch, error: readErrorMessage(error)});
		} finally {
			openingPools.delete(service);
		}
	}

	#closePools(): void {
		this.#epoch = undefined;
		this.#knownPools.clear();
		this.#knownSince = undefined;
		this.#fleetMaintainer?.close();
		this.#fleetMaintainer = undefined;
		this.#feed?.close();
		this.#feed = undefined;
		this.#ledger = undefined;
		this.#overload = undefined;
		for (const pool of this.#pools.values()) {
			pool.close();
		}

		this.#pools.clear();
		this.#openingPools = new Set();
	}

	async #runRegistry(): Promise<void> {
		const {clock, log} = this.#options;
		while (!this.#isClosed) {
			try {
				await (this.#pools.size > 0 ? this.#updateWorkers() : clock.sleep(registryPauseMs));
				await clock.sleep(registryPauseMs);
			} catch (error) {
				log.warn('listing workers failed', {error: readErrorMessage(error)});
				await clock.sleep(registryWaitMs);
			}
		}
	}

	/** Whether VMs may be ordered: the tasks on the VMs of all pools are known, or the time in which pools usually open has passed since the first one was known. */
	get #isFleetReady(): boolean {
		if (this.#knownSince === undefined) {
			return false;
		}

		const isOpeningOver = this.#options.clock.readMonotonic() - this.#knownSince > maxOpeningMs;
		return isOpeningOver || this.#listConfiguredPools().every(name => this.#isPoolKnown(name));
	}

	#listConfiguredPools(): PoolName[] {
		return (this.#options.declarations.configuration?.pools ?? []).map(({name}) => name as string as PoolName);
	}

	/**
	 * Reports whether the tasks on the VMs of a pool are known: the pool is open and its workers are known. A pool that is not in the
	 * configuration is not opened, and has no tasks once the runs of earlier holders have ended.
	 */
	#isPoolKnown(pool: PoolName): boolean {
		const scheduler = this.#pools.get(pool as string as ServiceName);
		if (scheduler !== undefined) {
			return this.#knownPools.has(scheduler);
		}

		return !this.#listConfiguredPools().includes(pool) && this.#options.clock.readMonotonic() > this.#earlierRunsEndBy;
	}

	async #updateWorkers(): Promise<void> {
		const openPools = [...this.#pools.values()];
		const isSettled = openPools.every(pool => this.#knownPools.has(pool)) && this.#isFleetReady;
		const records = await this.#options.registry.watchWorkers(isSettled ? registryWaitMs : 1);
		this.#registryReadAt = this.#options.clock.readMonotonic();
		this.#options.meter.track('update workers', () => {
			for (const pool of this.#pools.values()) {
				pool.updateWorkers(records.filter(record => record.pool as string === pool.service as string));
			}
		});

		for (const pool of openPools.filter(known => this.#pools.get(known.service) === known)) {
			this.#knownPools.add(pool);
			this.#knownSince ??= this.#options.clock.readMonotonic();
		}

		await this.#endDeadWorkers();
	}

	/** Looks up the VMs of unreachable workers; a worker whose VM is down has no runs left. */
	async #endDeadWorkers(): Promise<void> {
		const lostWorkers = [...this.#pools.values()].flatMap(pool => pool.listLostWorkers());
		if (lostWorkers.length > 0) {
			const askedAt = this.#options.clock.readMonotonic();
			const alive = new Set((await this.#options.fleet.listVms()).filter(vm => vm.state === 'up').map(vm => vm.worker));
			const dead = new Set<VmId>(lostWorkers.filter(id => !alive.has(id)));
			for (const pool of dead.size > 0 ? this.#pools.values() : []) {
				pool.endIncarnations(dead, askedAt);
			}
		}
	}

	#describeStatus(): SchedulerStatus {
		const waiting: Record<ServiceName, Record<string, number>> = {};
		const backlogMs: Record<string, number> = {};
		for (const pool of this.#pools.values()) {
			waiting[pool.service] = Object.fromEntries(pool.countWaitingJobs());
			const {work, cpu} = pool.computeLoad();
			backlogMs[pool.service] = Math.round(work / Math.max(1, cpu));
		}

		const overload = this.#overload?.describe([...this.#pools.values()], service => this.#fleetMaintainer?.getIncomingCpu(service as string as PoolName) ?? 0);
		const status = {waiting, backlogMs, ...(overload === undefined ? {} : {overload})};
		const {valueBytes} = this.#options.tables.limits;
		if (overload !== undefined && JSON.stringify(status).length > valueBytes * maxStatusShare) {
			this.#options.log.warn('overload of the pools is too large to publish', {pools: this.#pools.size, limit: valueBytes});
			delete status.overload;
			this.#overload?.revoke();
		}

		if (JSON.stringify(status).length > valueBytes * maxStatusShare) {
			this.#options.log.warn('status of the holder is too large to publish', {pools: this.#pools.size, limit: valueBytes});
			return {waiting: {}, backlogMs: {}};
		}

		return status;
	}
}
