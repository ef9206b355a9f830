/**
 * Sends calls about runs to workers. Calls run in the background, so that an unresponsive worker delays no other, and store their
 * outcome in the run.
 */
import {VerdictError, type Clock} from '@tamarackwind/core';
import {type TaskControl, type TaskResources} from '@tamarackwind/clients';
import {type JobSchedulerLease} from './job-scheduler-leases.js';
import {type Run} from './run-monitors.js';
import {type JobRow} from './schemas.js';

export type WorkerActionsOptions = {
	readonly clock: Clock;
	readonly tasks: TaskControl;
	readonly schedulerLease: JobSchedulerLease;
	readonly leaseMs: number;
};

/** Time after which the worker refuses a start that is still in transit, in milliseconds. */
const startTransitMs = 2000;

/** Starts, stops, checkpoints and throttles runs on workers. */
export class WorkerActions {
	static create(options: WorkerActionsOptions): WorkerActions {
		return new WorkerActions(options);
	}

	readonly #options: WorkerActionsOptions;
	readonly #callsInProgress = new Map<Run, Promise<void>>();
	#failures = 0;

	private constructor(options: WorkerActionsOptions) {
		this.#options = options;
	}

	/** Number of failed calls. */
	get failures(): number {
		return this.#failures;
	}

	/** Starts a run; the row of the start must be committed. */
	startRun(row: JobRow, run: Run): void {
		run.isStarting = true;
		this.#beginCall(run, async () => {
			try {
				run.startOutcome = await this.#sendStart(row, run);
			} finally {
				run.isStarting = false;
			}
		});
	}

	/** Stops the run of a cancelled job. */
	cancelRun(run: Run): void {
		run.isCancelled = true;
		this.#beginCall(run, async () => this.#options.tasks.stopTask(run.task));
	}

	/** Stops a run that the worker does not know, so that the worker refuses a delayed start of it. */
	revokeStart(run: Run): void {
		this.#beginCall(run, async () => {
			await this.#options.tasks.stopTask(run.task);
			run.observation = undefined;
			run.isFenced = true;
		});
	}

	/** Checkpoints and stops a run; the run continues if it made no checkpoint. */
	evictRun(run: Run, reason: string, minSize?: TaskResources): void {
		run.isEvicting = true;
		this.#beginCall(run, async () => {
			const {tasks} = this.#options;
			try {
				const checkpoint = await tasks.checkpointTask(run.task);
				if (checkpoint !== undefined) {
					await tasks.stopTask(run.task);
					run.evicted = {checkpoint, reason, minSize};
				}
			} finally {
				run.isEvicting = run.evicted !== undefined;
			}
		});
	}

	/** Limits the CPU cores of a run. */
	throttleRun(run: Run, cores: number): void {
		this.#beginCall(run, async () => {
			await this.#options.tasks.throttleTask(run.task, cores);
			run.throttledTo = cores;
		});
	}

	/** Stops a run whose end is committed, so that the worker discards its state. */
	stopEndedRun(run: Run): void {
		this.#beginCall(run, async () => this.#options.tasks.stopTask(run.task));
	}

	/** Waits until the calls in progress end. */
	async flush(): Promise<void> {
		await Promise.all(this.#callsInProgress.values());
	}

	/** Begins a call unless one is in progress for the run. A later turn begins a skipped call if it is still needed. */
	#beginCall(run: Run, call: () => Promise<void>): void {
		if (this.#callsInProgress.has(run)) {
			return;
		}

		this.#callsInProgress.set(run, this.#runCall(run, call));
	}

	async #runCall(run: Run, call: () => Promise<void>): Promise<void> {
		try {
			await call();
		} catch {
			this.#failures++;
		} finally {
			this.#callsInProgress.delete(run);
		}
	}

	async #sendStart(row: JobRow, run: Run): Promise<Run['startOutcome']> {
		const {clock, tasks, schedulerLease, leaseMs} = this.#options;
		if (!schedulerLease.isHeld()) {
			return 'unknown';
		}

		try {
			const isStarted = await tasks.startTask({
				...run.task, leaseMs, kind: row.spec.kind, payload: row.payload, checkpoint: row.checkpoint, resources: run.size, startBy: clock.readWall() + startTransitMs,
			});
			run.renewedAt = clock.readMonotonic();
			return isStarted ? 'started' : 'refused';
		} catch (error) {
			run.renewedAt = clock.readMonotonic();
			return error instanceof VerdictError && error.verdict === 'not-run' ? 'refused' : 'unknown';
		}
	}
}
