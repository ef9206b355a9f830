/**
 * Counts the waiting tasks of a step, and sums them up by reason over the jobs of a pool.
 */
import {type JobId} from '@tamarackwind/core';
import {type StepState, type Task} from './tasks.js';
import {isSuspect} from './crash-budgets.js';
import {type FleetCapacity} from './fleet-capacities.js';
import {type WaitQueue, type WaitReason} from './wait-reasons.js';

/** Why a task has no run, as far as its own state tells; the step tells why a task has no place. */
type WaitCategory = 'recording' | 'start-queued' | 'unconfirmed' | 'stopping' | 'restart-delay' | 'place' | 'suspect-place';

/** Number of tasks by the time since which they have been seen waiting, on the monotonic clock. */
type TasksBySince = Map<number, number>;

/** The waiting tasks of one step. */
export class StepWaits {
	/** Counts the tasks of a step and notes since when each of them waits. */
	static create(step: StepState, now: number): StepWaits {
		const waits = new StepWaits(step);
		if (step.isUntouched) {
			step.waitingSince ??= now;
			waits.#counts.set('place', new Map([[step.waitingSince, step.counts.total]]));
			return waits;
		}

		for (const task of step.tasks) {
			waits.#count(task, now);
		}

		return waits;
	}

	readonly #changes: number;
	readonly #counts = new Map<WaitCategory, TasksBySince>();

	private constructor(private readonly step: StepState) {
		this.#changes = step.changes;
	}

	/** Whether the counts still hold: no task of the step has changed, and none waits for a time to pass. */
	get isCurrent(): boolean {
		return this.#changes === this.step.changes && !this.#counts.has('restart-delay');
	}

	/** Adds the tasks to the sums of their reasons; those that wait for a place are judged by the fleet too, if it is known. */
	addTo(sums: WaitSums, fleet?: FleetCapacity): void {
		for (const [category, tasksBySince] of this.#counts) {
			const reason = resolveReason(category, this.step, fleet);
			for (const [since, tasks] of tasksBySince) {
				sums.add(reason, since, tasks);
			}
		}
	}

	#count(task: Task, now: number): void {
		const category = findCategory(task, now);
		if (category === undefined) {
			task.waitingSince = undefined;
			return;
		}

		task.waitingSince ??= now;
		const counts = this.#counts.get(category) ?? new Map<number, number>();
		this.#counts.set(category, counts);
		counts.set(task.waitingSince, (counts.get(task.waitingSince) ?? 0) + 1);
	}
}

/** Maximum number of jobs that are named for a reason. */
const maxNamedJobs = 100;

/** Waiting tasks with one reason. */
export type ReasonSum = {
	tasks: number;
	/** Earliest time since which a task waits, on the monotonic clock. */
	since: number;
	/** Tasks that wait for so long that they are logged. */
	loggedTasks: number;
	/** Number of jobs with such tasks. */
	loggedJobs: number;
	/** Those jobs that wait longest, in that order. */
	readonly longest: Array<{readonly id: JobId; readonly since: number}>;
};

/** Sums of waiting tasks by reason. */
export class WaitSums {
	/** `loggedSince` is the time up to which a wait must have begun for its task to be logged. */
	static create(loggedSince: number): WaitSums {
		return new WaitSums(loggedSince);
	}

	readonly reasons = new Map<WaitReason, ReasonSum>();
	/** Earliest logged wait of the current job, by reason. */
	readonly #jobSince = new Map<WaitReason, number>();

	private constructor(private readonly loggedSince: number) {}

	/** Adds tasks of the current job. */
	add(reason: WaitReason, since: number, tasks: number): void {
		const sum = this.reasons.get(reason) ?? {
			tasks: 0, since: Number.POSITIVE_INFINITY, loggedTasks: 0, loggedJobs: 0, longest: [],
		};
		this.reasons.set(reason, sum);
		sum.tasks += tasks;
		sum.since = Math.min(sum.since, since);
		if (since <= this.loggedSince) {
			sum.loggedTasks += tasks;
			this.#jobSince.set(reason, Math.min(since, this.#jobSince.get(reason) ?? Number.POSITIVE_INFINITY));
		}
	}

	/** Ends the sums of the current job. */
	finishJob(id: JobId): void {
		for (const [reason, since] of this.#jobSince) {
			const sum = this.reasons.get(reason)!;
			sum.loggedJobs++;
			addJob(sum.longest, {id, since});
		}

		this.#jobSince.clear();
	}
}

/** Inserts a job into a list ordered by `since`, of which the first jobs are kept. */
function addJob(jobs: ReasonSum['longest'], job: ReasonSum['longest'][number]): void {
	if (jobs.length === maxNamedJobs && job.since >= jobs.at(-1)!.since) {
		return;
	}

	const position = jobs.findLastIndex(({since}) => since <= job.since) + 1;
	jobs.splice(position, 0, job);
	jobs.length = Math.min(jobs.length, maxNamedJobs);
}

/** Classifies a task that could run; `undefined` if its worker is known to run it or it is done. */
function findCategory(task: Task, now: number): WaitCategory | undefined {
	const {phase, isConfirmed, isStartQueued, notBefore} = task;
	switch (phase) {
		case 'done':
		case 'running': {
			return undefined;
		}

		case 'starting': {
			return isConfirmed ? undefined : 'unconfirmed';
		}

		case 'recorded': {
			return isStartQueued ? 'start-queued' : 'recording';
		}

		case 'stopping': {
			return 'stopping';
		}

		case 'waiting': {
			if (notBefore > now) {
				return 'restart-delay';
			}

			return isSuspect(task) ? 'suspect-place' : 'place';
		}
	}
}

/** Reasons of which the place of a job in the order is the cause. */
const capacityReasons: ReadonlySet<WaitReason> = new Set(['no-room', 'gang-no-room', 'start-queued', 'not-reached']);

/** Names the share of the account, or the place of the job in the order, as the reason for which a task finds no room. */
function resolvePlaceReason(reason: WaitReason, {queue, isDeferred}: StepState): WaitReason {
	if ((reason === 'no-room' || reason === 'gang-no-room') && (queue?.isOverShare ?? false)) {
		return 'account-share';
	}

	return isDeferred && capacityReasons.has(reason) ? 'deferred' : reason;
}

function resolveReason(category: WaitCategory, step: StepState, fleet: FleetCapacity | undefined): WaitReason {
	if ((category === 'place' || category === 'suspect-place') && fleet?.hasPlacesFor(step.spec) === false) {
		return 'fleet-too-small';
	}

	const {waitReason, suspectWaitReason, queue} = step;
	const placeReason = resolvePlaceReason(waitReason ?? queue?.reason ?? 'not-reached', step);
	if (category === 'place') {
		return placeReason;
	}

	return category === 'suspect-place' ? suspectWaitReason ?? placeReason : category;
}
