/**
 * Estimates when a job that arrives now would get capacity, and decides whether it is refused.
 */
import {hashFraction} from './hash-fractions.js';
import {type LatePosition} from './job-orders.js';
import {lateFactor, type RankTier} from './rankings.js';

/** What an unfinished job asks of its pool; work is in thousandths of a core times milliseconds. */
export type BacklogJob = {
	readonly priority: number;
	readonly tier: RankTier;
	/** Position among the jobs of its tier and priority; a time is relative to that of the estimate. */
	readonly position: number;
	/** Work of the tasks that are not done. */
	readonly remainingWork: number;
	/** Work of the tasks that wait. */
	readonly waitingWork: number;
	/** The part of it whose preceding steps are done. */
	readonly openWork: number;
};

/** Capacity of a pool. */
export type PoolCapacity = {
	/** CPU of the pool for jobs that end, including VMs on their way, in thousandths of a core. */
	readonly cpu: number;
	/** Whether some VM of the pool runs nothing. */
	readonly hasIdleVm: boolean;
	/** What orders the late jobs of the pool. */
	readonly latePosition: LatePosition;
};

/** Time in milliseconds that the pool needs for the work up to a position. */
export type BacklogPoint = readonly [position: number, ms: number];

/** Time that the pool needs for the work before the jobs of one tier and priority, and then for theirs by position. */
export type TierBacklog = {readonly beforeMs: number; readonly points: readonly BacklogPoint[]};

/** Work that goes before a job of one priority that arrives now: while it can be in time, and later. */
export type PriorityEstimate = {
	readonly priority: number;
	readonly inTime: TierBacklog;
	readonly late: TierBacklog;
	/** Least work of the deferred jobs, in thousandths of a core times milliseconds; a job with as much work would be deferred too. Omitted if none is deferred. */
	readonly deferredWork?: number;
};

/** When a job that arrives now would get capacity in a pool. */
export type PoolEstimate = {
	/** Estimates of the priorities of the unfinished jobs, the highest priority first. */
	readonly priorities: readonly PriorityEstimate[];
	readonly hasIdleVm: boolean;
	/** What orders the late jobs of the pool. */
	readonly latePosition: LatePosition;
};

/** A job that arrives. */
export type ArrivingJob = {
	readonly id: string;
	readonly priority: number;
	/** Length of the critical path, in milliseconds. */
	readonly criticalPathMs: number;
	/** Latency objective, in milliseconds. */
	readonly objectiveMs: number;
	/** Work of all tasks, in thousandths of a core times milliseconds. */
	readonly work: number;
};

/** An estimate as an entry knows it. */
export type KnownEstimate = {readonly estimate: PoolEstimate; readonly ageMs: number};

/** Refusal of a job that arrives. */
export type Refusal = {
	/** Time until the job would get capacity, in milliseconds. */
	readonly estimateMs: number;
	/** Time after which the caller may return, in whole seconds. */
	readonly retryAfterS: number;
};

/** Age from which an estimate refuses nothing, in milliseconds: three renewals of the scheduler lease are late then, and a burst has changed the backlog. */
export const maxEstimateAgeMs = 2000;

const millisecondsPerSecond = 1000;
/** Maximum number of points that describe the work of one tier and priority: the status of all pools shares one row. */
const maxPoints = 8;
/** Longest time after which a refused caller is asked to return, in seconds: a burst lasts some 5 s, and an estimate beyond that says little. */
const maxRetryAfterS = 60;
/** Part of its own length over which the time to return is spread. */
const spreadShare = 0.5;

/**
 * Estimates when a job that arrives now would get capacity: the work that goes before it by rank, divided by the CPU of the pool.
 * Returns `undefined` for a pool without CPU, whose estimate would say nothing.
 *
 * Load: bursts of some 5 s that ask for a multiple of what the pool holds. Running tasks are left out, since they free the CPU that they
 * take by and by; work that arrives later and goes before the job is not foreseen. Both err towards an early end.
 */
