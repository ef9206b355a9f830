/**
 * Maintains the session with one worker incarnation: a loop renews the worker's lease, lists its runs and passes each listing to the pool's scheduler.
 */
import {
	findMaximum, readErrorMessage, waitAtMost, type Clock,
} from '@tamarackwind/core';
import {
	addResources, getReservation, isWithin, noResources, type Candidate, type Resources,
} from '@tamarackwind/scheduling';
import {type Task} from './tasks.js';
import {Cordons} from './cordons.js';
import {
	computeSuspectShare, isSuspect, isTestedAlone, isUnproven, provingMs, recordSurvival,
} from './crash-budgets.js';
import {type CrashEvidence} from './crash-evidence.js';
import {type RateLimitedLog} from './rate-limited-logs.js';
import {formatIncarnation, type RunKey} from './jobs.js';
import {OrderQueue} from './order-queues.js';
import {Signal} from './signals.js';
import {type UnavailabilityReason} from './worker-availability.js';
import {WorkerHealth} from './worker-health.js';
import {workerRetryMs, type Timings} from './timings.js';
import {WorkerLease} from './worker-leases.js';
import {
	type OrderOutcome, type WorkerControl, type WorkerListing, type WorkerRecord,
} from './workers.js';

/** Maximum delay after consecutive failed calls, in milliseconds: bounds the time until a recovered worker is detected. */
const maxWorkerRetryMs = 600;
/** Maximum wait for run ends to become durable before the lease is renewed without acknowledging them, in milliseconds. */
const durableWaitMs = 1500;
/** Maximum time for which a listing waits for the responses to pending stops, in milliseconds, so that it shows their effect. */
const stopWaitMs = 100;
/** Time from which a call that fails has reached the worker, in milliseconds: a connection is refused sooner. */
const minHeldMs = 20;
/** Consecutive failed calls after which a worker counts as unreachable and gets no new work. */
const maxFailures = 2;

/** Longest time for which a start should wait for those before it, in milliseconds; a sixth of the time for which no task may stand. */
const maxStartWaitMs = 500;

/** Rounding error of sums of fractional resources. */
const roundingSlack: Resources = {cpu: 1e-6, memory: 1e-6, gpu: 1e-6};

type PendingStop = {
	readonly run: number;
	/** Time of the worker's acknowledgement, on the monotonic clock. */
	acknowledgedAt: number | undefined;
	/** The call on its way. */
	response: Promise<void> | undefined;
};

/** What is known about the end of a worker incarnation. */
export type IncarnationEnd = {
	/** Whether an order to the VM has ended it. */
	readonly isOrdered?: boolean;
	/** Whether another worker responds at its address, so that no order can reach a later incarnation under the same id. */
	readonly isReplaced?: boolean;
	/** Start time of the incarnation that has taken its place under the same id; it may have executed orders that were meant for the earlier one. */
	readonly successorStartedAt?: number;
	/** Time at which the VM was asked for and found down, on the monotonic clock. */
	readonly downAt?: number;
};

/** Callbacks and state that a session needs from the scheduler of its pool. */
export abstract class SessionOwner {
	abstract readonly fencingToken: number;
	/** Reports whether leases of active runs may still be renewed. */
	abstract get isRenewalAllowed(): boolean;
	/** Applies a listing; resolves to whether all run ends in it are durable. */
	abstract applyListing(session: WorkerSession, listing: WorkerListing, sentAt: number): Promise<boolean>;
	/** Handles the end of the worker's incarnation. */
	abstract endIncarnation(session: WorkerSession, reason: string, end?: IncarnationEnd): void;
	/** Handles a call that the worker rejected because a later holder has fenced this one off. */
	abstract handleFenced(session: WorkerSession): void;
}

export type WorkerSessionOptions = {
	readonly clock: Clock;
	readonly control: WorkerControl;
	readonly log: RateLimitedLog;
	readonly owner: SessionOwner;
	readonly record: WorkerRecord;
	/** Time by which every run that an earlier holder started on the worker has ended even if the worker stays unreachable; on the monotonic clock. */
	readonly earlierRunsEndBy: number;
	readonly timings: Timings;
};

/** State of one worker incarnation as known to the holder. */
export class WorkerSession {
	static create(options: WorkerSessionOptions): WorkerSession {
		return new WorkerSession(options);
	}

