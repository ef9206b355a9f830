/**
 * The scheduler: shares the slots of each pool between classes, callers and entries.
 */
import {
	Loop, VerdictError, type CallerId, type Clock, type EntryId, type Log, type PoolName, type RandomSource, type VmId,
} from '@tamarackwind/core';
import {type PeerBus, type PoolDemand, type SlotLoan} from '@tamarackwind/peer';
import {type VmRecord} from '@tamarackwind/clients';
import {HealthTracker, LeavingVms, chooseHome} from '@tamarackwind/routing';
import {type ResolvedPool} from '@tamarackwind/settings';
import {type Registry} from 'prom-client';
import {match} from 'ts-pattern';
import {Borrower} from './borrowers.js';
import {Broker, WorkerChoice} from './brokers.js';
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
	/** Lists the workers of a pool that may get new work. */
	readonly listWorkers: (pool: PoolName) => readonly VmRecord[];
	/** Lists the pools in force. */
	readonly listPools: () => Iterable<ResolvedPool>;
	/** Counts the entries that the platform lists. */
	readonly countEntries: () => number;
};

const tickMs = 50;
const healthFlushMs = 250;
/** Time for which a new broker only listens, in milliseconds. */
const listenMs = 300;
const maxQueuedPerPool = 20_000;
const maxQueuedPerFlow = 4000;
/** Part by which the estimated wait must pass the time that is left before a request is refused on arrival. */
const estimateSlack = 1.1;
const maxRetryAfterSeconds = 60;
const retryAfterJitter = 0.5;
const secondMs = 1000;
const slotIdsPerSecond = 2 ** 16;

type Refusal = {readonly code: string; readonly message: string};

type Desk = {
	pool: ResolvedPool;
	readonly borrower: Borrower;
	readonly retries: PoolRetryBudgets;
	broker: Broker | undefined;
	/** Whether this entry lends a small part to itself while the home entry is silent. */
	isAlone: boolean;
};

/** Tells the judgement of health and leaving to the brokers. */
class HealthyWorkers extends WorkerChoice {
	readonly #health: HealthTracker;
	readonly #listPresent: (pool: ResolvedPool) => readonly VmRecord[];

	constructor(health: HealthTracker, listPresent: (pool: ResolvedPool) => readonly VmRecord[]) {
		super();
		this.#health = health;
		this.#listPresent = listPresent;
	}

	override listUsable(pool: ResolvedPool): readonly VmRecord[] {
		return this.#listPresent(pool).filter(vm => !this.#health.isSetAside(vm.vmId));
	}

	override isFailing(vmId: string): boolean {
		return this.#health.isFailing(vmId);
	}

	override listProbes(pool: ResolvedPool, isIdempotent: boolean): readonly VmRecord[] {
		return this.#listPresent(pool).filter(vm => this.#health.isProbeDue(vm.vmId, isIdempotent));
	}

	override beginProbe(vmId: string): void {
		this.#health.beginProbe(vmId);
	}
}

