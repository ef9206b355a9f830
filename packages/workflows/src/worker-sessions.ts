/**
 * Maintains the session with one worker incarnation: a loop renews the worker's lease, lists its runs and passes each listing to the pool's scheduler.
 */
import {readErrorMessage, waitAtMost, type Clock} from '@tamarackwind/core';
import {
	addResources, getReservation, isWithin, noResources, type Candidate, type Resources,
} from '@tamarackwind/scheduling';
import {type Task} from './active-jobs.js';
import {Cordons} from './cordons.js';
import {isUnproven} from './crash-budgets.js';
import {type RateLimitedLog} from './rate-limited-logs.js';
import {formatIncarnation, type RunKey} from './jobs.js';
import {Signal} from './signals.js';
import {WorkerHealth} from './worker-health.js';
import {workerRetryMs, type Timings} from './timings.js';
import {WorkerLease} from './worker-leases.js';
import {type WorkerControl, type WorkerListing, type WorkerRecord} from './workers.js';

/** Maximum delay after consecutive failed calls, in milliseconds: bounds the time until a recovered worker is detected. */
const maxWorkerRetryMs = 600;
/** Maximum wait for run ends to become durable before the lease is renewed without acknowledging them, in milliseconds. */
const durableWaitMs = 1500;
/** Consecutive failed calls after which a worker counts as unreachable and gets no new work. */
const maxFailures = 2;

/** Rounding error of sums of fractional resources. */
const roundingSlack: Resources = {cpu: 1e-6, memory: 1e-6, gpu: 1e-6};

/** Callbacks and state that a session needs from the scheduler of its pool. */
export abstract class SessionOwner {
	abstract readonly fencingToken: number;
	/** Reports whether leases of active runs may still be renewed. */
	abstract get isRenewalAllowed(): boolean;
	/** Applies a listing; resolves to whether all run ends in it are durable. */
	abstract applyListing(session: WorkerSession, listing: WorkerListing, sentAt: number): Promise<boolean>;
	/** Handles the end of the worker's incarnation, by an order to its VM or for an unknown cause. */
	abstract endIncarnation(session: WorkerSession, reason: string, isOrdered?: boolean): void;
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
	readonly #tasks = new Set<Task>();
	/** Resources that the assigned tasks reserve. */
	#reserved: Resources = noResources;
	/** Assigned tasks under which another worker has crashed. */
	readonly #suspects = new Set<Task>();
	/** Tasks that may have caused the loss of the worker if it turns out to have crashed before its lease expired. */
	suspectsAtExpiry: readonly Task[] = [];
	#servingTasks = 0;
	#fillerTasks = 0;
	/** Listed runs that belong to no assigned task; they are being stopped. */
	readonly unknownRuns = new Map<string, RunKey>();
	readonly #options: WorkerSessionOptions;
	readonly #wake = Signal.create();
	readonly #pendingStops = new Map<Task, {run: number; acknowledgedAt: number | undefined; isSending: boolean}>();
	#lease: WorkerLease;
	#idleSince: number;
	#acknowledgedEnds = 0;
	#failures = 0;
	/** Time of the last listing, on the monotonic clock. */
	#listedAt: number;
	#isListed = false;
	#isClosed = false;

	private constructor(options: WorkerSessionOptions) {
		this.#options = options;
		this.record = options.record;
		this.cordons = Cordons.create(options.clock);
		this.health = WorkerHealth.create();
		this.#lease = WorkerLease.create(options.earlierRunsEndBy);
		this.#idleSince = options.clock.readMonotonic();
		this.#listedAt = this.#idleSince;
		void this.#run();
	}

	get name(): string {
		return formatIncarnation(this.record);
	}

	/** Time of the last listing, on the monotonic clock; the progress of runs is known up to it. */
	get listedAt(): number {
		return this.#listedAt;
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
		return this.#isListed && this.isReachable && this.isRegistered && !this.record.isDraining && !this.cordons.isActive;
	}

	/** Time by which all runs on the worker have ended if the lease is not renewed, on the monotonic clock. */
	get runsEndBy(): number {
		return this.#lease.expiresAt;
	}

	/** Tasks assigned to the worker that are not known to have ended. */
	get tasks(): ReadonlySet<Task> {
		return this.#tasks;
	}