	record: WorkerRecord;
	/** Whether the registry still lists the worker. */
	isRegistered = true;
	/** Reasons for which the worker gets no new work although it is sound. */
	readonly cordons: Cordons;
	readonly health: WorkerHealth;
	/** Orders that are sent to the worker. */
	readonly orders: OrderQueue;
	readonly #tasks = new Set<Task>();
	/** Resources that the assigned tasks reserve. */
	#reserved: Resources = noResources;
	/** Assigned tasks whose start has not been sent. */
	readonly #unsentTasks = new Set<Task>();
	/** Assigned tasks under which another worker has crashed. */
	readonly #suspects = new Set<Task>();
	/** Evidence against tasks whose lease has expired, if the worker turns out to have crashed before. */
	crashAtExpiry = new Map<Task, CrashEvidence>();
	#servingTasks = 0;
	#fillerTasks = 0;
	/** Listed runs that belong to no assigned task; they are being stopped. */
	readonly unknownRuns = new Map<string, RunKey>();
	readonly #options: WorkerSessionOptions;
	readonly #wake = Signal.create();
	readonly #pendingStops = new Map<Task, PendingStop>();
	/** Unknown runs whose stop has no response yet. */
	readonly #pendingUnknownStops = new Set<string>();
	#lease: WorkerLease;
	#idleSince: number;
	/** Sequence number up to which ends are durable. */
	#durableEnds = 0;
	/** Whether the last listing contained ends, which the worker keeps until they are acknowledged. */
	#hasListedEnds = false;
	/** Time at which the last listing was requested, on the monotonic clock, and for how long the worker was to hold it. */
	#listingSentAt = Number.NEGATIVE_INFINITY;
	#listingWaitMs = 0;
	/** Time of the last order that carried a lease, on the monotonic clock. */
	#leaseSentAt = Number.NEGATIVE_INFINITY;
	#failures = 0;
	/** Time of the last listing, on the monotonic clock. */
	#listedAt: number;
	/** Time at which the worker was last known to be up, on the monotonic clock. */
	#seenAt: number;
	/** Time of the first failed call since the last listing, on the monotonic clock. */
	#lostAt: number | undefined;
	#isProving = false;
	#isListed = false;
	#isClosed = false;

	private constructor(options: WorkerSessionOptions) {
		this.#options = options;
		this.record = options.record;
		this.cordons = Cordons.create(options.clock);
		this.health = WorkerHealth.create();
		this.orders = OrderQueue.create({clock: options.clock, maxOpen: options.control.getOrderLimit()});
		this.#lease = WorkerLease.create(options.earlierRunsEndBy);
		this.#idleSince = options.clock.readMonotonic();
		this.#listedAt = this.#idleSince;
		this.#seenAt = this.#idleSince;
		void this.#run();
	}

	get name(): string {
		return formatIncarnation(this.record);
	}

	/** Time of the last listing, on the monotonic clock; the progress of runs is known up to it. */
	get listedAt(): number {
		return this.#listedAt;
	}

	/** Time at which the worker was last known to be up, on the monotonic clock. */
	get seenAt(): number {
		return this.#seenAt;
	}

	/** Time of the first failed call since the last listing, on the monotonic clock; `undefined` if there is none. */
	get lostAt(): number | undefined {
		return this.#lostAt;
	}

	/** Whether the worker has listed its runs under this holder's fencing token. */
	get isListed(): boolean {
		return this.#isListed;
	}

	get isReachable(): boolean {
		return this.#failures < maxFailures;
	}

	/** Whether the worker may get new work. */
	get isSchedulable(): boolean {
		return this.unavailability === undefined;
	}

	/** Why the worker gets no new work; `undefined` if it does. */
	get unavailability(): UnavailabilityReason | undefined {
		if (!this.isRegistered) {
			return 'unregistered';
		}

		if (this.record.isDraining) {
			return 'draining';
		}

		if (!this.isReachable) {
			return 'unreachable';
		}

		if (!this.#isListed) {
			return 'unlisted';
		}

		return this.cordons.isActive ? 'cordoned' : undefined;
	}

