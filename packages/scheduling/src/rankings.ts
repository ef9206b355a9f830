/**
 * Ranks jobs for scheduling. When the load exceeds a pool's capacity, jobs that can still meet their latency objective go before
 * those that can't, so that a backlog does not delay every job past its objective.
 */
import {type QueuePolicy, type StepSpec} from './models.js';

/** Multiple of the latency objective after which the result of a job has no value. */
export const lateFactor = 3;

/** Properties of a job that determine its rank. */
export type RankedJob = {
	readonly policy: QueuePolicy;
	readonly isLongRunning: boolean;
	/** Submission time on the scheduler's clock, in milliseconds. */
	readonly submittedAt: number;
	/** Length of the critical path in milliseconds. */
	readonly criticalPathMs: number;
	/** Length of the critical path of the remaining work in milliseconds. */
	readonly remainingMs: number;
};

/** Rank of a job, compared element by element; lower values come first. */
export type Rank = readonly [tier: number, deadline: number];

/** A rank and the time until which it holds, on the scheduler's clock. */
export type RankPeriod = {readonly rank: Rank; readonly until: number};

/** Tiers of ranks, in their order. Only an order for insufficient capacity defers jobs. */
export const rankTiers = ['longRunning', 'inTime', 'deferred', 'late', 'expired'] as const;

export type RankTier = (typeof rankTiers)[number];

/** Timeliness of a job, and the time until which it lasts unless the job's remaining work changes. */
export type Timeliness = {
	readonly tier: RankTier;
	/** Time by which the job must end for its tier. */
	readonly deadline: number;
	readonly until: number;
};

/** Difference between the ranks of two tiers; above any priority, so that a job in time goes before a late one of higher priority. */
const tierWeight = 1000;

/** Computes the latency objective of a job, in milliseconds from its submission. */
export function computeObjectiveMs({policy, criticalPathMs}: Pick<RankedJob, 'policy' | 'criticalPathMs'>): number {
	return (policy.slackFactor * criticalPathMs) + policy.targetLatencyMs;
}

/** Computes the rank of a job at the time `now`. */
export function rankJob(job: RankedJob, now: number): Rank {
	return rankForPeriod(job, now).rank;
}

/** Computes the rank of a job at the time `now` and how long it holds unless the job's remaining work changes. */
export function rankForPeriod(job: RankedJob, now: number): RankPeriod {
	const {tier, deadline, until} = computeTimeliness(job, now);
	return {rank: createRank(tier, job.policy.priority, deadline), until};
}

/** Computes whether a job can be in time, and until when. */
export function computeTimeliness(job: RankedJob, now: number): Timeliness {
	if (job.isLongRunning) {
		return {tier: 'longRunning', deadline: job.submittedAt, until: Number.POSITIVE_INFINITY};
	}

	const objectiveMs = computeObjectiveMs(job);
	const {remainingMs} = job;
	const deadline = job.submittedAt + objectiveMs;
	if (now <= deadline - remainingMs) {
		return {tier: 'inTime', deadline, until: deadline - remainingMs};
	}

	const lateDeadline = job.submittedAt + (lateFactor * objectiveMs);
	return now <= lateDeadline - remainingMs
		? {tier: 'late', deadline: lateDeadline, until: lateDeadline - remainingMs}
		: {tier: 'expired', deadline: lateDeadline, until: Number.POSITIVE_INFINITY};
}

/** Creates a rank; long-running jobs have no priority. `position` orders the jobs of one tier and priority. */
export function createRank(tier: RankTier, priority: number, position: number): Rank {
	return [(rankTiers.indexOf(tier) * tierWeight) + (tier === 'longRunning' ? 0 : priority), position];
}

/** Finds the tier of a rank. */
export function findTier(rank: Rank): RankTier {
	return rankTiers[Math.floor(rank[0] / tierWeight)] ?? 'expired';
}

/** Compares two ranks for sorting. */
export function compareRanks(a: Rank, b: Rank): number {
	return a[0] - b[0] || a[1] - b[1];
}

/** Computes the length of the critical path through the steps in milliseconds; `getMs` returns the full or remaining duration of a step. */
export function computeCriticalPathMs(steps: readonly StepSpec[], getMs: (step: StepSpec, index: number) => number): number {
	const endTimes: number[] = [];
	for (const [index, step] of steps.entries()) {
		const startsAt = Math.max(0, ...step.after.map(earlier => endTimes[earlier] ?? 0));
		endTimes.push(startsAt + getMs(step, index));
	}

	return Math.max(0, ...endTimes);
}
