/**
 * Refuses submissions at an entry, by the overload that the holder of the scheduler lease has published.
 */
import {waitAtMost, type Clock, type JobId} from '@tamarackwind/core';
import {
	computeCriticalPathMs, computeObjectiveMs, computeRetryAfterS, estimateStartMs, findRefusal, isWithinShare, lateFactor, maxEstimateAgeMs, type ArrivingJob,
} from '@tamarackwind/scheduling';
import {type Job} from './jobs.js';
import {type JobQueries} from './job-queries.js';
import {type JobSubmitter} from './job-submitters.js';
import {type OverloadPolicy} from './overload-policies.js';
import {type KnownOverload, type PoolOverload} from './overload-terms.js';

/**
 * - `capacity`: the job would end after its result has lost its value.
 * - `rate`: its account is above its rate while work of others waits.
 */
export type RefusalReason = 'capacity' | 'rate';

export type SubmissionRefusal = {
	readonly reason: RefusalReason;
	/** Description of the decision with its inputs. */
	readonly message: string;
	readonly retryAfterS: number;
};

export type SubmissionGateOptions = {
	readonly clock: Clock;
	readonly policy: OverloadPolicy;
	readonly submitter: JobSubmitter;
	readonly queries: JobQueries;
	/** Returns the overload that was published last. */
	readonly getOverload: () => KnownOverload | undefined;
};

/** Maximum time for which a submission waits for the lookup of its job before it is submitted, in milliseconds: a store at its normal speed answers in a tenth of that. */
const maxLookupMs = 300;

/** Decides whether submissions are refused. */
export class SubmissionGate {
	static create(options: SubmissionGateOptions): SubmissionGate {
		return new SubmissionGate(options);
	}

	readonly #options: SubmissionGateOptions;

	private constructor(options: SubmissionGateOptions) {
		this.#options = options;
	}

	/** Finds the reason to refuse a job of which no earlier submission has been accepted or may still be. Only a job that would be refused costs calls of the store. */
	async findRefusal(job: Job): Promise<SubmissionRefusal | undefined> {
		const {policy, submitter, getOverload} = this.#options;
		const overload = policy.isRefusing && submitter.findEarlierOutcome(job.id) === undefined ? getOverload() : undefined;
		if (overload === undefined || overload.ageMs >= maxEstimateAgeMs) {
			return undefined;
		}

		const pool = overload.status.pools[job.service];
		const refusal = pool === undefined ? undefined : findRateRefusal(job, pool) ?? findCapacityRefusal(job, pool, overload.ageMs);
		return refusal !== undefined && await this.#isUnknown(job) ? refusal : undefined;
	}

	/** Reports whether the store is certain to have no job with this id; a lookup that fails or takes long tells nothing. */
	async #isUnknown({id, service}: Job): Promise<boolean> {
		const {clock, queries, submitter} = this.#options;
		let isUnknown = false;
		const lookUp = async (): Promise<void> => {
			try {
				isUnknown = await queries.getStatus(service, id) === undefined;
			} catch {
				// The submission finds out whether the store answers.
			}
		};

		await waitAtMost(clock, lookUp(), maxLookupMs);
		return isUnknown && submitter.findEarlierOutcome(id) === undefined;
	}
}

function findRateRefusal(job: Job, {estimate, shares}: PoolOverload): SubmissionRefusal | undefined {
	const share = job.account === undefined ? undefined : shares[job.account];
	if (share === undefined || isWithinShare(job.id, share)) {
		return undefined;
	}

	const estimateMs = estimate === undefined ? 0 : estimateStartMs(estimate, describeArrival(job));
	return {reason: 'rate', message: `account is above its rate; ${Math.round(share * 100)} % of its jobs are accepted`, retryAfterS: computeRetryAfterS(estimateMs, job.id)};
}

/** Long-running and scheduled jobs have no latency objective from their submission, and are not refused for lack of capacity. */
function findCapacityRefusal(job: Job, {estimate}: PoolOverload, ageMs: number): SubmissionRefusal | undefined {
	if (estimate === undefined || job.schedule !== undefined || job.steps.some(step => step.isLongRunning)) {
		return undefined;
	}

	const arrival = describeArrival(job);
	const refusal = findRefusal(arrival, {estimate, ageMs});
	return refusal === undefined
		? undefined
		: {
			reason: 'capacity',
			message: `no capacity in time: estimated end after ${Math.round(refusal.estimateMs + arrival.criticalPathMs)} ms, limit ${Math.round(lateFactor * arrival.objectiveMs)} ms`,
			retryAfterS: refusal.retryAfterS,
		};
}

function describeArrival({id, policy, steps}: Pick<Job, 'policy' | 'steps'> & {readonly id: JobId}): ArrivingJob {
	const criticalPathMs = computeCriticalPathMs(steps, step => step.estimatedMs);
	return {
		id, priority: policy.priority, criticalPathMs, objectiveMs: computeObjectiveMs({policy, criticalPathMs}), work: steps.reduce((sum, {count, resources, estimatedMs}) => sum + (count * resources.cpu * estimatedMs), 0),
	};
}
