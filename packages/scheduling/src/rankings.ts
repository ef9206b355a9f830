/**
 * Order of work: which of the tasks that could start goes first. Answers load beyond the pool's room: a backlog must not make
 * every job late, so jobs that can still meet their objective go before those that can't.
 */
import {type QueuePolicy, type StepSpec} from './models.js';

/** Multiple of the objective after which a late job is worth nothing. */
export const lateFactor = 3;

/** What the order needs to know of a job. */
export type RankedJob = {
	readonly policy: QueuePolicy;
	readonly isLongRunning: boolean;
	/** When it was submitted, on the scheduler's clock in milliseconds. */
	readonly submittedAt: number;
	/** Longest chain of its work in milliseconds. */
	readonly chainMs: number;
	/** Longest chain of what is left of its work in milliseconds. */
	readonly remainingMs: number;
};

/** How urgent a job is; lower comes first at each level. */
export type Rank = readonly [tier: number, deadline: number];

const tiers = {
	lasting: 0, inTime: 1, late: 2, hopeless: 3,
} as const;

/** Distance of two tiers, above any priority: a job in time goes before a late one of a higher priority. */
const tierDistance = 1000;

/** Time from its submission within which a job is in time, in milliseconds. */
export function computeObjectiveMs({policy, chainMs}: Pick<RankedJob, 'policy' | 'chainMs'>): number {
	return (policy.slackFactor * chainMs) + policy.targetLatencyMs;
}

/** Ranks a job at a moment. */
export function rankJob(job: RankedJob, now: number): Rank {
	if (job.isLongRunning) {
		return [tiers.lasting, job.submittedAt];
	}

	const objectiveMs = computeObjectiveMs(job);
	const endsAt = now + job.remainingMs;
	const {priority} = job.policy;
	const deadline = job.submittedAt + objectiveMs;
	if (endsAt <= deadline) {
		return [(tiers.inTime * tierDistance) + priority, deadline];
	}

	const lateDeadline = job.submittedAt + (lateFactor * objectiveMs);
	return [((endsAt <= lateDeadline ? tiers.late : tiers.hopeless) * tierDistance) + priority, lateDeadline];
}

/** Compares two ranks for a sort. */
export function compareRanks(a: Rank, b: Rank): number {
	return a[0] - b[0] || a[1] - b[1];
}

/** Length of the longest chain of steps in milliseconds; `getMs` tells what is left of a step. */
export function computeChainMs(steps: readonly StepSpec[], getMs: (step: StepSpec, index: number) => number): number {
	const ends: number[] = [];
	for (const [index, step] of steps.entries()) {
		const startsAt = Math.max(0, ...step.after.map(earlier => ends[earlier] ?? 0));
		ends.push(startsAt + getMs(step, index));
	}

	return Math.max(0, ...ends);
}
