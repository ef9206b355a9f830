/**
 * The holder's dealings with one life of a worker: one task a worker that renews its lease, lists its runs and hands on what it finds.
 */
import {readErrorMessage, type Clock} from '@tamarackwind/core';
import {
	addResources, getReservation, noResources, type Candidate, type Resources,
} from '@tamarackwind/scheduling';
import {type Task} from './active-jobs.js';
import {type DecisionLog} from './decision-logs.js';
import {formatLife, type RunKey} from './jobs.js';
import {Signal} from './signals.js';
import {WorkerHealth} from './worker-healths.js';
import {WorkerLease} from './worker-leases.js';
import {type WorkerControl, type WorkerListing, type WorkerRecord} from './workers.js';

/** Lease that each call asks for, in milliseconds: outlasts a takeover of the scheduler's duty (about 4 s) with a second call lost. */
const leaseTermMs = 8000;
/** Wait for an end in a call that has nothing else to say, in milliseconds. */
const holdWaitMs = 1000;
/** Pause after a call that failed, in milliseconds. */
const failurePauseMs = 150;
/** Longest pause after several calls that failed, in milliseconds: a worker that is back is seen within it. */
const maxFailurePauseMs = 600;
/** Longest wait for ends to be made durable before the lease is renewed without acknowledging them, in milliseconds. */
const durableWaitMs = 1500;
/** Calls that fail one after the other before a worker gets no new work. */
const unreachableFailures = 2;

/** What a session needs of the pool that it belongs to. */
export abstract class SessionOwner {
	abstract readonly fencingToken: number;
	/** Tells whether leases may still be renewed for what runs. */
	abstract get isHoldAllowed(): boolean;
	/** Takes in a listing; resolves to whether all of its ends are durable, once that is known. */
	abstract applyListing(session: WorkerSession, listing: WorkerListing, sentAt: number): Promise<boolean>;
	/** Takes in that the worker's life is over. */
	abstract endLife(session: WorkerSession, reason: string): void;
	/** Takes in that the worker obeys a later holder. */
	abstract noteFenced(session: WorkerSession): void;
}

export type WorkerSessionOptions = {
	readonly clock: Clock;
	readonly control: WorkerControl;
	readonly log: DecisionLog;
	readonly owner: SessionOwner;
	readonly record: WorkerRecord;
	/** When what an earlier holder started here has surely ended, if the worker is never reached; on the monotonic clock. */
	readonly unknownUntil: number;
};

/** One life of a worker as its holder sees it. */
export class WorkerSession {
	static create(options: WorkerSessionOptions): WorkerSession {
		return new WorkerSession(options);
	}

	record: WorkerRecord;
	/** Whether the registry still lists it. */
	isRegistered = true;
	/** Set while its VM is being emptied for upkeep or a move. */
	isEmptying = false;
	readonly health: WorkerHealth;
	readonly #tasks = new Set<Task>();
	/** What the tasks reserve. */
	#used: Resources = noResources;
	/** Runs found here that no task accounts for; they are being stopped. */
	readonly strays = new Map<string, RunKey>();
	readonly #options: WorkerSessionOptions;
	readonly #wake = Signal.create();
	readonly #stops = new Map<Task, {run: number; ackedAt: number | undefined; isSending: boolean}>();
	#lease: WorkerLease;
	#emptySince: number;
	#seenEnds = 0;
	#failures = 0;
	#isListed = false;
	#isClosed = false;

	private constructor(options: WorkerSessionOptions) {
		this.#options = options;
		this.record = options.record;
		this.health = WorkerHealth.create();
		this.#lease = WorkerLease.create(options.unknownUntil);
		this.#emptySince = options.clock.readMonotonic();
		void this.#run();
	}

	get name(): string {
		return formatLife(this.record);
	}

	/** Whether it has told, under this holder's token, what runs on it. */
	get isListed(): boolean {
		return this.#isListed;
	}

	get isReachable(): boolean {
		return this.#failures < unreachableFailures;
	}

	/** Whether it may get new work. */
	get isOpen(): boolean {
		return this.#isListed && this.isReachable && this.isRegistered && !this.record.isDraining && !this.isEmptying;
	}

	/** When nothing runs here any more if it is not reached again, on the monotonic clock. */
	get lapsesAt(): number {
		return this.#lease.lapsesAt;
	}

	/** Tasks assigned here whose end is not known. */
	get tasks(): ReadonlySet<Task> {
		return this.#tasks;
	}

	get isClosed(): boolean {
		return this.#isClosed;
	}