	/** Returns the time by which the run of a task has ended if the lease is not renewed, on the monotonic clock. A run that was never listed may have begun on a later incarnation. */
	computeRunEnd({isListed, orderedAt}: Task): number {
		const isUnlisted = !isListed && orderedAt > 0;
		return isUnlisted ? Math.max(this.#lease.expiresAt, this.unlistedRunsEndBy) : this.#lease.expiresAt;
	}

	/** Time by which the runs that the worker has listed have ended if the lease is not renewed, on the monotonic clock. */
	get runsEndBy(): number {
		return this.#lease.expiresAt;
	}

	/** Time by which runs have ended that a later incarnation under the same id may have begun, on the monotonic clock. */
	get unlistedRunsEndBy(): number {
		return this.#leaseSentAt + this.#options.timings.unlistedRunMs;
	}

	/** Tasks assigned to the worker that are not known to have ended. */
	get tasks(): ReadonlySet<Task> {
		return this.#tasks;
	}

	get isClosed(): boolean {
		return this.#isClosed;
	}

	/** Whether the worker is not known to have survived the start of some assigned run. */
	get hasUnprovenRuns(): boolean {
		for (const task of this.#tasks) {
			if (task.phase === 'recorded' || isUnproven(task, this.#seenAt)) {
				return true;
			}
		}

		return false;
	}

	/** Unreserved resources; none while unknown runs are being stopped. */
	get free(): Resources {
		return this.unknownRuns.size > 0 ? noResources : addResources(this.record.capacity, this.#reserved, -1);
	}

	/** Whether the assigned tasks reserve more than the worker has, since it shrank after their assignment. */
	get isOverCapacity(): boolean {
		return !isWithin(noResources, addResources(addResources(this.record.capacity, this.#reserved, -1), roundingSlack));
	}

	/** Describes the worker as a placement candidate. */
	describeCandidate(now: number): Candidate & {readonly session: WorkerSession} {
		return {
			session: this,
			id: this.record.id,
			zone: this.record.zone,
			labels: this.record.labels,
			capacity: this.record.capacity,
			free: this.free,
			suspicion: this.health.computeSuspicion(now),
			servingTasks: this.#servingTasks,
			fillerTasks: this.#fillerTasks,
			suspectLoad: this.#suspectLoad,
			startSlots: this.#startSlots,
			isReserved: this.#suspects.size > 0 && [...this.#suspects].some(task => isTestedAlone(task)),
		};
	}

	/** Extends the lease for a start that is sent now; returns its end on the worker's clock. */
	renewLease(): number {
		const now = this.#options.clock.readMonotonic();
		this.#leaseSentAt = now;
		return this.#lease.renew(now, this.#options.timings.workerLeaseMs) ?? 0;
	}

	/** Asks whether the worker is up once it has run its suspects for long enough, since a long poll may end much later. */
	async checkSuspects(): Promise<void> {
		const {clock, control, owner, log} = this.#options;
		if (this.#isProving || this.#suspects.size === 0) {
			return;
		}

		this.#isProving = true;
		try {
			while (!this.#isClosed && this.isReachable && this.#suspects.size > 0) {
				await clock.sleep(provingMs);
				const outcome = await control.renewLease(this.record, {fencingToken: owner.fencingToken, acknowledgedEnds: 0, waitMs: 0});
				if (outcome.status === 'listed' && (outcome.startedAt ?? this.record.startedAt) === this.record.startedAt) {
					this.#recordSurvivals(clock.readMonotonic());
				}
			}
		} catch (error) {
			log.info('worker not known to survive its suspects', {worker: this.name, suspects: this.#suspects.size, error: readErrorMessage(error)});
		} finally {
			this.#isProving = false;
		}
	}

	/** Makes the loop call the worker immediately. */
	wake(): void {
		this.#wake.set();
	}

	/** Stops the run of a task; the task stays assigned until a later listing shows that the run has ended. */
	stopTask(task: Task): void {
		task.phase = 'stopping';
		const known = this.#pendingStops.get(task);
		if (known?.run !== task.run) {
			this.#pendingStops.set(task, {run: task.run, acknowledgedAt: undefined, response: undefined});
		}

		void this.#sendStop(task);
	}

	/** Reports whether the stop of a task was acknowledged before the listing requested at `sentAt`, so that the listing reflects it. */
	isStopSettled(task: Task, sentAt: number): boolean {
		const stop = this.#pendingStops.get(task);
		return stop?.run === task.run && stop.acknowledgedAt !== undefined && stop.acknowledgedAt <= sentAt;
	}

	/** Time since which the worker has no tasks, on the monotonic clock; `undefined` while it has any. */
	get idleSince(): number | undefined {
		return this.tasks.size === 0 && this.unknownRuns.size === 0 ? this.#idleSince : undefined;
	}

	/** Assigns a task to the worker and reserves its resources. */
	addTask(task: Task): void {
		if (!this.#tasks.has(task)) {
			this.#tasks.add(task);
			if (task.phase === 'recorded') {
				this.#unsentTasks.add(task);
			}

			if (isSuspect(task)) {
				this.#suspects.add(task);
			}

			this.#countTask(task, 1);
		}
	}

	/** Notes that the start of a task is being sent. */
	markSent(task: Task): void {
		this.#unsentTasks.delete(task);
	}

	/** Unassigns a task and frees its resources. */
	removeTask(task: Task): void {
		if (this.#tasks.delete(task)) {
			this.#suspects.delete(task);
			this.#unsentTasks.delete(task);
			this.#countTask(task, -1);
		}

		this.#idleSince = this.#options.clock.readMonotonic();
		this.#pendingStops.delete(task);
	}

	/** Stops a listed run that belongs to no assigned task. */
	async stopUnknownRun(name: string, key: RunKey): Promise<void> {
		if (this.#pendingUnknownStops.has(name)) {
			return;
		}

		this.#pendingUnknownStops.add(name);
		try {
			await this.#sendStopOrder(key);
		} catch (error) {
			this.#options.log.warn('stopping an unknown run failed', {worker: this.name, job: key.job, error: readErrorMessage(error)});
		} finally {
			this.#pendingUnknownStops.delete(name);
		}
	}

	/** Ends the incarnation after an order to the VM has terminated the worker. */
	endByVmOrder(reason: string): void {
		this.#options.owner.endIncarnation(this, reason, {isOrdered: true});
	}

	/** Ends the loop; runs on the worker continue. */
	close(): void {
		this.#isClosed = true;
		this.#wake.set();
	}

	/** Shares of the suspects whose start the worker is not known to have survived, and of those that are kept apart for longer. */
	get #suspectLoad(): number {
		let load = 0;
		for (const task of this.#suspects) {
			load += computeSuspectShare(task);
		}

		return load;
	}

	/** Notes a failed call. A long poll that breaks before its end, and not at once, was held by the worker until then. */
	#recordLoss(): void {
		const now = this.#options.clock.readMonotonic();
		const heldMs = now - this.#listingSentAt;
		if (this.#lostAt === undefined && heldMs >= minHeldMs && heldMs < this.#listingWaitMs) {
			this.#seenAt = now;
		}

		this.#lostAt ??= now;
	}

	/** Notes that the worker was up at `now`, and has survived the starts long enough before. */
	#recordSurvivals(now: number): void {
		this.#seenAt = now;
		for (const task of this.#suspects) {
			if (task.isInFlight && task.isConfirmed && !isUnproven(task, now)) {
				this.#suspects.delete(task);
				recordSurvival(task);
			}
		}
	}

	/**
	 * Number of starts that may be assigned now: as many as the worker takes within the longest wait, so that others with room get the rest. At least one is
	 * on its way at a time, since only answers to orders show that the worker has become faster.
	 */
	get #startSlots(): number {
		return Math.max(0, Math.max(1, Math.floor(maxStartWaitMs / this.orders.intervalMs)) - this.#unsentTasks.size);
	}

	#countTask({spec}: Task, sign: 1 | -1): void {
		this.#reserved = addResources(this.#reserved, getReservation(spec), sign);
		this.#servingTasks += spec.targetMs === undefined ? 0 : sign;
		this.#fillerTasks += spec.isFiller ? sign : 0;
	}

	/** Whether the worker has to be called: it has runs, or it is not known to take new work. */
	get #isBusy(): boolean {
		return !this.#isListed || this.#failures > 0 || this.tasks.size > 0 || this.unknownRuns.size > 0;
	}

	async #run(): Promise<void> {
		const {clock, owner, log} = this.#options;
		while (!this.#isClosed) {
			try {
				if (!this.#isBusy) {
					await this.#wake.wait();
				} else if (owner.isRenewalAllowed) {
					await this.#callWorker();
				} else {
					await clock.sleep(workerRetryMs);
				}
			} catch (error) {
				if (this.#isClosed) {
					// The reason for closing the session has been logged; the failure of its last call is a consequence of it.
					return;
				}

				this.#recordLoss();
				log.warn('worker not listed', {worker: this.name, failures: ++this.#failures, error: readErrorMessage(error)});
				await clock.sleep(Math.min(maxWorkerRetryMs, this.#failures * workerRetryMs));
			}
		}
	}

	async #callWorker(): Promise<void> {
		const {clock, control, owner, timings} = this.#options;
		await this.#sendStops();
		const sentAt = clock.readMonotonic();
		const isLeaseRenewed = sentAt - this.#listedAt < timings.maxWorkerSilenceMs;
		const waitMs = this.#isListed && this.isReachable && !this.#hasUnlistedStop ? timings.longPollMs : 0;
		this.#listingSentAt = sentAt;
		this.#listingWaitMs = waitMs;
		this.#leaseSentAt = isLeaseRenewed ? sentAt : this.#leaseSentAt;
		const outcome = await control.renewLease(this.record, {
			fencingToken: owner.fencingToken,
			acknowledgedEnds: this.#isAcknowledgementSafe(sentAt) ? this.#durableEnds : 0,
			leaseUntil: isLeaseRenewed ? this.#lease.renew(sentAt, timings.workerLeaseMs) : undefined,
			waitMs,
		});
		if (this.#isClosed) {
			return;
		}

		if (outcome.status === 'other-life') {
			owner.endIncarnation(this, 'another incarnation responds at the worker\'s address', {isReplaced: true});
		} else if (outcome.status === 'fenced') {
			owner.handleFenced(this);
			await clock.sleep(workerRetryMs);
		} else {
			await this.#handleListing(outcome, sentAt);
		}
	}

	async #handleListing(listing: WorkerListing, sentAt: number): Promise<void> {
		const {clock, owner} = this.#options;
		if (listing.startedAt !== undefined && listing.startedAt !== this.record.startedAt) {
			owner.endIncarnation(this, 'worker has restarted', {successorStartedAt: listing.startedAt});
			return;
		}

		this.#failures = 0;
		this.crashAtExpiry.clear();
		this.#lostAt = undefined;
		this.#listedAt = clock.readMonotonic();
		this.#recordSurvivals(this.#listedAt);
		this.#lease.observeClock(listing.clock, clock.readMonotonic());
		if (!this.#isListed) {
			this.#isListed = true;
			this.#lease = this.#lease.clearEarlierRuns();
		}

		const durable = owner.applyListing(this, listing, sentAt);
		this.#hasListedEnds = listing.ends.length > 0;
		const lastSequence = findMaximum(listing.ends.map(end => end.sequence), this.#durableEnds);
		if (lastSequence > this.#durableEnds) {
			await waitAtMost(clock, this.#markAcknowledged(durable, lastSequence), durableWaitMs);
		}
	}

	async #markAcknowledged(durable: Promise<boolean>, lastSequence: number): Promise<void> {
		if (await durable) {
			this.#durableEnds = Math.max(this.#durableEnds, lastSequence);
		}
	}

	/** Reports whether ends may be acknowledged. A later incarnation numbers its ends anew, so only ends of a recent listing are, and none after a failed call. */
	#isAcknowledgementSafe(now: number): boolean {
		return this.#hasListedEnds && this.#failures === 0 && now - this.#listedAt <= durableWaitMs;
	}

	/** Whether a stop was acknowledged since the last listing for a run that no listing has shown; the next listing tells whether the run exists. */
	get #hasUnlistedStop(): boolean {
		return [...this.#pendingStops].some(([task, {acknowledgedAt}]) => !task.isListed && acknowledgedAt !== undefined && acknowledgedAt >= this.#listingSentAt);
	}

	/** Sends the stops that have no response yet, and waits for the responses for a short time. */
	async #sendStops(): Promise<void> {
		const unanswered = [...this.#pendingStops].filter(([, {acknowledgedAt}]) => acknowledgedAt === undefined).map(([task]) => task);
		if (unanswered.length > 0) {
			await waitAtMost(this.#options.clock, Promise.all(unanswered.map(async task => this.#sendStop(task))), stopWaitMs);
		}
	}

	/** Sends the stop of a task unless it is on its way or was acknowledged. */
	async #sendStop(task: Task): Promise<void> {
		const stop = this.#pendingStops.get(task);
		if (stop !== undefined && stop.acknowledgedAt === undefined) {
			stop.response ??= this.#requestStop(task, stop);
			await stop.response;
		}
	}

	async #sendStopOrder(key: RunKey): Promise<OrderOutcome> {
		const {control, owner} = this.#options;
		return this.orders.send('stop', async () => control.stopRun(this.record, {key, fencingToken: owner.fencingToken}));
	}

	async #requestStop(task: Task, stop: PendingStop): Promise<void> {
		const {clock, log} = this.#options;
		try {
			const outcome = await this.#sendStopOrder({...task.key, run: stop.run});
			if (outcome === 'done') {
				stop.acknowledgedAt = clock.readMonotonic();
			}
		} catch (error) {
			log.warn('stop not answered', {
				worker: this.name, task: task.name, run: stop.run, error: readErrorMessage(error),
			});
		} finally {
			stop.response = undefined;
		}
	}
}
