/**
 * Bounds how often a deferred job is overtaken, so that an order which serves the most callers delays nobody without end.
 */

/** A job that can be deferred. Times are on the scheduler's clock, in milliseconds. */
export type DeferrableJob = {
	readonly priority: number;
	readonly submittedAt: number;
	/** Time by which the job must end to be in time. */
	readonly deadline: number;
};

/** Number of jobs that may overtake a deferred one; then it keeps its place by deadline. */
export const maxOvertakes = 8;

/**
 * The deferred jobs of a pool, and how often each was overtaken.
 *
 * Load: bursts that last so long that new small jobs arrive as fast as the pool serves them, so that a large job would wait until its end.
 *
 * @example
 * deferred.replace(order.chooseDeferred(jobs, pool));
 * deferred.noteStart(job); // the jobs that keep their place from now on
 */
export class DeferredJobs<T extends DeferrableJob> {
	/** `limit` is the number of jobs that may overtake each deferred one. */
	static create<T extends DeferrableJob>(limit = maxOvertakes): DeferredJobs<T> {
		return new DeferredJobs<T>(limit);
	}

	readonly #deferred = new Set<T>();
	readonly #overtakes = new Map<T, number>();

	private constructor(private readonly limit: number) {}

	/** Number of deferred jobs. */
	get size(): number {
		return this.#deferred.size;
	}

	/** Reports whether a job is deferred. */
	isDeferred(job: T): boolean {
		return this.#deferred.has(job);
	}

	/** Reports whether a job was overtaken so often that it keeps its place. */
	isKept(job: T): boolean {
		return (this.#overtakes.get(job) ?? 0) >= this.limit;
	}

	/** Replaces the deferred jobs by those of a new plan; returns the jobs that are deferred now or no longer. */
	replace(deferred: ReadonlySet<T>): T[] {
		const changed: T[] = [];
		for (const job of this.#deferred) {
			if (!deferred.has(job)) {
				this.#deferred.delete(job);
				changed.push(job);
			}
		}

		for (const job of deferred) {
			if (!this.#deferred.has(job) && !this.isKept(job)) {
				this.#deferred.add(job);
				changed.push(job);
			}
		}

		return changed;
	}

	/**
	 * Notes that a job starts: it overtakes each deferred job that arrived before it and precedes it by priority and deadline. Returns the
	 * jobs that keep their place from now on.
	 */
	noteStart(started: T): T[] {
		const kept: T[] = [];
		for (const job of this.#deferred) {
			if (isOvertaken(job, started)) {
				const overtakes = (this.#overtakes.get(job) ?? 0) + 1;
				this.#overtakes.set(job, overtakes);
				if (overtakes >= this.limit) {
					this.#deferred.delete(job);
					kept.push(job);
				}
			}
		}

		return kept;
	}

	/** Forgets a job that has ended. */
	remove(job: T): void {
		this.#deferred.delete(job);
		this.#overtakes.delete(job);
	}
}

function isOvertaken(job: DeferrableJob, started: DeferrableJob): boolean {
	return started.submittedAt > job.submittedAt && (job.priority < started.priority || (job.priority === started.priority && job.deadline <= started.deadline));
}
