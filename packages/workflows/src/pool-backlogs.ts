/**
 * The unfinished jobs of a pool: their demand, which of them are deferred when the capacity of the pool is insufficient, and when a further
 * job would get capacity. Without an order that defers and without refusals only the demand is kept.
 */
import {type AccountName, type Clock, type ServiceName} from '@tamarackwind/core';
import {
	computeObjectiveMs, DeferredJobs, estimatePool, estimateStartMs, findTier, type BacklogJob, type JobOrder, type PoolEstimate, type RankTier,
} from '@tamarackwind/scheduling';
import {type ActiveJob} from './active-jobs.js';
import {type FleetCapacity} from './fleet-capacities.js';
import {type Task} from './tasks.js';
import {type JobRank} from './job-ranks.js';
import {type LoadMeter} from './load-meters.js';
import {deadlineOrder} from './overload-policies.js';
import {type OverloadTerm} from './overload-terms.js';
import {JobLoads, type JobLoad} from './pool-loads.js';
import {type RateLimitedLog} from './rate-limited-logs.js';

export type PoolBacklogOptions = {
	readonly clock: Clock;
	readonly log: RateLimitedLog;
	readonly meter: LoadMeter;
	readonly service: ServiceName;
	/** Overload of all pools; without it jobs are neither deferred nor refused. */
	readonly overload?: OverloadTerm;
	/** Returns the capacity of the fleet; `undefined` while it is not known. */
	readonly getFleet?: () => FleetCapacity | undefined;
};

/** Minimum interval between two plans of deferred jobs, in milliseconds: a plan costs by the number of waiting jobs. */
const planIntervalMs = 100;
/** Minimum interval between two plans as a multiple of the duration of the last one, so that plans take at most a twentieth of the time. */
const planPauseFactor = 20;
/** Tiers of the jobs that a plan looks at. */
const plannedTiers: ReadonlySet<RankTier> = new Set(['inTime', 'deferred']);
/** Maximum number of jobs that a log line names. */
const maxNamedJobs = 100;

/** Unfinished jobs of one pool. */
export class PoolBacklog {
	static create(options: PoolBacklogOptions): PoolBacklog {
		return new PoolBacklog(options);
	}

	readonly #options: PoolBacklogOptions;
	readonly #loads: JobLoads;
	readonly #deferred = DeferredJobs.create<JobRank>();
	/** Jobs of which a task was placed while the order defers. */
	readonly #startedJobs = new WeakSet<ActiveJob>();
	/** Estimated ends of jobs, on the monotonic clock. */
	readonly #estimatedEnds = new Map<ActiveJob, number>();
	#order: JobOrder = deadlineOrder;
	#estimate: PoolEstimate | undefined;
	#plannedAt = Number.NEGATIVE_INFINITY;
	#planMs = 0;
	#plannedChanges = -1;
	#plannedCpu = 0;

	private constructor(options: PoolBacklogOptions) {
		this.#options = options;
		this.#loads = JobLoads.create(options.getFleet);
	}

	/** Number of jobs that are deferred. */
	get deferredCount(): number {
		return this.#deferred.size;
	}

