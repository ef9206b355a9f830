/**
 * Calls to workers about runs. Each runs on its own, so that a worker that doesn't answer delays no other, and leaves its outcome in the run.
 */
import {VerdictError, type Clock} from '@tamarackwind/core';
import {type TaskControl, type TaskResources} from '@tamarackwind/clients';
import {type JobDuty} from './duties.js';
import {type Run} from './runs.js';
import {type JobRow} from './schemas.js';

export type WorkerActionsOptions = {
	readonly clock: Clock;
	readonly tasks: TaskControl;
	readonly duty: JobDuty;
	readonly leaseMs: number;
};

/** Time for which a start may be on its way before the worker refuses it, in milliseconds. */
const startTransitMs = 2000;

/** Sends starts, stops, checkpoints and limits. */
export class WorkerActions {
	static create(options: WorkerActionsOptions): WorkerActions {
		return new WorkerActions(options);
	}

	readonly #options: WorkerActionsOptions;
	readonly #pending = new Map<Run, Promise<void>>();
	#failures = 0;

	private constructor(options: WorkerActionsOptions) {
		this.#options = options;
	}

	/** Calls that failed so far. */
	get failures(): number {
		return this.#failures;
	}

	/** Starts a run whose row is committed. */
	startRun(row: JobRow, run: Run): void {
		run.isStarting = true;
		this.#begin(run, async () => {
			try {
				run.startOutcome = await this.#sendStart(row, run);
			} finally {
				run.isStarting = false;
			}
		});
	}

	/** Stops a run that is wanted no more. */
	cancelRun(run: Run): void {
		run.isCancelled = true;
		this.#begin(run, async () => this.#options.tasks.stopTask(run.task));
	}

	/** Makes the worker promise not to start a run that it does not know. */
	revokeStart(run: Run): void {
		this.#begin(run, async () => {
			await this.#options.tasks.stopTask(run.task);
			run.observation = undefined;
			run.isFenced = true;
		});
	}

	/** Checkpoints and stops a run; it goes on when it could make no checkpoint. */
	evictRun(run: Run, reason: string, minSize?: TaskResources): void {
		run.isEvicting = true;
		this.#begin(run, async () => {
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

	/** Limits the processors of a run. */
	throttleRun(run: Run, cores: number): void {
		this.#begin(run, async () => {
			await this.#options.tasks.throttleTask(run.task, cores);
			run.throttledTo = cores;
		});
	}

	/** Lets the worker forget a run whose end is committed. */
	releaseRun(run: Run): void {
		this.#begin(run, async () => this.#options.tasks.stopTask(run.task));
	}

	/** Waits for the calls in progress. */
	async flush(): Promise<void> {
		await Promise.all(this.#pending.values());
	}

	/** Begins a call unless one is in progress for the run; what is still needed is begun again in a later turn. */
	#begin(run: Run, call: () => Promise<void>): void {
		if (this.#pending.has(run)) {
			return;
		}

		this.#pending.set(run, this.#runCall(run, call));
	}

	async #runCall(run: Run, call: () => Promise<void>): Promise<void> {
		try {
			await call();
		} catch {
			this.#failures++;
		} finally {
			this.#pending.delete(run);
		}
	}

	async #sendStart(row: JobRow, run: Run): Promise<Run['startOutcome']> {
		const {clock, tasks, duty, leaseMs} = this.#options;
		if (!duty.isHeld()) {
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
