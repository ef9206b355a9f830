/**
 * Remembers the recent crashes of a pool's workers, from which the rate of crashes without a task is estimated.
 */
import {type VmId} from '@tamarackwind/core';
import {type Task} from './tasks.js';

/** Intervals over which crashes are counted, in milliseconds: the short one follows a sudden series, the long one a steady rate. */
const windowsMs = [5000, 60_000] as const;
const longestWindowMs = Math.max(...windowsMs);
/** Crashes that are added to those of the longest interval, so that a pool without any does not count as one that can't crash. */
const assumedCrashes = 0.5;
/** Time between the losses of workers that may have a common cause, in milliseconds: a rack or its network. */
const commonLossMs = 50;
/** Interval in which crashes of one worker count against it, in milliseconds. */
const workerWindowMs = 30_000;
/** Crashes in this interval from which a worker gets tasks only when no other has capacity: a single one is ordinary. */
const minWorkerCrashes = 2;

/** Time within which a worker was lost, on the monotonic clock. */
export type LossInterval = {
	readonly worker: VmId;
	/** When the worker was last known to be up. */
	readonly seenAt: number;
	/** When it was found to be gone. */
	readonly lostAt: number;
};

/** The loss of a worker with the tasks that ran on it. */
export type Loss = LossInterval & {readonly tasks: ReadonlySet<Task>};

/** The crash of a worker. */
export type Crash = {
	readonly worker: VmId;
	/** When the worker was last known to be up, on the monotonic clock. */
	readonly seenAt: number;
	/** Time of the crash, on the monotonic clock. */
	readonly at: number;
	/** Tasks that ran on the worker. */
	readonly tasks: ReadonlySet<Task>;
	/** Whether a suspect ran on the worker, so that the crash does not count against the worker. */
	readonly isExplained: boolean;
};

/** Holds the recent crashes of one pool's workers. */
export class CrashHistory {
	static create(): CrashHistory {
		return new CrashHistory();
	}

	#crashes: Crash[] = [];

	private constructor() {}

	record(crash: Crash): void {
		this.#crashes = [...this.#crashes.filter(({at}) => crash.at - at < longestWindowMs), crash];
	}

	/** Estimates the crashes of a worker per millisecond while it does not run the given task. */
	estimateRate(task: Task, now: number, workers: number): number {
		const others = this.#crashes.filter(({tasks}) => !tasks.has(task));
		const rates = windowsMs.map(windowMs => {
			const count = others.filter(({at}) => now - at < windowMs).length + (windowMs === longestWindowMs ? assumedCrashes : 0);
			return count / (windowMs * Math.max(1, workers));
		});
		return Math.max(...rates);
	}

	/** Lists the losses of other workers in the interval in which a worker was lost, one for each; `lost` are those whose end is not known yet. */
	listCommonLosses({worker, seenAt, lostAt}: LossInterval, lost: readonly Loss[]): Loss[] {
		const losses = [...this.#crashes.map(({at, ...crash}) => ({...crash, lostAt: at})), ...lost]
			.filter(other => other.worker !== worker && other.seenAt <= lostAt + commonLossMs && other.lostAt >= seenAt - commonLossMs);
		return [...new Map(losses.map(loss => [loss.worker, loss])).values()];
	}

	/** Counts the crashes of workers that ran the given task. */
	countCrashes(task: Task): number {
		return this.#crashes.filter(({tasks}) => tasks.has(task)).length;
	}

	/** Computes the suspicion of a worker that keeps crashing without a suspect, as in `WorkerHealth`. */
	computeSuspicion(worker: VmId, now: number): number {
		if (this.#crashes.length === 0) {
			return 0;
		}

		const count = this.#crashes.filter(crash => crash.worker === worker && !crash.isExplained && now - crash.at < workerWindowMs).length;
		return count < minWorkerCrashes ? 0 : count / minWorkerCrashes;
	}
}