	/** Takes up a job that has not ended. */
	add(job: ActiveJob): void {
		this.#loads.add(job);
		this.#options.overload?.recordArrival(job);
		if (this.#order.isDeferring) {
			job.ranking.update(this.#order, false);
		}

		this.#estimateEnd(job);
	}

	/** Drops a job that has ended. */
	remove(job: ActiveJob): void {
		this.#loads.remove(job);
		this.#deferred.remove(job.ranking);
		const estimatedEndAt = this.#estimatedEnds.get(job);
		this.#estimatedEnds.delete(job);
		if (estimatedEndAt !== undefined && job.state === 'succeeded') {
			this.#options.overload?.recordEstimateError(this.#options.clock.readMonotonic() - estimatedEndAt);
		}
	}

	/** Computes the demand of all jobs. */
	compute(): JobLoad {
		return this.#loads.compute();
	}

	/** Counts, by queue, the jobs of which no task is known to have started. */
	countWaiting(): Map<string, number> {
		return this.#loads.countWaiting();
	}

	/** Applies the order in force, and plans which jobs are deferred if that is due and something has changed; `readCpu` returns the CPU of the pool in thousandths of a core. */
	update(readCpu: () => number): void {
		const order = this.#options.overload?.policy.order ?? this.#order;
		if (order !== this.#order) {
			this.#applyOrder(order);
		}

		const {clock, meter} = this.#options;
		const now = clock.readMonotonic();
		if (!order.isDeferring || now - this.#plannedAt < Math.max(planIntervalMs, this.#planMs * planPauseFactor)) {
			return;
		}

		const cpu = readCpu();
		if (this.#loads.changes !== this.#plannedChanges || cpu !== this.#plannedCpu) {
			this.#plannedAt = now;
			this.#plannedCpu = cpu;
			this.#plannedChanges = this.#loads.changes;
			meter.track('plan deferred jobs', () => {
				this.#planDeferred(now, cpu);
			});
			this.#planMs = clock.readMonotonic() - now;
		}
	}

	/** Notes that tasks of a job were placed. Returns whether some deferred job keeps its place from now on, so that it must be visited before others. */
	noteStart(job: ActiveJob, tasks: readonly Task[]): boolean {
		if (!this.#order.isDeferring || tasks.length === 0 || this.#startedJobs.has(job)) {
			return false;
		}

		this.#startedJobs.add(job);
		const kept = this.#deferred.noteStart(job.ranking);
		for (const ranking of kept) {
			ranking.update(this.#order, false);
		}

		if (kept.length > 0) {
			this.#logJobs('deferred jobs keep their place', kept);
		}

		return kept.length > 0;
	}

	/** Estimates when a further job would get capacity; `cpu` is the CPU of the pool including VMs on their way. */
	estimate(cpu: number, hasIdleVm: boolean): PoolEstimate | undefined {
		const now = this.#options.clock.readMonotonic();
		const {latePosition} = this.#order;
		let longRunningCpu = 0;
		const jobs: BacklogJob[] = [];
		for (const [job, {longRunningCpu: own, waitingWork, openWork}] of this.#loads.contributions) {
			longRunningCpu += own;
			if (waitingWork > 0 && !job.isLongRunning) {
				const {rank} = job.ranking.compute(now);
				const tier = findTier(rank);
				const isByWork = tier === 'late' && latePosition === 'work';
				jobs.push({
					priority: job.ranking.priority, tier, position: isByWork ? rank[1] : rank[1] - now, remainingWork: tier === 'deferred' ? job.ranking.remainingWork : waitingWork, waitingWork, openWork,
				});
			}
		}

		this.#estimate = estimatePool(jobs, {cpu: cpu - longRunningCpu, hasIdleVm, latePosition});
		return this.#estimate;
	}

	/** Sums up the CPU that waits and that the fleet could hold, by account, in thousandths of a core. */
	computeWaitingCpu(): Map<AccountName | undefined, number> {
		const sums = new Map<AccountName | undefined, number>();
		for (const [{job: {account}}, {waitingCpu}] of this.#loads.contributions) {
			if (waitingCpu > 0) {
				sums.set(account, (sums.get(account) ?? 0) + waitingCpu);
			}
		}

		return sums;
	}

	#applyOrder(order: JobOrder): void {
		const {log, service} = this.#options;
		log.info('order of jobs changed', {service, order: order.isDeferring ? 'least-cost' : 'deadline'});
		this.#order = order;
		this.#deferred.replace(new Set());
		this.#plannedChanges = -1;
		for (const job of this.#loads.contributions.keys()) {
			job.ranking.update(order, false);
		}
	}

	#planDeferred(now: number, cpu: number): void {
		let longRunningCpu = 0;
		const planned = [];
		for (const [{ranking}, {longRunningCpu: own, openWork}] of this.#loads.contributions) {
			longRunningCpu += own;
			if (openWork > 0 && plannedTiers.has(findTier(ranking.compute(now).rank))) {
				const {priority, deadline, plannedMs, remainingWork} = ranking;
				planned.push({
					ranking, priority, deadline, remainingMs: plannedMs, remainingWork, openWork, isKept: this.#deferred.isKept(ranking),
				});
			}
		}

		const chosen = this.#order.chooseDeferred(planned, {now, cpu: cpu - longRunningCpu});
		const changed = this.#deferred.replace(new Set([...chosen].map(({ranking}) => ranking)));
		for (const ranking of changed) {
			ranking.update(this.#order, this.#deferred.isDeferred(ranking));
		}

		const added = changed.filter(({isDeferred}) => isDeferred);
		if (added.length > 0) {
			this.#logJobs('jobs deferred', added);
		}
	}

	/** Notes when a job that has just arrived would end by the estimate. */
	#estimateEnd({ranking, job, isLongRunning, hasBegun}: ActiveJob): void {
		if (this.#estimate === undefined || isLongRunning || hasBegun || job.schedule !== undefined) {
			return;
		}

		const {priority, criticalPathMs, remainingWork} = ranking;
		const startMs = estimateStartMs(this.#estimate, {
			priority, criticalPathMs, objectiveMs: computeObjectiveMs(ranking), work: remainingWork,
		});
		this.#estimatedEnds.set(ranking.job, this.#options.clock.readMonotonic() + startMs + criticalPathMs);
	}

	#logJobs(message: string, rankings: readonly JobRank[]): void {
		const {log, service} = this.#options;
		log.info(message, {
			service, count: rankings.length, deferred: this.#deferred.size, cpu: Math.round(this.#plannedCpu), jobs: rankings.slice(0, maxNamedJobs).map(({job}) => job.job.id),
		});
	}
}
