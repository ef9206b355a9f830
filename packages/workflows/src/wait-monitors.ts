/**
 * Observes the tasks of a pool whose preceding steps are done and that no worker runs, and reports for each reason how many wait and for how long.
 */
import {type ServiceName} from '@tamarackwind/core';
import {type ActiveJob} from './active-jobs.js';
import {type FleetCapacity} from './fleet-capacities.js';
import {type StepState} from './tasks.js';
import {type RateLimitedLog} from './rate-limited-logs.js';
import {StepWaits, WaitSums, type ReasonSum} from './wait-counts.js';
import {
	roomReasons, unplacedReasons, workerReasons, type WaitReason,
} from './wait-reasons.js';

/** Waiting tasks with one reason. */
export type WaitSummary = {readonly tasks: number; readonly longestMs: number};

export type WaitMonitorOptions = {
	readonly log: RateLimitedLog;
	readonly service: ServiceName;
	/** Returns the capacity of the fleet; `undefined` while it is not known. */
	readonly getFleet?: () => FleetCapacity | undefined;
};

/** Capacity of a pool and what is in use of it, in thousandths of a core. */
export type PoolUse = {
	readonly usedCpu: number;
	/** CPU of the workers that accept new work. */
	readonly cpu: number;
	/** CPU of the workers that get no new work although they stay. */
	readonly unavailableCpu: number;
};

export type ObservationOptions = {
	readonly jobs: Iterable<ActiveJob>;
	/** Time on the monotonic clock. */
	readonly now: number;
	readonly readUse: () => PoolUse;
	/** Reports whether the rest of the observation is left to the next call. */
	readonly isOverBudget: () => boolean;
};

/** Interval between two observations, in milliseconds. */
const observationIntervalMs = 1000;
/** Wait from which a task is logged, in milliseconds. */
export const loggedWaitMs = 1000;
/** Wait after which a task of a pool with room needs the attention of an operator, in milliseconds: the users' limit. */
const standingLimitMs = 3000;
/** Share of a pool's CPU below which no task should wait. */
const freePoolShare = 0.5;

/** An observation that may take several calls. */
type Round = {readonly startedAt: number; readonly sums: WaitSums; readonly steps: Iterator<void>};

/** Observes the waiting tasks of one pool. The counts of a step are kept until a task of it changes. */
export class WaitMonitor {
	static create(options: WaitMonitorOptions): WaitMonitor {
		return new WaitMonitor(options);
	}

	/** Counts of the steps at the last observation. */
	#stepWaits = new Map<StepState, StepWaits>();
	#startedAt = Number.NEGATIVE_INFINITY;
	#round: Round | undefined;
	#summaries: ReadonlyMap<WaitReason, WaitSummary> = new Map();
	/** Whether some worker accepted new work at the last observation. */
	#hasWorkers = true;

	private constructor(private readonly options: WaitMonitorOptions) {}

	/** Waiting tasks at the last observation, by reason. */
	get summaries(): ReadonlyMap<WaitReason, WaitSummary> {
		return this.#summaries;
	}

	/** Longest time for which a task had waited for room, or for any worker that takes work, at the last observation, in milliseconds; 0 if none did. */
	get longestRoomWaitMs(): number {
		return this.#findLongestMs(this.#hasWorkers ? roomReasons : [...roomReasons, ...unplacedReasons]);
	}

	/** Longest time for which a task had waited that a worker which takes no work could run, at the last observation, in milliseconds; 0 if none did. */
	get longestWorkerWaitMs(): number {
		return this.#findLongestMs(this.#hasWorkers ? workerReasons : [...roomReasons, ...unplacedReasons]);
	}

	/** Longest time for which a task had waited for any reason but the size of the fleet at the last observation, in milliseconds; 0 if none did. */
	get longestWaitMs(): number {
		return Math.max(0, ...[...this.#summaries].filter(([reason]) => reason !== 'fleet-too-small').map(([, {longestMs}]) => longestMs));
	}

	/** Observes the pool's jobs if that is due, or continues an observation that was over its budget. */
	observe({jobs, now, readUse, isOverBudget}: ObservationOptions): void {
		if (this.#round === undefined && now - this.#startedAt >= observationIntervalMs) {
			this.#startedAt = now;
			const sums = WaitSums.create(now - loggedWaitMs);
			this.#round = {startedAt: now, sums, steps: this.#observeJobs(jobs, sums, now)};
		}

		while (this.#round !== undefined) {
			const {startedAt, sums, steps} = this.#round;
			if (steps.next().done ?? false) {
				this.#round = undefined;
				this.#finishRound(sums, startedAt, readUse);
			} else if (isOverBudget()) {
				return;
			}
		}
	}

	#findLongestMs(reasons: readonly WaitReason[]): number {
		return Math.max(0, ...reasons.map(reason => this.#summaries.get(reason)?.longestMs ?? 0));
	}

	* #observeJobs(jobs: Iterable<ActiveJob>, sums: WaitSums, now: number): Generator<void> {
		const stepWaits = new Map<StepState, StepWaits>();
		const fleet = this.options.getFleet?.();
		for (const job of jobs) {
			if (!job.isTerminal) {
				for (const step of job.listOpenSteps()) {
					const known = this.#stepWaits.get(step);
					const waits = known?.isCurrent ? known : StepWaits.create(step, now);
					stepWaits.set(step, waits);
					waits.addTo(sums, fleet);
				}

				sums.finishJob(job.job.id);
			}

			yield;
		}

		this.#stepWaits = stepWaits;
	}

	#finishRound({reasons}: WaitSums, now: number, readUse: () => PoolUse): void {
		this.#summaries = new Map([...reasons].map(([reason, {tasks, since}]) => [reason, {tasks, longestMs: now - since}]));
		const use = readUse();
		this.#hasWorkers = use.cpu > 0;
		for (const [reason, sum] of reasons) {
			if (sum.loggedTasks > 0) {
				this.#logWaits(reason, sum, now, use);
			}
		}
	}

	#logWaits(reason: WaitReason, {since, loggedTasks, loggedJobs, longest}: ReasonSum, now: number, {usedCpu, cpu, unavailableCpu}: PoolUse): void {
		const {log, service} = this.options;
		const longestMs = Math.round(now - since);
		const fields = {
			service, reason, tasks: loggedTasks, longestMs, usedCpu: Math.round(usedCpu), cpu: Math.round(cpu), unavailableCpu: Math.round(unavailableCpu), jobs: longest.map(({id}) => id), jobCount: loggedJobs,
		};
		// A task that waits for the cap of its account is right to wait, however much room the pool has.
		if (reason !== 'account-cap' && longestMs > standingLimitMs && usedCpu < (cpu + unavailableCpu) * freePoolShare) {
			log.warn('tasks wait although the pool has room', fields);
		} else {
			log.info('tasks wait', fields);
		}
	}
}
