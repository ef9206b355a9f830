/**
 * Orders the jobs of a pool. While all jobs that can be in time have enough capacity to be so, every order of this file is that of the
 * deadlines. When a burst asks for more than the pool holds, some jobs have to be late, and the order decides which.
 */
import TinyQueue from 'tinyqueue';
import {
	computeTimeliness, createRank, rankForPeriod, type RankedJob, type RankPeriod,
} from './rankings.js';

/** Properties of a job that determine its rank under insufficient capacity. */
export type OrderedJob = RankedJob & {
	/** Work of the tasks that are not done, in thousandths of a core times milliseconds. */
	readonly remainingWork: number;
	/** Whether the last plan deferred the job. */
	readonly isDeferred: boolean;
};

/** A job that a plan may defer. Times are on the scheduler's clock, in milliseconds; work is in thousandths of a core times milliseconds. */
export type PlannedJob = {
	readonly priority: number;
	/** Time by which the job must end to be in time. */
	readonly deadline: number;
	/** Length of the critical path of the remaining work. */
	readonly remainingMs: number;
	/** Work of the tasks that are not done. */
	readonly remainingWork: number;
	/** The part of it that waits and whose preceding steps are done. */
	readonly openWork: number;
	/** Whether the job was overtaken so often that it is not deferred again. */
	readonly isKept: boolean;
};

/** Capacity of a pool as input to a plan. */
export type PlannedPool = {
	/** Time of the plan, on the scheduler's clock. */
	readonly now: number;
	/** CPU that jobs with a deadline can use, in thousandths of a core. */
	readonly cpu: number;
};

export type LatePosition = 'deadline' | 'work';

/** Order of the jobs of a pool. */
export abstract class JobOrder {
	/** Ranks a job at the time `now` and tells how long the rank holds unless the job changes. */
	abstract rank(job: OrderedJob, now: number): RankPeriod;

	/** What orders the late jobs of one priority: the end of the time in which their results have a value, or their remaining work. */
	abstract readonly latePosition: LatePosition;

	/** Whether the order defers jobs, so that plans have to be made. */
	abstract readonly isDeferring: boolean;

	/** Chooses the jobs that go behind all others which can be in time. */
	abstract chooseDeferred<T extends PlannedJob>(jobs: Iterable<T>, pool: PlannedPool): Set<T>;
}

/**
 * Orders by timeliness, priority and deadline, and defers nothing.
 *
 * Load: demand within the capacity of the pool, or bursts so short that each job can wait for its turn. Under a burst of 5 s that asks for
 * more than the pool holds, the jobs of earliest deadline are taken although some of them become late while they run.
 */
export class DeadlineOrder extends JobOrder {
	static create(): DeadlineOrder {
		return new DeadlineOrder();
	}

	override readonly latePosition = 'deadline';
	override readonly isDeferring = false;

	override rank(job: OrderedJob, now: number): RankPeriod {
		return rankForPeriod(job, now);
	}

	override chooseDeferred<T extends PlannedJob>(): Set<T> {
		return new Set();
	}
}

/**
 * Delays the jobs that cost the most capacity, so that the most callers are served in time.
 *
 * Load: bursts in which a queue asks for some 5 s for more than its pool holds, with jobs of different sizes (0.64 to 2.1 s of work in
 * each of 8 tasks, one or two steps). Jobs of equal size are ordered as by `DeadlineOrder`, but for those that wait in vain.
 */
export class LeastCostOrder extends JobOrder {
	static create(): LeastCostOrder {
		return new LeastCostOrder();
	}

	override readonly latePosition = 'work';
	override readonly isDeferring = true;

	override rank(job: OrderedJob, now: number): RankPeriod {
		const {tier, deadline, until} = computeTimeliness(job, now);
		const {policy: {priority}, remainingWork, isDeferred} = job;
		switch (tier) {
			case 'late':
			case 'expired': {
				return {rank: createRank(tier, priority, remainingWork), until};
			}

			case 'inTime': {
				return {rank: createRank(isDeferred ? 'deferred' : tier, priority, deadline), until};
			}

			case 'longRunning':
			case 'deferred': {
				return {rank: createRank(tier, priority, deadline), until};
			}
		}
	}

	/**
	 * Chooses by the algorithm of Moore and Hodgson on a fluid model: the pool begins one job after the other with its whole CPU, and each
	 * ends its own critical path later. Jobs are taken by priority and deadline; when one would end late, the job with the most remaining
	 * work among those taken of its priority is deferred. A kept job is taken in any case, and defers no other: it would gain one caller and
	 * cost another. Steps whose preceding steps are not done ask for no capacity yet; counted in, they defer jobs that can be in time.
	 */
	override chooseDeferred<T extends PlannedJob>(jobs: Iterable<T>, {now, cpu}: PlannedPool): Set<T> {
		const deferred = new Set<T>();
		let work = 0;
		let priority: number | undefined;
		let taken = createHeap<T>();
		for (const job of cpu > 0 ? sortInTime(jobs, now) : []) {
			if (job.priority !== priority) {
				({priority} = job);
				taken = createHeap<T>();
			}

			if (!job.isKept) {
				taken.push(job);
			}

			// The work before a job decides when it begins; its own is part of its critical path.
			let workBefore = work;
			work += job.openWork;
			while (!job.isKept && !deferred.has(job) && now + (workBefore / cpu) + job.remainingMs > job.deadline) {
				const largest = taken.pop()!;
				deferred.add(largest);
				work -= largest.openWork;
				workBefore -= largest === job ? 0 : largest.openWork;
			}
		}

		return deferred;
	}
}

/** Sorts the jobs that can be in time by priority and deadline. */
function sortInTime<T extends PlannedJob>(jobs: Iterable<T>, now: number): T[] {
	return [...jobs].filter(({deadline, remainingMs}) => now + remainingMs <= deadline).toSorted((a, b) => a.priority - b.priority || a.deadline - b.deadline);
}

/** Creates a heap that yields the job with the most remaining work first, and among equals the one with the latest deadline. */
function createHeap<T extends PlannedJob>(): TinyQueue<T> {
	return new TinyQueue<T>([], (a, b) => b.remainingWork - a.remainingWork || b.deadline - a.deadline);
}