export function estimatePool(jobs: Iterable<BacklogJob>, {cpu, hasIdleVm, latePosition}: PoolCapacity): PoolEstimate | undefined {
	if (cpu <= 0) {
		return undefined;
	}

	const byPriority = new Map<number, PriorityBacklog>();
	let workBeforeLate = 0;
	for (const {priority, tier, position, remainingWork, waitingWork, openWork} of jobs) {
		const backlog = byPriority.get(priority) ?? {inTime: [], late: [], deferredWork: undefined};
		byPriority.set(priority, backlog);
		workBeforeLate += tier === 'inTime' || tier === 'deferred' ? waitingWork : 0;
		switch (tier) {
			case 'inTime': {
				backlog.inTime.push([position, openWork]);
				break;
			}

			case 'deferred': {
				backlog.deferredWork = Math.min(remainingWork, backlog.deferredWork ?? Number.POSITIVE_INFINITY);
				break;
			}

			case 'late': {
				backlog.late.push([position, waitingWork]);
				break;
			}

			case 'longRunning':
			case 'expired': {
				break;
			}
		}
	}

	let inTimeWork = 0;
	let lateWork = workBeforeLate;
	const priorities: PriorityEstimate[] = [];
	for (const priority of [...byPriority.keys()].toSorted((a, b) => a - b)) {
		const {inTime, late, deferredWork} = byPriority.get(priority)!;
		priorities.push({
			priority, inTime: describeTier(inTime, inTimeWork, cpu), late: describeTier(late, lateWork, cpu), ...(deferredWork === undefined ? {} : {deferredWork: Math.round(deferredWork)}),
		});
		inTimeWork += sumWork(inTime);
		lateWork += sumWork(late);
	}

	return {priorities, hasIdleVm, latePosition};
}

type WorkPoint = readonly [position: number, work: number];

type PriorityBacklog = {readonly inTime: WorkPoint[]; readonly late: WorkPoint[]; deferredWork: number | undefined};

function sumWork(works: readonly WorkPoint[]): number {
	return works.reduce((sum, [, work]) => sum + work, 0);
}

/** Describes the work of one tier and priority by points of about the same distance in work. */
function describeTier(works: WorkPoint[], workBefore: number, cpu: number): TierBacklog {
	const distance = sumWork(works) / maxPoints;
	const points: BacklogPoint[] = [];
	let work = 0;
	let nextWork = distance;
	for (const [index, [position, own]] of works.toSorted((a, b) => a[0] - b[0]).entries()) {
		work += own;
		if (work >= nextWork || index === works.length - 1) {
			points.push([Math.ceil(position), Math.round((workBefore + work) / cpu)]);
			nextWork = work + distance;
		}
	}

	return {beforeMs: Math.round(workBefore / cpu), points: points.slice(0, maxPoints)};
}

/**
 * Estimates when a job that arrives now would get capacity, in milliseconds: behind the jobs in time with earlier deadlines if it can be in
 * time itself and costs less than each deferred job, else behind all jobs in time and the late ones before it. A job of a higher priority than all unfinished ones gets capacity
 * at once.
 */
export function estimateStartMs({priorities, latePosition}: PoolEstimate, {priority, criticalPathMs, objectiveMs, work}: Omit<ArrivingJob, 'id'>): number {
	const known = priorities.findLast(other => other.priority <= priority);
	if (known === undefined) {
		return 0;
	}

	const isSame = known.priority === priority;
	const inTimeMs = findBacklogMs(known.inTime, isSame ? objectiveMs : Number.POSITIVE_INFINITY);
	const isDeferred = isSame && work >= (known.deferredWork ?? Number.POSITIVE_INFINITY);
	if (!isDeferred && inTimeMs + criticalPathMs <= objectiveMs) {
		return inTimeMs;
	}

	const position = latePosition === 'work' ? work : lateFactor * objectiveMs;
	return Math.max(inTimeMs, findBacklogMs(known.late, isSame ? position : Number.POSITIVE_INFINITY));
}

function findBacklogMs({beforeMs, points}: TierBacklog, position: number): number {
	return points.findLast(point => point[0] <= position)?.[1] ?? beforeMs;
}

/**
 * Finds the reason to refuse a job that arrives now: its estimated end is beyond the time after which its result has no value, its pool
 * has no idle VM, and the estimate is young. Without an estimate nothing is refused.
 *
 * Load: bursts of some 5 s that ask for so much more than the pool holds that a part of the jobs could only end after three times their
 * latency objective. Served, such jobs would take capacity from those that can end before.
 */
export function findRefusal(job: ArrivingJob, known: KnownEstimate | undefined): Refusal | undefined {
	if (known === undefined || known.ageMs >= maxEstimateAgeMs || known.estimate.hasIdleVm) {
		return undefined;
	}

	const estimateMs = estimateStartMs(known.estimate, job);
	return estimateMs + job.criticalPathMs > lateFactor * job.objectiveMs ? {estimateMs, retryAfterS: computeRetryAfterS(estimateMs, job.id)} : undefined;
}

/** Computes the time in whole seconds after which a refused caller may return: the estimate, at least a second, and up to half as much again by the id of the job, so that refused callers do not return together. */
export function computeRetryAfterS(estimateMs: number, id: string): number {
	const seconds = Math.min(maxRetryAfterS, Math.max(1, estimateMs / millisecondsPerSecond));
	return Math.round(seconds * (1 + (spreadShare * hashFraction('retry', id))));
}
