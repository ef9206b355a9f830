/**
 * The duty to schedule: one entry holds it, runs the schedulers of all pools and looks after the fleet.
 */
import {
	readErrorMessage, type Clock, type RandomSource, type ServiceName, type VmId,
} from '@tamarackwind/core';
import {DutyLease, type WatchedTableService} from '@tamarackwind/clients';
import {type DecisionLog} from './decision-logs.js';
import {FleetKeeper} from './fleet-keepers.js';
import {schedulerDuty} from './layouts.js';
import {type DeclarationCodec, type OperatorWatch} from './operator-watches.js';
import {PoolScheduler} from './pool-schedulers.js';
import {
	type FleetControl, type PlacementAdvisor, type WorkerControl, type WorkerRegistry,
} from './workers.js';

export type SchedulerOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly tables: WatchedTableService;
	readonly operator: OperatorWatch;
	readonly codec: DeclarationCodec;
	readonly registry: WorkerRegistry;
	readonly control: WorkerControl;
	readonly advisor: PlacementAdvisor;
	readonly fleet: FleetControl;
	readonly log: DecisionLog;
	/** Name of this entry. */
	readonly holder: string;
	/** Processor time of this entry in cores; larger entries take the duty before smaller ones. */
	readonly cores: number;
	/** Time for which ended jobs are kept, in milliseconds. */
	readonly retentionMs: number;
	/** Least time between orders of two holders for one VM, in milliseconds. */
	readonly fleetLeaseMs: number;
	/** Time after which a VM that an order ended is back, in milliseconds. */
	readonly returnMs: number;
	/** Orders a second that the control of VMs accepts from all entries together. */
	readonly fleetOrdersPerS: number;
	/** Longest time that a lease of a worker may last, in milliseconds. */
	readonly maxLeaseMs: number;
};

/** What the holder tells all entries with each renewal. */
export type SchedulerNews = {
	/** Jobs of each queue that have not begun, by service; a service that the holder has not loaded yet is left out. */
	readonly waiting: Readonly<Record<ServiceName, Readonly<Record<string, number>>>>;
	/** Work of each pool that is submitted and not done, in milliseconds of the whole pool. */
	readonly backlogMs: Readonly<Record<string, number>>;
};

/** Time without a renewal after which another entry takes the duty, in milliseconds: above two renewals at a store sixty times slower. */
const termMs = 2400;
/** Pause between two looks of the holder at its lease, in milliseconds. */
const refreshMs = 400;
/** Longest wait for a change of another entry's duty, in milliseconds: well under the half of the term after which a gap is assumed. */
const followMs = 500;
/** Pause between two such waits, in milliseconds: changes that come together are read together. */
const followPauseMs = 10;
/** Time since its last renewal for which a holder goes on renewing the leases of what runs, in milliseconds: covers long outages of the store. */
const holdMs = 12_000;
/** Longest wait for a change of the registry, in milliseconds: bounds the age at which lost workers are asked about. */
const registryWaitMs = 300;
/** Pause between two such waits, in milliseconds: changes that come together are read together. */
const registryPauseMs = 20;
const clockSlackFactor = 1.03;

/** Takes part in the duty and does it while it is held. */
export class Scheduler {
	static create(options: SchedulerOptions): Scheduler {
		const scheduler = new Scheduler(options);
		void scheduler.#runDuty();
		void scheduler.#runRegistry();
		return scheduler;
	}

	readonly #options: SchedulerOptions;
	readonly #lease: DutyLease;
	readonly #pools = new Map<ServiceName, PoolScheduler>();
	readonly #opening = new Set<ServiceName>();
	#fleet: FleetKeeper | undefined;
	/** Epoch under which the pools are scheduled. */
	#epoch: number | undefined;
	#tookAt = 0;
	/** Whether the registry was read since all pools were opened. */
	#isRegistryRead = false;
	#isClosed = false;

