/**
 * Decides which tasks a crash of their worker counts against, and when a task is given up because workers keep crashing under it.
 */
import {type Task} from './active-jobs.js';

/** Time that a worker must be known to have survived a start before the run counts as harmless, in milliseconds. */
const provingMs = 300;
/** Crashes after which a task is given up if it was the only one that can have caused the last of them. */
const minCrashes = 2;
/** Crashes after which a task is given up in any case. */
const maxCrashes = 3;

/** Reports whether the worker of a run is not known to have survived its start; `listedAt` is when the worker last answered. */
export function isUnproven(task: Task, listedAt: number): boolean {
	return task.isInFlight && (task.orderedAt === 0 || listedAt - task.orderedAt < provingMs);
}

/**
 * Lists the tasks that may have caused the loss of their worker: its unproven runs, or all runs that end by themselves if there are none. A
 * start that the worker has not confirmed may never have reached it, as when the worker was down already.
 */
export function listSuspects(tasks: Iterable<Task>, listedAt: number): Task[] {
	const inFlight = [...tasks].filter(task => task.isInFlight && task.isConfirmed);
	const unproven = inFlight.filter(task => isUnproven(task, listedAt));
	return unproven.length > 0 ? unproven : inFlight.filter(task => !task.spec.isLongRunning);
}

/**
 * Counts the crash of a worker against tasks, which are `suspectCount` suspects together with others that are still in doubt. A task is given up after `minCrashes` only if it is the single suspect of the last one,
 * so that neither its neighbours nor crashes for another reason use up its budget, and after `maxCrashes` in any case.
 */
export function recordCrash(suspects: readonly Task[], suspectCount = suspects.length): void {
	for (const task of suspects) {
		task.crashes++;
		task.isGivenUp ||= task.crashes >= (suspectCount === 1 ? minCrashes : maxCrashes);
	}
}