	get isClosed(): boolean {
		return this.#isClosed;
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
			hasSuspect: this.#hasUnprovenSuspect,
		};
	}

	/** Extends the lease for a start that is sent now; returns its end on the worker's clock. */
	renewLease(): number {
		return this.#lease.renew(this.#options.clock.readMonotonic(), this.#options.timings.workerLeaseMs) ?? 0;
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
			this.#pendingStops.set(task, {run: task.run, acknowledgedAt: undefined, isSending: false});
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
			if (task.crashes > 0) {
				this.#suspects.add(task);
			}

			this.#countTask(task, 1);
		}
	}

	/** Unassigns a task and frees its resources. */
	removeTask(task: Task): void {
		if (this.#tasks.delete(task)) {
			this.#suspects.delete(task);
			this.#countTask(task, -1);
		}

		this.#idleSince = this.#options.clock.readMonotonic();
		this.#pendingStops.delete(task);
	}

	/** Stops a listed run that belongs to no assigned task. */
	async stopUnknownRun(key: RunKey): Promise<void> {
		try {
			await this.#options.control.stopRun(this.record, {key, fencingToken: this.#options.owner.fencingToken});
		} catch (error) {
			this.#options.log.warn('stopping an unknown run failed', {worker: this.name, job: key.job, error: readErrorMessage(error)});
		}
	}

	/** Ends the incarnation after an order to the VM has terminated the worker. */
	endByVmOrder(reason: string): void {
		this.#options.owner.endIncarnation(this, reason, true);
	}

	/** Ends the loop; runs on the worker continue. */
	close(): void {
		this.#isClosed = true;
		this.#wake.set();
	}

	get #hasUnprovenSuspect(): boolean {
		for (const task of this.#suspects) {
			if (task.phase === 'recorded' || isUnproven(task, this.#listedAt)) {
				return true;
			}
		}

		return false;
	}

	#countTask({spec}: Task, sign: 1 | -1): void {
		this.#reserved = addResources(this.#reserved, getReservation(spec), sign);
		this.#servingTasks += spec.targetMs === undefined ? 0 : sign;
		this.#fillerTasks += spec.isFiller ? sign : 0;
	}

	get #isBusy(): boolean {
		return !this.#isListed || this.tasks.size > 0 || this.unknownRuns.size > 0;
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

				log.warn('worker not listed', {worker: this.name, failures: ++this.#failures, error: readErrorMessage(error)});
				await clock.sleep(Math.min(maxWorkerRetryMs, this.#failures * workerRetryMs));
			}
		}
	}

	async #callWorker(): Promise<void> {
		const {clock, control, owner, timings} = this.#options;
		for (const task of this.#pendingStops.keys()) {
			void this.#sendStop(task);
		}

		const sentAt = clock.readMonotonic();
		const outcome = await control.renewLease(this.record, {
			fencingToken: owner.fencingToken,
			acknowledgedEnds: this.#acknowledgedEnds,
			leaseUntil: sentAt - this.#listedAt < timings.maxWorkerSilenceMs ? this.#lease.renew(sentAt, timings.workerLeaseMs) : undefined,
			waitMs: this.#isListed && this.isReachable ? timings.longPollMs : 0,
		});
		if (this.#isClosed) {
			return;
		}

		if (outcome.status === 'other-life') {
			owner.endIncarnation(this, 'another incarnation responds at the worker\'s address');
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
			owner.endIncarnation(this, 'worker has restarted');
			return;
		}

		this.#failures = 0;
		this.suspectsAtExpiry = [];
		this.#listedAt = clock.readMonotonic();
		this.#lease.observeClock(listing.clock, clock.readMonotonic());
		if (!this.#isListed) {
			this.#isListed = true;
			this.#lease = this.#lease.clearEarlierRuns();
		}

		const durable = owner.applyListing(this, listing, sentAt);
		const lastSequence = Math.max(this.#acknowledgedEnds, ...listing.ends.map(end => end.sequence));
		if (lastSequence > this.#acknowledgedEnds) {
			await waitAtMost(clock, this.#markAcknowledged(durable, lastSequence), durableWaitMs);
		}
	}

	async #markAcknowledged(durable: Promise<boolean>, lastSequence: number): Promise<void> {
		if (await durable) {
			this.#acknowledgedEnds = Math.max(this.#acknowledgedEnds, lastSequence);
		}
	}

	async #sendStop(task: Task): Promise<void> {
		const stop = this.#pendingStops.get(task);
		if (stop === undefined || stop.isSending || stop.acknowledgedAt !== undefined) {
			return;
		}

		const {control, owner, clock, log} = this.#options;
		stop.isSending = true;
		try {
			const outcome = await control.stopRun(this.record, {key: {...task.key, run: stop.run}, fencingToken: owner.fencingToken});
			if (outcome === 'done') {
				stop.acknowledgedAt = clock.readMonotonic();
			}
		} catch (error) {
			log.warn('stop not answered', {
				worker: this.name, task: task.name, run: stop.run, error: readErrorMessage(error),
			});
		} finally {
			stop.isSending = false;
		}
	}
}