/**
 * Queues requests at this entry and starts them on slots that the home entry of their pool lends.
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
	readonly #workers: HealthyWorkers;
	readonly #metrics: SchedulerMetrics;
	readonly #desks = new Map<PoolName, Desk>();
	readonly #loops: Loop[];

	private constructor(options: FairSchedulerOptions) {
		super();
		this.#options = options;
		const {clock, bus, log} = options;
		this.#metrics = SchedulerMetrics.create(options.registry, () => this.#readGauges());
		this.#leaving = LeavingVms.create({clock, bus});
		this.#health = HealthTracker.create({
			clock, bus, onChange: (vmId, isSetAside) => {
				this.#metrics.countChange(isSetAside);
				log.warn(isSetAside ? 'worker set aside' : 'worker taken back', {vm: vmId});
			},
		});
		this.#workers = new HealthyWorkers(this.#health, pool => this.#listPresent(pool));
		bus.subscribe('slotDemand', ({entryId}, {slotDemand}) => {
			for (const demand of slotDemand.pools) {
				this.#receiveDemand(entryId, demand);
			}
		});
		bus.subscribe('slotLoan', ({entryId}, {slotLoan}) => {
			this.#receiveLoan(entryId, slotLoan);
		});
		const onError = (error: unknown): void => {
			log.error('scheduler failed', {error: String(error)});
		};

		this.#loops = [
			Loop.create({
				clock, intervalMs: tickMs, run: async () => {
					this.#advance();
				}, onError,
			}),
			Loop.create({
				clock, intervalMs: healthFlushMs, run: async () => {
					this.#health.flush();
				}, onError,
			}),
		];
	}

	override async acquireSlot(request: SlotRequest): Promise<SlotGrant> {
		const desk = this.#ensureDesk(request.pool);
		const flow = desk.borrower.queue.ensureFlow(request);
		const refusal = this.#checkRequest(desk, flow, request);
		if (refusal !== undefined) {
			throw this.#refuse(request, refusal);
		}

		return new Promise((resolve, reject) => {
			const {signal} = request;
			const leave = (): void => {
				desk.borrower.cancel(flow, waiter);
				reject(this.#refuse(request, {code: 'caller_gone', message: 'the caller has gone'}));
			};

			const waiter = {
				request,
				since: this.#options.clock.readMonotonic(),
				accept(grant: SlotGrant) {
					signal.removeEventListener('abort', leave);
					resolve(grant);
				},
				refuse(error: Error) {
					signal.removeEventListener('abort', leave);
					reject(error);
				},
			};
			signal.addEventListener('abort', leave, {once: true});
			desk.borrower.enqueue(flow, waiter);
		});
	}

	override suggestRetryAfter(pool: ResolvedPool, caller: CallerId): number {
		const queue = this.#desks.get(pool.name)?.borrower.queue;
		const seconds = Math.min(maxRetryAfterSeconds, Math.max(1, (queue?.estimateCallerWaitMs(caller) ?? 0) / secondMs));
		return Math.ceil(seconds * (1 + (this.#options.random.readFraction() * retryAfterJitter)));
	}

	override noteLeaving(vmId: VmId): void {
		this.#leaving.noteLeaving(vmId);
	}

	/** Refuses what waits and stops. */
	override async close(): Promise<void> {
		await Promise.all(this.#loops.map(async loop => loop.close()));
		for (const {borrower} of this.#desks.values()) {
			for (const {request, refuse} of borrower.queue.listWaiters()) {
				refuse(this.#refuse(request, {code: 'start_deadline', message: 'the entry stops'}));
			}
		}
	}

	#checkRequest({pool, borrower, retries}: Desk, flow: RequestFlow<SlotGrant>, request: SlotRequest): Refusal | undefined {
		const {queue} = borrower;
		const leftMs = request.startBy - this.#options.clock.readMonotonic();
		if (request.signal.aborted) {
			return {code: 'caller_gone', message: 'the caller has gone'};
		}

		if (leftMs <= 0 || queue.estimateWaitMs(flow) > leftMs * estimateSlack) {
			return {code: 'start_deadline', message: `pool "${pool.name}" can't start the request before its deadline`};
		}

		if (queue.size >= maxQueuedPerPool || flow.waiters.length >= maxQueuedPerFlow) {
			return {code: 'queue_full', message: `the queue of pool "${pool.name}" is full`};
		}

		if (this.#listPresent(pool).length === 0) {
			return {code: 'no_worker', message: `pool "${pool.name}" has no live worker`};
		}

		if (request.attempts === 0) {
			retries.addFirstAttempt(request.caller.id, request.service.retryBudget);
		} else if (!retries.tryTakeRetry(request.caller.id)) {
			return {code: 'retry_budget', message: `the retry budget of pool "${pool.name}" is spent`};
		}

		return undefined;
	}

	#refuse({pool, workClass}: SlotRequest, {code, message}: Refusal): Error {
		this.#metrics.countRefused(pool.name, workClass, code);
		return new VerdictError(message, {verdict: 'not-run', code});
	}

	#ensureDesk(pool: ResolvedPool): Desk {
		const known = this.#desks.get(pool.name);
		if (known !== undefined) {
			return known;
		}

		const borrower = Borrower.create({
			clock: this.#options.clock,
			pool,
			sendDemand: (to, demand) => {
				this.#sendDemand(to, demand);
			},
			findWorker: (current, vmId) => this.#listPresent(current).find(vm => vm.vmId === vmId),
			onStart: ({workClass}, waitedMs) => {
				this.#metrics.observeWait(pool.name, workClass, waitedMs);
			},
			onOutcome: (vmId, request, outcome) => {
				this.#noteOutcome(vmId, request, outcome);
			},
		});
		const desk: Desk = {
			pool, borrower, retries: PoolRetryBudgets.create(), broker: undefined, isAlone: false,
		};
		this.#desks.set(pool.name, desk);
		this.#listWorkersOf(pool);
		this.#chooseHome(desk);
		return desk;
	}

	#noteOutcome(vmId: VmId, {caller}: SlotRequest, outcome: DispatchOutcome): void {
		const isSuccess = match(outcome)
			.with('answered', () => true)
			.with('error-answer', 'unsent', 'failed', 'timed-out', () => false)
			.with('caller-gone', () => undefined)
			.exhaustive();
		if (isSuccess !== undefined) {
			this.#health.noteOutcome(vmId, caller.id, isSuccess);
		}
	}

	#listPresent(pool: ResolvedPool): readonly VmRecord[] {
		return this.#options.listWorkers(pool.name).filter(vm => !this.#leaving.isLeaving(pool.name, vm));
	}

	#listWorkersOf(pool: ResolvedPool): void {
		const workers = this.#options.listWorkers(pool.name);
		this.#leaving.noteListing(pool.name, workers);
		this.#health.noteListing(pool.name, workers, pool.maxSetAside);
	}

	#advance(): void {
		for (const pool of this.#options.listPools()) {
			const desk = this.#ensureDesk(pool);
			desk.pool = pool;
			desk.borrower.setPool(pool);
			this.#listWorkersOf(pool);
			this.#chooseHome(desk);
			this.#refuseOverdue(desk);
			desk.borrower.renew();
			desk.broker?.expireMembers();
			this.#lendSlots(desk);
		}
	}

	#refuseOverdue({pool, borrower}: Desk): void {
		for (const {request, refuse} of borrower.queue.removeOverdue()) {
			refuse(this.#refuse(request, {code: 'start_deadline', message: `pool "${pool.name}" could not start the request before its deadline`}));
		}
	}

	/** Follows the home entry of a pool; while it is silent this entry lends itself its part of the slots. */
	#chooseHome(desk: Desk): void {
		const {bus} = this.#options;
		const self = bus.self.entryId;
		const home = chooseHome(desk.pool.name, [self, ...bus.listPeers().map(peer => peer.entryId)])!;
		if (home === self) {
			if (desk.broker === undefined || desk.isAlone) {
				desk.broker = this.#createBroker(bus.listPeers().length === 0 ? 0 : listenMs, total => this.#countHomePart(total));
			}

			desk.isAlone = false;
		} else if (desk.isAlone) {
			desk.borrower.probeHome(home);
			return;
		} else if (desk.borrower.home === home && desk.borrower.isHomeSilent()) {
			desk.isAlone = true;
			desk.broker = this.#createBroker(0, total => this.#countOwnPart(total));
		} else {
			desk.broker = undefined;
		}

		desk.borrower.setHome(desk.isAlone ? self : home);
	}

	#countEntries(): number {
		return Math.max(1 + this.#options.bus.listPeers().length, this.#options.countEntries());
	}

	/** Slots of a pool that fall to one entry. */
	#countOwnPart(total: number): number {
		return Math.max(1, Math.floor(total / this.#countEntries()));
	}

	/** Slots that a home entry lends: all, or the part of the entries that it hears while they are the minority of those listed. */
	#countHomePart(total: number): number {
		const heard = 1 + this.#options.bus.listPeers().length;
		const listed = this.#countEntries();
		return heard * 2 < listed ? Math.ceil(total * heard / listed) : total;
	}

	#createBroker(quietMs: number, limitSlots: (total: number) => number): Broker {
		return Broker.create({
			clock: this.#options.clock,
			random: this.#options.random,
			workers: this.#workers,
			firstSlotId: (Math.floor(this.#options.clock.readWall() / secondMs) * slotIdsPerSecond) + this.#options.random.pickIndex(slotIdsPerSecond),
			listenMs: quietMs,
			limitSlots,
			sendLoan: (to, loan) => {
				this.#sendLoan(to, loan);
			},
		});
	}

	#lendSlots({pool, broker}: Desk): void {
		broker?.lendSlots(pool, () => Math.min(pool.slotsPerVm, Math.max(1, Math.floor(pool.connectionsPerVm / (this.#countEntries() + 1)))));
	}

	#receiveDemand(from: EntryId, demand: PoolDemand): void {
		const desk = this.#desks.get(demand.pool as PoolName);
		if (desk?.broker !== undefined && (!desk.isAlone || from === this.#options.bus.self.entryId)) {
			desk.broker.receiveDemand(from, demand);
			this.#lendSlots(desk);
		}
	}

	#receiveLoan(from: EntryId, loan: SlotLoan): void {
		const desk = this.#desks.get(loan.pool as PoolName);
		if (desk === undefined) {
			return;
		}

		if (desk.isAlone && from !== this.#options.bus.self.entryId) {
			desk.isAlone = false;
			desk.broker = undefined;
			desk.borrower.setHome(from);
		}

		desk.borrower.receiveLoan(from, loan);
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

	#readGauges(): Array<{pool: string; queued: number; inFlight: number; setAside: number; lent: number}> {
		return [...this.#desks.values()].map(({pool, borrower, broker}) => ({
			pool: pool.name,
			queued: borrower.queue.size,
			inFlight: borrower.heldCount,
			setAside: this.#health.countSetAside(pool.name),
			lent: broker?.countLent() ?? 0,
		}));
	}
}