	/** Room that is neither in use nor reserved. */
	get free(): Resources {
		return this.strays.size > 0 ? noResources : addResources(this.record.capacity, this.#used, -1);
	}

	/** Describes the worker for a placement. */
	describe(now: number): Candidate & {readonly session: WorkerSession} {
		let servingTasks = 0;
		let fillerTasks = 0;
		for (const {spec} of this.#tasks) {
			servingTasks += spec.targetMs === undefined ? 0 : 1;
			fillerTasks += spec.isFiller ? 1 : 0;
		}

		return {
			session: this,
			id: this.record.id,
			zone: this.record.zone,
			labels: this.record.labels,
			capacity: this.record.capacity,
			free: this.free,
			suspicion: this.health.computeDoubt(now),
			servingTasks,
			fillerTasks,
		};
	}

	/** Lease for a start that is sent now, on the worker's clock. */
	renewLease(): number {
		return this.#lease.renew(this.#options.clock.readMonotonic(), leaseTermMs) ?? 0;
	}

	/** Makes the loop look at the worker at once. */
	wake(): void {
		this.#wake.set();
	}

	/** Stops the run of a task; the task leaves the worker when a later listing shows that it is gone. */
	stopTask(task: Task): void {
		task.phase = 'stopping';
		const known = this.#stops.get(task);
		if (known?.run !== task.run) {
			this.#stops.set(task, {run: task.run, ackedAt: undefined, isSending: false});
		}

		void this.#sendStop(task);
	}

	/** Tells whether a listing that was asked for at `sentAt` shows all that a stop of the task has left. */
	isStopSettled(task: Task, sentAt: number): boolean {
		const stop = this.#stops.get(task);
		return stop?.run === task.run && stop.ackedAt !== undefined && stop.ackedAt <= sentAt;
	}

	/** When the last task left, on the monotonic clock; `undefined` while there are any. */
	get emptySince(): number | undefined {
		return this.tasks.size === 0 && this.strays.size === 0 ? this.#emptySince : undefined;
	}

	/** Assigns a task to the worker and reserves its room. */
	addTask(task: Task): void {
		if (!this.#tasks.has(task)) {
			this.#tasks.add(task);
			this.#used = addResources(this.#used, getReservation(task.spec));
		}
	}

	/** Takes a task off the worker. */
	removeTask(task: Task): void {
		if (this.#tasks.delete(task)) {
			this.#used = addResources(this.#used, getReservation(task.spec), -1);
		}

		this.#emptySince = this.#options.clock.readMonotonic();
		this.#stops.delete(task);
	}

	/** Stops a run that no task accounts for. */
	async stopStray(key: RunKey): Promise<void> {
		try {
			await this.#options.control.stopRun(this.record, {key, fencingToken: this.#options.owner.fencingToken});
		} catch (error) {
			this.#options.log.warn('stray run not stopped', {worker: this.name, job: key.job, error: readErrorMessage(error)});
		}
	}

	/** Takes in that an order to the VM has ended the worker's life. */
	endByOrder(reason: string): void {
		this.#options.owner.endLife(this, reason);
	}

	/** Ends the loop; what runs on the worker goes on. */
	close(): void {
		this.#isClosed = true;
		this.#wake.set();
	}

	get #isBusy(): boolean {
		return !this.#isListed || this.tasks.size > 0 || this.strays.size > 0;
	}

	async #run(): Promise<void> {
		const {clock, owner, log} = this.#options;
		while (!this.#isClosed) {
			try {
				if (!this.#isBusy) {
					await this.#wake.wait();
				} else if (owner.isHoldAllowed) {
					await this.#hold();
				} else {
					await clock.sleep(failurePauseMs);
				}
			} catch (error) {
				if (this.#isClosed) {
					// Why the session was closed has been logged; that its last call fails follows from it.
					return;
				}

				log.warn('worker not listed', {worker: this.name, failures: ++this.#failures, error: readErrorMessage(error)});
				await clock.sleep(Math.min(maxFailurePauseMs, this.#failures * failurePauseMs));
			}
		}
	}

	async #hold(): Promise<void> {
		const {clock, control, owner} = this.#options;
		for (const task of this.#stops.keys()) {
			void this.#sendStop(task);
		}

		const sentAt = clock.readMonotonic();
		const outcome = await control.holdRuns(this.record, {
			fencingToken: owner.fencingToken,
			seenEnds: this.#seenEnds,
			leaseUntil: this.#lease.renew(sentAt, leaseTermMs),
			waitMs: this.#isListed && this.isReachable ? holdWaitMs : 0,
		});
		if (this.#isClosed) {
			return;
		}

		if (outcome.status === 'other-life') {
			owner.endLife(this, 'another worker answers');
		} else if (outcome.status === 'fenced') {
			owner.noteFenced(this);
			await clock.sleep(failurePauseMs);
		} else {
			await this.#takeListing(outcome, sentAt);
		}
	}

	async #takeListing(listing: WorkerListing, sentAt: number): Promise<void> {
		const {clock, owner} = this.#options;
		if (listing.bornAt !== undefined && listing.bornAt !== this.record.bornAt) {
			owner.endLife(this, 'worker has restarted');
			return;
		}

		this.#failures = 0;
		this.#lease.observeClock(listing.clock, clock.readMonotonic());
		if (!this.#isListed) {
			this.#isListed = true;
			this.#lease = this.#lease.clearUnknown();
		}

		const durable = owner.applyListing(this, listing, sentAt);
		const last = Math.max(this.#seenEnds, ...listing.ends.map(end => end.sequence));
		if (last > this.#seenEnds) {
			await Promise.race([this.#markSeen(durable, last), clock.sleep(durableWaitMs)]);
		}
	}

	async #markSeen(durable: Promise<boolean>, last: number): Promise<void> {
		if (await durable) {
			this.#seenEnds = Math.max(this.#seenEnds, last);
		}
	}

	async #sendStop(task: Task): Promise<void> {
		const stop = this.#stops.get(task);
		if (stop === undefined || stop.isSending || stop.ackedAt !== undefined) {
			return;
		}

		const {control, owner, clock, log} = this.#options;
		stop.isSending = true;
		try {
			const outcome = await control.stopRun(this.record, {key: {...task.key, run: stop.run}, fencingToken: owner.fencingToken});
			if (outcome === 'done') {
				stop.ackedAt = clock.readMonotonic();
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
