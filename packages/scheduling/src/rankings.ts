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

const tiers = {
	longRunning: 0, inTime: 1, late: 2, expired: 3,
} as const;

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
	if (job.isLongRunning) {
		return {rank: [tiers.longRunning, job.submittedAt], until: Number.POSITIVE_INFINITY};
	}

	const objectiveMs = computeObjectiveMs(job);
	const {remainingMs, policy: {priority}} = job;
	const deadline = job.submittedAt + objectiveMs;
	if (now <= deadline - remainingMs) {
		return {rank: [(tiers.inTime * tierWeight) + priority, deadline], until: deadline - remainingMs};
	}

	const lateDeadline = job.submittedAt + (lateFactor * objectiveMs);
	return now <= lateDeadline - remainingMs
		? {rank: [(tiers.late * tierWeight) + priority, lateDeadline], until: lateDeadline - remainingMs}
		: {rank: [(tiers.expired * tierWeight) + priority, lateDeadline], until: Number.POSITIVE_INFINITY};
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
