/**
 * Fair scheduler: divides the slots of each pool among classes, callers and entries.
 */
import {
	Loop, VerdictError, type CallerId, type Clock, type EntryId, type Log, type PoolName, type RandomSource, type VmId,
} from '@tamarackwind/core';
import {type PeerBus, type PoolDemand, type SlotLoan} from '@tamarackwind/peer';
import {type VmRecord} from '@tamarackwind/clients';
import {HealthTracker, LeavingVms, chooseHomeEntry} from '@tamarackwind/routing';
import {type ResolvedPool} from '@tamarackwind/settings';
import {type Registry} from 'prom-client';
import {match} from 'ts-pattern';
import {Borrower} from './borrowers.js';
import {Broker, WorkerDirectory} from './brokers.js';
import {PoolRetryBudgets} from './retry-budgets.js';
import {type RequestFlow} from './request-queues.js';
import {SchedulerMetrics} from './scheduler-metrics.js';
import {
	Scheduler, type DispatchOutcome, type SlotGrant, type SlotRequest,
} from './schedulers.js';

export type FairSchedulerOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly bus: PeerBus;
	readonly log: Log;
	readonly registry: Registry;
	/** Lists the workers of a pool that accept new work. */
	readonly listWorkers: (pool: PoolName) => readonly VmRecord[];
	/** Lists the current pools. */
	readonly listPools: () => Iterable<ResolvedPool>;
	/** Counts the entries that the platform lists. */
	readonly countEntries: () => number;
};

const updateIntervalMs = 50;
const healthFlushIntervalMs = 250;
/** Time for which a new broker lends nothing while entries report the slots that they hold, in milliseconds. */
const brokerRecoveryMs = 300;
const maxQueuedPerPool = 20_000;
const maxQueuedPerFlow = 4000;
/** Multiple of the remaining time that the estimated wait must exceed before a request is refused on arrival. */
const estimateTolerance = 1.1;
const maxRetryAfterSeconds = 60;
const retryAfterJitter = 0.5;
const secondMs = 1000;
const slotIdsPerSecond = 2 ** 16;

type Refusal = {readonly code: string; readonly message: string};

type PoolState = {
	pool: ResolvedPool;
	readonly borrower: Borrower;
	readonly retryBudgets: PoolRetryBudgets;
	broker: Broker | undefined;
	/** Whether the broker lends this entry its own share while the home entry is unresponsive. */
	hasFallbackBroker: boolean;
	/** Whether this entry, as the home entry, reached less than half of the listed entries at the last update. */
	isInMinority: boolean;
};

/** Provides brokers with the workers that are neither leaving nor set aside. */
class HealthWorkerDirectory extends WorkerDirectory {
	readonly #health: HealthTracker;
	readonly #listAvailable: (pool: ResolvedPool) => readonly VmRecord[];

	constructor(health: HealthTracker, listAvailable: (pool: ResolvedPool) => readonly VmRecord[]) {
		super();
		this.#health = health;
		this.#listAvailable = listAvailable;
	}

	override listUsable(pool: ResolvedPool): readonly VmRecord[] {
		return this.#listAvailable(pool).filter(vm => !this.#health.isSetAside(vm.vmId));
	}

	override isFailing(vmId: string): boolean {
		return this.#health.isFailing(vmId);
	}

	override listProbes(pool: ResolvedPool, isIdempotent: boolean): readonly VmRecord[] {
		return this.#listAvailable(pool).filter(vm => this.#health.isProbeDue(vm.vmId, isIdempotent));
	}

	override beginProbe(vmId: string): void {
		this.#health.beginProbe(vmId);
	}
}

/**
 * Queues requests at this entry and starts them on slots borrowed from the home entry of their pool.
 *
 * @example
 * const grant = await scheduler.acquireSlot(request);
 * grant.release('answered');
 */
export class FairScheduler extends Scheduler {
	static create(options: FairSchedulerOptions): FairScheduler {
		return new FairScheduler(options);
	}

	readonly #options: FairSchedulerOptions;
	readonly #health: HealthTracker;
	readonly #leaving: LeavingVms;
	readonly #workers: HealthWorkerDirectory;
	readonly #metrics: SchedulerMetrics;
	readonly #pools = new Map<PoolName, PoolState>();
	readonly #loops: Loop[];