	private constructor(options: SchedulerOptions) {
		this.#options = options;
		this.#lease = DutyLease.create({
			...options, duty: schedulerDuty, partition: schedulerDuty, termMs, isHolderUnique: true, describeNews: () => this.#describeNews(),
		});
	}

	get isHeld(): boolean {
		return this.#lease.isHeld;
	}

	get takeovers(): number {
		return this.#lease.takeovers;
	}

	get pools(): Iterable<PoolScheduler> {
		return this.#pools.values();
	}

	/** What the holder told last, with its age in milliseconds; `undefined` before the first word. */
	get news(): {readonly news: SchedulerNews; readonly ageMs: number} | undefined {
		if (this.#lease.isHeld) {
			return {news: this.#describeNews(), ageMs: 0};
		}

		const known = this.#lease.news;
		return known?.news === undefined
			? undefined
			: {news: known.news as SchedulerNews, ageMs: this.#options.clock.readMonotonic() - known.changedAt};
	}

	/** Gives the duty up, so that another entry takes it at once. */
	async close(): Promise<void> {
		this.#isClosed = true;
		const wasHeld = this.#epoch !== undefined;
		this.#closePools();
		if (wasHeld) {
			this.#options.log.info('duty released', {duty: schedulerDuty});
			await this.#lease.release();
		}
	}

	get #canOrder(): boolean {
		return !this.#isClosed && this.#lease.isHeld && this.#lease.epoch === this.#epoch;
	}

	get #isHoldAllowed(): boolean {
		const {renewedAt} = this.#lease;
		return !this.#isClosed && renewedAt !== undefined && this.#options.clock.readBoot() - renewedAt < holdMs;
	}

	async #runDuty(): Promise<void> {
		const {clock, log, tables} = this.#options;
		while (!this.#isClosed) {
			try {
				const isHeld = await this.#lease.watch(tables, followMs);
				this.#applyLease();
				await clock.sleep(isHeld ? refreshMs : followPauseMs);
			} catch (error) {
				log.warn('duty not refreshed', {duty: schedulerDuty, isHeld: this.#lease.isHeld, error: readErrorMessage(error)});
				await clock.sleep(refreshMs);
			}
		}
	}

	/** Starts or ends the work of the duty as the lease was taken or lost. */
	#applyLease(): void {
		const {log, clock, holder} = this.#options;
		const {epoch, renewedAt} = this.#lease;
		if (renewedAt === undefined && this.#epoch !== undefined) {
			log.warn('duty lost', {duty: schedulerDuty, epoch: this.#epoch});
			this.#closePools();
		} else if (epoch !== undefined && epoch !== this.#epoch && !this.#isClosed) {
			this.#closePools();
			this.#epoch = epoch;
			this.#tookAt = clock.readMonotonic();
			log.info('duty taken', {duty: schedulerDuty, epoch, holder});
			this.#fleet = FleetKeeper.create({
				...this.#options,
				epoch,
				canOrder: () => this.#canOrder,
				isReady: () => this.#isRegistryRead,
				getCheck: () => this.#canOrder ? this.#lease.check : undefined,
				listPools: () => [...this.#pools.values()],
			});
		}

		this.#openPools();
	}

	#openPools(): void {
		const {operator} = this.#options;
		if (this.#epoch === undefined || !this.#canOrder) {
			return;
		}

		for (const {name} of operator.configuration?.pools ?? []) {
			if (!this.#pools.has(name) && !this.#opening.has(name)) {
				void this.#openPool(name, this.#epoch);
			}
		}
	}

	async #openPool(service: ServiceName, epoch: number): Promise<void> {
		const {log, maxLeaseMs} = this.#options;
		this.#opening.add(service);
		const pool = PoolScheduler.create({
			...this.#options,
			service,
			epoch,
			canOrder: () => this.#canOrder && this.#epoch === epoch,
			isHoldAllowed: () => this.#isHoldAllowed && this.#epoch === epoch,
			unknownUntil: this.#tookAt + (holdMs - termMs) + (maxLeaseMs * clockSlackFactor),
			onLost: () => {
				this.#closePools();
			},
		});
		try {
			await pool.open();
			if (this.#epoch === epoch) {
				this.#pools.set(service, pool);
			} else {
				pool.close();
			}
		} catch (error) {
			pool.close();
			log.warn('service not opened', {service, epoch, error: readErrorMessage(error)});
		} finally {
			this.#opening.delete(service);
		}
	}

	#closePools(): void {
		this.#epoch = undefined;
		this.#isRegistryRead = false;
		this.#fleet?.close();
		this.#fleet = undefined;
		for (const pool of this.#pools.values()) {
			pool.close();
		}

		this.#pools.clear();
	}

	async #runRegistry(): Promise<void> {
		const {clock, log} = this.#options;
		while (!this.#isClosed) {
			try {
				await (this.#pools.size > 0 ? this.#updateWorkers() : clock.sleep(registryPauseMs));
				await clock.sleep(registryPauseMs);
			} catch (error) {
				log.warn('workers not listed', {error: readErrorMessage(error)});
				await clock.sleep(registryWaitMs);
			}
		}
	}

	async #updateWorkers(): Promise<void> {
		const epoch = this.#epoch;
		const areAllOpen = (this.#options.operator.configuration?.pools ?? []).every(({name}) => this.#pools.has(name));
		const records = await this.#options.registry.watchWorkers(this.#isRegistryRead ? registryWaitMs : 1);
		for (const pool of this.#pools.values()) {
			pool.updateWorkers(records.filter(record => record.pool as string === pool.service as string));
		}

		this.#isRegistryRead ||= areAllOpen && epoch !== undefined && epoch === this.#epoch;
		await this.#endDeadLives();
	}

	/** Asks the control of VMs about workers that can't be reached: one whose VM is down runs nothing any more. */
	async #endDeadLives(): Promise<void> {
		const lost = [...this.#pools.values()].flatMap(pool => pool.listLostWorkers());
		if (lost.length > 0) {
			const alive = new Set((await this.#options.fleet.listVms()).filter(vm => vm.state === 'up').map(vm => vm.worker));
			const dead = new Set<VmId>(lost.filter(id => !alive.has(id)));
			for (const pool of dead.size > 0 ? this.#pools.values() : []) {
				pool.endLives(dead);
			}
		}
	}

	#describeNews(): SchedulerNews {
		const waiting: Record<ServiceName, Record<string, number>> = {};
		const backlogMs: Record<string, number> = {};
		for (const pool of this.#pools.values()) {
			waiting[pool.service] = Object.fromEntries(pool.countWaiting());
			const {work, cpu} = pool.describeLoad();
			backlogMs[pool.service] = Math.round(work / Math.max(1, cpu));
		}

		return {waiting, backlogMs};
	}
}
