/**
 * Phases of a task, and counts of tasks by phase that are kept as tasks change.
 */

/**
 * - `waiting`: not assigned to a worker.
 * - `recorded`: assigned to a worker; the assignment is being written.
 * - `starting`: the start was sent; its outcome is not known yet.
 * - `running`: the worker has confirmed the run.
 * - `stopping`: a stop was requested, or the start's outcome is unknown and the run is being stopped.
 * - `done`: the task has succeeded; final.
 */
export type TaskPhase = 'waiting' | 'recorded' | 'starting' | 'running' | 'stopping' | 'done';

/** Reports whether a task in a phase is assigned to a worker, or its last run is not known to have ended. */
export function isAssigned(phase: TaskPhase): boolean {
	return phase !== 'waiting' && phase !== 'done';
}

/** Counts the tasks of a step or job in each phase. */
export class PhaseCounts {
	/** Creates the counts of a number of waiting tasks. */
	static create(waiting: number): PhaseCounts {
		return new PhaseCounts(waiting);
	}

	readonly #counts: Record<TaskPhase, number>;
	#total: number;

	private constructor(waiting: number) {
		this.#total = waiting;
		this.#counts = {
			waiting, recorded: 0, starting: 0, running: 0, stopping: 0, done: 0,
		};
	}

	/** Number of tasks in all phases. */
	get total(): number {
		return this.#total;
	}

	get(phase: TaskPhase): number {
		return this.#counts[phase];
	}

	/** Adds tasks in a phase. */
	add(phase: TaskPhase, count: number): void {
		this.#counts[phase] += count;
		this.#total += count;
	}

	/** Counts a task in the phase `to` that was in `from`. */
	replace(from: TaskPhase, to: TaskPhase): void {
		this.#counts[from]--;
		this.#counts[to]++;
	}
}