	private constructor(options: FairSchedulerOptions) {
		super();
		this.#options = options;
		const {clock, bus, log} = options;
		this.#metrics = SchedulerMetrics.create(options.registry, () => this.#readGauges());
		this.#leaving = LeavingVms.create({clock, bus});
		this.#health = HealthTracker.create({
			clock, bus, onChange: (vmId, isSetAside) => {
				this.#metrics.countSetAsideChange(isSetAside);
				log.warn(isSetAside ? 'worker set aside' : 'worker restored', {vm: vmId});
			},
		});
		this.#workers = new HealthWorkerDirectory(this.#health, pool => this.#listAvailable(pool));
		bus.subscribe('slotDemand', ({entryId}, {slotDemand}) => {
			for (const demand of slotDemand.pools) {
				this.#receiveDemand(entryId, demand);
			}
		});
		bus.subscribe('slotLoan', ({entryId}, {slotLoan}) => {
			this.#receiveLoan(entryId, slotLoan);
		});
		const onError = (error: unknown): void => {
			log.error('scheduler update failed', {error: String(error)});
		};

		this.#loops = [
			Loop.create({
				clock, intervalMs: updateIntervalMs, run: async () => {
					this.#updatePools();
				}, onError,
			}),
			Loop.create({
				clock, intervalMs: healthFlushIntervalMs, run: async () => {
					this.#health.flush();
				}, onError,
			}),
		];
	}

	override async acquireSlot(request: SlotRequest): Promise<SlotGrant> {
		const state = this.#ensurePoolState(request.pool);
		const flow = state.borrower.queue.ensureFlow(request);
		const refusal = this.#checkRequest(state, flow, request);
		if (refusal !== undefined) {
			throw this.#refuse(request, refusal);
		}

		return new Promise((resolve, reject) => {
			const {signal} = request;
			const cancel = (): void => {
				state.borrower.cancel(flow, waiter);
				reject(this.#refuse(request, {code: 'caller_gone', message: 'the caller has gone'}));
			};

			const waiter = {
				request,
				enqueuedAt: this.#options.clock.readMonotonic(),
				accept(grant: SlotGrant) {
					signal.removeEventListener('abort', cancel);
					resolve(grant);
				},
				refuse(error: Error) {
					signal.removeEventListener('abort', cancel);
					reject(error);
				},
			};
			signal.addEventListener('abort', cancel, {once: true});
			state.borrower.enqueue(flow, waiter);
		});
	}

	override suggestRetryAfter(pool: ResolvedPool, caller: CallerId): number {
		const queue = this.#pools.get(pool.name)?.borrower.queue;
		const seconds = Math.min(maxRetryAfterSeconds, Math.max(1, (queue?.estimateCallerWaitMs(caller) ?? 0) / secondMs));
		return Math.ceil(seconds * (1 + (this.#options.random.readFraction() * retryAfterJitter)));
	}

	override markLeaving(vmId: VmId): void {
		this.#leaving.markLeaving(vmId);
	}

	/** Stops the scheduler and refuses all waiting requests. */
	override async close(): Promise<void> {
		await Promise.all(this.#loops.map(async loop => loop.close()));
		for (const {borrower} of this.#pools.values()) {
			for (const {request, refuse} of borrower.queue.listWaiters()) {
				refuse(this.#refuse(request, {code: 'start_deadline', message: 'the entry stops'}));
			}
		}
	}

	#checkRequest({pool, borrower, retryBudgets}: PoolState, flow: RequestFlow<SlotGrant>, request: SlotRequest): Refusal | undefined {
		const {queue} = borrower;
		const remainingMs = request.startBy - this.#options.clock.readMonotonic();
		if (request.signal.aborted) {
			return {code: 'caller_gone', message: 'the caller has gone'};
		}

		if (remainingMs <= 0 || queue.estimateWaitMs(flow) > remainingMs * estimateTolerance) {
			return {code: 'start_deadline', message: `pool "${pool.name}" can't start the request before its deadline`};
		}

		if (queue.size >= maxQueuedPerPool || flow.waiters.length >= maxQueuedPerFlow) {
			return {code: 'queue_full', message: `the queue of pool "${pool.name}" is full`};
		}

		if (this.#listAvailable(pool).length === 0) {
			return {code: 'no_worker', message: `pool "${pool.name}" has no live worker`};
		}

		if (request.attempts === 0) {
			retryBudgets.addFirstAttempt(request.caller.id, request.service.retryBudget);
		} else if (!retryBudgets.tryTakeRetry(request.caller.id)) {
			return {code: 'retry_budget', message: `the retry budget of pool "${pool.name}" is spent`};
		}

		return undefined;
	}

	#refuse({pool, workClass}: SlotRequest, {code, message}: Refusal): Error {
		this.#metrics.countRefusal(pool.name, workClass, code);
		return new VerdictError(message, {verdict: 'not-run', code});
	}

	#ensurePoolState(pool: ResolvedPool): PoolState {
		const known = this.#pools.get(pool.name);
		if (known !== undefined) {
			return known;
		}

		const borrower = Borrower.create({
			clock: this.#options.clock,
			pool,
			sendDemand: (to, demand) => {
				this.#sendDemand(to, demand);
			},
			findWorker: (current, vmId) => this.#listAvailable(current).find(vm => vm.vmId === vmId),
			onStart: ({workClass}, waitedMs) => {
				this.#metrics.observeWait(pool.name, workClass, waitedMs);
			},
			onOutcome: (vmId, request, outcome) => {
				this.#recordOutcome(vmId, request, outcome);
			},
		});
		const state: PoolState = {
			pool, borrower, retryBudgets: PoolRetryBudgets.create(), broker: undefined, hasFallbackBroker: false, isInMinority: false,
		};
		this.#pools.set(pool.name, state);
		this.#updateWorkers(pool);
		this.#updateHome(state);
		return state;
	}

	#recordOutcome(vmId: VmId, {caller}: SlotRequest, outcome: DispatchOutcome): void {
		const isSuccess = match(outcome)
			.with('answered', () => true)
			.with('error-answer', 'unsent', 'failed', 'timed-out', () => false)
			.with('caller-gone', () => undefined)
			.exhaustive();
		if (isSuccess !== undefined) {
			this.#health.recordOutcome(vmId, caller.id, isSuccess);
		}
	}

	#listAvailable(pool: ResolvedPool): readonly VmRecord[] {
		return this.#options.listWorkers(pool.name).filter(vm => !this.#leaving.isLeaving(pool.name, vm));
	}

	#updateWorkers(pool: ResolvedPool): void {
		const workers = this.#options.listWorkers(pool.name);
		this.#leaving.updateListing(pool.name, workers);
		this.#health.updateListing(pool.name, workers, pool.maxSetAside);
	}

	#updatePools(): void {
		for (const pool of this.#options.listPools()) {
			const state = this.#ensurePoolState(pool);
			state.pool = pool;
			state.borrower.setPool(pool);
			this.#updateWorkers(pool);
			this.#updateHome(state);
			this.#refuseOverdue(state);
			state.borrower.sendDueDemands();
			state.broker?.expireEntries();
			this.#lendSlots(state);
		}
	}

	#refuseOverdue({pool, borrower}: PoolState): void {
		for (const {request, refuse} of borrower.queue.removeOverdue()) {
			refuse(this.#refuse(request, {code: 'start_deadline', message: `pool "${pool.name}" could not start the request before its deadline`}));
		}
	}

	/** Updates the home entry of a pool; while it is unresponsive, a fallback broker lends this entry its own share of the slots. */
	#updateHome(state: PoolState): void {
		const {bus} = this.#options;
		const self = bus.self.entryId;
		const home = chooseHomeEntry(state.pool.name, this.#listEntries())!;
		if (home === self) {
			// Entries that were out of reach may hold slots of another home entry; a new broker waits for their reports.
			const hasRejoined = state.isInMinority && !this.#isInMinority();
			state.isInMinority = this.#isInMinority();
			if (state.broker === undefined || state.hasFallbackBroker || hasRejoined) {
				state.broker = this.#createBroker(bus.listPeers().length === 0 ? 0 : brokerRecoveryMs, (total, unreported) => this.#computeHomeShare(total) - (unreported * this.#computeEntryShare(total)));
				state.borrower.scheduleSync();
			}

			state.hasFallbackBroker = false;
		} else if (state.hasFallbackBroker) {
			state.borrower.probeHome(home);
			return;
		} else if (state.borrower.home === home && state.borrower.isHomeUnresponsive()) {
			state.hasFallbackBroker = true;
			state.broker = this.#createBroker(0, total => this.#computeEntryShare(total));
		} else {
			state.broker = undefined;
		}

		state.borrower.setHome(state.hasFallbackBroker ? self : home);
	}

	/** Lists the live entries, including this one. */
	#listEntries(): EntryId[] {
		const {bus} = this.#options;
		return [bus.self.entryId, ...bus.listPeers().map(peer => peer.entryId)];
	}

	#countEntries(): number {
		return Math.max(1 + this.#options.bus.listPeers().length, this.#options.countEntries());
	}

	/** Computes the slots of a pool that one entry may use on its own. */
	#computeEntryShare(total: number): number {
		return Math.max(1, Math.floor(total / this.#countEntries()));
	}

	/** Computes the slots that a home entry lends: all, or the share of the reachable entries while they are a minority of those listed. */
	#computeHomeShare(total: number): number {
		const reachable = 1 + this.#options.bus.listPeers().length;
		return this.#isInMinority() ? Math.ceil(total * reachable / this.#countEntries()) : total;
	}

	/** Whether this entry reaches less than half of the listed entries, itself included. */
	#isInMinority(): boolean {
		return (1 + this.#options.bus.listPeers().length) * 2 < this.#countEntries();
	}

	#createBroker(recoveryMs: number, limitSlots: (total: number, unreported: number) => number): Broker {
		return Broker.create({
			clock: this.#options.clock,
			random: this.#options.random,
			workers: this.#workers,
			firstSlotId: (Math.floor(this.#options.clock.readWall() / secondMs) * slotIdsPerSecond) + this.#options.random.pickIndex(slotIdsPerSecond),
			recoveryMs,
			listEntries: () => this.#listEntries(),
			limitSlots,
			sendLoan: (to, loan) => {
				this.#sendLoan(to, loan);
			},
		});
	}

	#lendSlots({pool, broker}: PoolState): void {
		broker?.lendSlots(pool, () => Math.min(pool.slotsPerVm, Math.max(1, Math.floor(pool.connectionsPerVm / (this.#countEntries() + 1)))));
	}

	#receiveDemand(from: EntryId, demand: PoolDemand): void {
		const state = this.#pools.get(demand.pool as PoolName);
		if (state?.broker !== undefined && (!state.hasFallbackBroker || from === this.#options.bus.self.entryId)) {
			state.broker.receiveDemand(from, demand);
			this.#lendSlots(state);
		}
	}

	#receiveLoan(from: EntryId, loan: SlotLoan): void {
		const state = this.#pools.get(loan.pool as PoolName);
		if (state === undefined) {
			return;
		}

		if (state.hasFallbackBroker && from !== this.#options.bus.self.entryId) {
			state.hasFallbackBroker = false;
			state.broker = undefined;
			state.borrower.setHome(from);
		}

		state.borrower.receiveLoan(from, loan);
	}

	#sendDemand(to: EntryId, demand: PoolDemand): void {
		const {bus} = this.#options;
		if (to === bus.self.entryId) {
			this.#receiveDemand(to, demand);
		} else {
			bus.send(to, {$case: 'slotDemand', slotDemand: {pools: [demand]}});
		}
	}

	#sendLoan(to: EntryId, loan: SlotLoan): void {
		const {bus} = this.#options;
		if (to === bus.self.entryId) {
			this.#receiveLoan(to, loan);
		} else {
			bus.send(to, {$case: 'slotLoan', slotLoan: loan});
		}
	}

	#readGauges(): Array<{pool: string; queued: number; inFlight: number; setAside: number; lentSlots: number}> {
		return [...this.#pools.values()].map(({pool, borrower, broker}) => ({
			pool: pool.name,
			queued: borrower.queue.size,
			inFlight: borrower.heldSlotCount,
			setAside: this.#health.countSetAside(pool.name),
			lentSlots: broker?.countLentSlots() ?? 0,
		}));
	}
}
