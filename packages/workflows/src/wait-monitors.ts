/**
 * Observes the tasks of a pool whose preceding steps are done and that no worker runs, and reports for each reason how many wait and for how long.
 */
import {findMaximum, type JobId, type ServiceName} from '@tamarackwind/core';
import {type ActiveJob, type StepState, type Task} from './active-jobs.js';
import {isSuspect} from './crash-budgets.js';
import {type RateLimitedLog} from './rate-limited-logs.js';

/**
 * Why a task that could run has no run:
 * - `no-matching-worker`: no worker that accepts work has the label and the size that it needs.
 * - `no-room`: the workers that could run it are full.
 * - `suspect`: a worker has crashed under it, and those with room are testing other suspects.
 * - `gang-no-room`: its gang does not fit.
 * - `no-ticket`: the placement policy has allowed no worker with room yet.
 * - `not-reached`: no planning pass has come to it.
 * - `restart-delay`: its last run failed a moment ago.
 * - `recording`: its assignment is being written.
 * - `unconfirmed`: its worker has not confirmed the start.
 * - `stopping`: its last run is not known to have ended.
 */
export type WaitReason = 'no-matching-worker' | 'no-room' | 'suspect' | 'gang-no-room' | 'no-ticket' | 'not-reached' | 'restart-delay' | 'recording' | 'unconfirmed' | 'stopping';

/** Waiting tasks with one reason. */
export type WaitSummary = {readonly tasks: number; readonly longestMs: number};

export type WaitMonitorOptions = {readonly log: RateLimitedLog; readonly service: ServiceName};

/** Capacity of a pool and what is in use of it, in thousandths of a core. */
export type PoolUse = {readonly usedCpu: number; readonly cpu: number};

/** Interval between two observations, in milliseconds. */
const observationIntervalMs = 1000;
/** Wait from which a task is logged, in milliseconds. */
export const loggedWaitMs = 1000;
/** Wait after which a task of a pool with room needs the attention of an operator, in milliseconds: the users' limit. */
const standingLimitMs = 3000;
/** Share of a pool's CPU below which no task should wait. */
const freePoolShare = 0.5;
/** Maximum number of jobs in one log line. */
const maxLoggedJobs = 100;

type WaitingTask = {readonly task: Task; readonly reason: WaitReason; readonly waitMs: number};

/** Observes the waiting tasks of one pool. */
export class WaitMonitor {
	static create(options: WaitMonitorOptions): WaitMonitor {
		return new WaitMonitor(options);
	}

	/** Time since which each task has been seen waiting, on the monotonic clock. */
	#waitingSince = new Map<Task, number>();
	#observedAt = Number.NEGATIVE_INFINITY;
	#summaries: ReadonlyMap<WaitReason, WaitSummary> = new Map();

	private constructor(private readonly options: WaitMonitorOptions) {}

	/** Waiting tasks at the last observation, by reason. */
	get summaries(): ReadonlyMap<WaitReason, WaitSummary> {
		return this.#summaries;
	}

	/** Observes the pool's jobs if that is due. */
	observe(jobs: Iterable<ActiveJob>, now: number, readUse: () => PoolUse): void {
		if (now - this.#observedAt < observationIntervalMs) {
			return;
		}

		this.#observedAt = now;
		const waiting = [...jobs].filter(job => !job.isTerminal).flatMap(job => listWaitingTasks(job)).map(task => ({
			task, reason: explainWait(task, now), waitMs: now - (this.#waitingSince.get(task) ?? now),
		}));
		this.#waitingSince = new Map(waiting.map(({task, waitMs}) => [task, now - waitMs]));
		const groups = groupByReason(waiting);
		this.#summaries = new Map([...groups].map(([reason, tasks]) => [reason, {tasks: tasks.length, longestMs: findMaximum(tasks.map(({waitMs}) => waitMs), 0)}]));
		const use = readUse();
		for (const [reason, tasks] of groups) {
			this.#logWaits(reason, tasks, use);
		}
	}

	#logWaits(reason: WaitReason, waiting: readonly WaitingTask[], {usedCpu, cpu}: PoolUse): void {
		const {log, service} = this.options;
		const oldest = waiting.filter(({waitMs}) => waitMs >= loggedWaitMs).toSorted((a, b) => b.waitMs - a.waitMs);
		if (oldest.length === 0) {
			return;
		}

		const longestMs = Math.round(oldest[0]!.waitMs);
		const jobs = [...new Set(oldest.map(({task}) => task.job.job.id))];
		const fields = {
			service, reason, tasks: oldest.length, longestMs, usedCpu: Math.round(usedCpu), cpu: Math.round(cpu), jobs: jobs.slice(0, maxLoggedJobs) satisfies JobId[], jobCount: jobs.length,
		};
		if (longestMs > standingLimitMs && usedCpu < cpu * freePoolShare) {
			log.warn('tasks wait although the pool has room', fields);
		} else {
			log.info('tasks wait', fields);
		}
	}
}

function groupByReason(waiting: readonly WaitingTask[]): Map<WaitReason, WaitingTask[]> {
	const groups = new Map<WaitReason, WaitingTask[]>();
	for (const entry of waiting) {
		const group = groups.get(entry.reason);
		if (group === undefined) {
			groups.set(entry.reason, [entry]);
		} else {
			group.push(entry);
		}
	}

	return groups;
}

/** Lists the tasks of a job that could run and that no worker is known to run. */
function listWaitingTasks(job: ActiveJob): Task[] {
	return job.listOpenSteps().flatMap(step => step.tasks.filter(task => isWaiting(task)));
}

function isWaiting({phase, isConfirmed}: Task): boolean {
	return phase !== 'done' && phase !== 'running' && !(phase === 'starting' && isConfirmed);
}

function explainWait(task: Task, now: number): WaitReason {
	const {phase, notBefore, stepState} = task;
	if (phase === 'recorded') {
		return 'recording';
	}

	if (phase !== 'waiting') {
		return phase === 'stopping' ? 'stopping' : 'unconfirmed';
	}

	return notBefore > now ? 'restart-delay' : explainPlacement(stepState, task);
}

function explainPlacement({waitReason, suspectWaitReason}: StepState, task: Task): WaitReason {
	return (isSuspect(task) ? suspectWaitReason ?? waitReason : waitReason) ?? 'not-reached';
}
