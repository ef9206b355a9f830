/**
 * Ranks a job by the order of its pool. The rank is kept while it holds.
 */
import {
	computeCriticalPathMs, computeObjectiveMs, type DeferrableJob, type JobOrder, type OrderedJob, type QueuePolicy, type RankPeriod,
} from '@tamarackwind/scheduling';
import {type ActiveJob} from './active-jobs.js';
import {deadlineOrder} from './overload-policies.js';

/** Mean part of a running task or step that is left. */
const runningShare = 0.5;

/** Place of a job among the jobs of its pool. */
export class JobRank implements OrderedJob, DeferrableJob {
	static create(job: ActiveJob): JobRank {
		return new JobRank(job);
	}

	#order: JobOrder = deadlineOrder;
	#isDeferred = false;
	#period: RankPeriod | undefined;
	#criticalPathMs: number | undefined;

	private constructor(readonly job: ActiveJob) {}

	get policy(): QueuePolicy {
		return this.job.job.policy;
	}

	get priority(): number {
		return this.policy.priority;
	}

	get isLongRunning(): boolean {
		return this.job.isLongRunning;
	}

	/** Time from which the latency objective is measured, on the monotonic clock: the submission, or the due time of a scheduled job. */
	get submittedAt(): number {
		const {schedule, submittedAt} = this.job.job;
		const dueAt = schedule === undefined ? 0 : schedule.firstAt - submittedAt;
		return this.job.submittedAt + Math.max(0, dueAt);
	}

	get criticalPathMs(): number {
		this.#criticalPathMs ??= computeCriticalPathMs(this.job.job.steps, step => step.estimatedMs);
		return this.#criticalPathMs;
	}

	get remainingMs(): number {
		const {newestSteps} = this.job;
		return computeCriticalPathMs(this.job.job.steps, (step, index) => newestSteps[index]?.isDone ? 0 : step.estimatedMs);
	}

	/** Like `remainingMs`, but half of a step of which no task waits counts as done. */
	get plannedMs(): number {
		const {newestSteps} = this.job;
		return computeCriticalPathMs(this.job.job.steps, (step, index) => {
			const state = newestSteps[index];
			return state?.isDone ? 0 : step.estimatedMs * (state === undefined || state.hasWaitingTasks ? 1 : runningShare);
		});
	}

	/** Work of the tasks that are not done; half of that of running tasks counts as done. */
	get remainingWork(): number {
		let work = 0;
		for (const {spec, counts, demand: {resources: {cpu}}} of this.job.listUnfinishedSteps()) {
			const waiting = counts.get('waiting');
			const started = counts.total - counts.get('done') - waiting;
			work += spec.isLongRunning ? 0 : (waiting + (started * runningShare)) * cpu * spec.estimatedMs;
		}

		return work;
	}

	/** Time by which the job must end to be in time, on the monotonic clock. */
	get deadline(): number {
		return this.submittedAt + computeObjectiveMs(this);
	}

	get isDeferred(): boolean {
		return this.#isDeferred;
	}

	/** Ranks the job at the time `now` on the monotonic clock. */
	compute(now: number): RankPeriod {
		if (this.#period === undefined || now > this.#period.until) {
			this.#period = this.#order.rank(this, now);
		}

		return this.#period;
	}

	/** Drops the rank after a change of the job. */
	reset(): void {
		this.#period = undefined;
	}

	/** Ranks the job anew, by another order or after a plan deferred it or no longer does. */
	update(order: JobOrder, isDeferred: boolean): void {
		this.#order = order;
		this.#isDeferred = isDeferred;
		this.reset();
		this.job.hooks.onWaiting?.();
	}
}
