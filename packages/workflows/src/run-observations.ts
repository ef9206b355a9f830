/**
 * Applies what a worker reports of a run to its task.
 */
import {type Task} from './tasks.js';
import {type ListedRun} from './workers.js';

/** Applies a listed run to its task. */
export function observeRun(task: Task, run: ListedRun, now: number): void {
	task.job.hasBegun = true;
	task.isConfirmed = true;
	task.isListed = true;
	task.pendingCrash = undefined;
	if (task.phase === 'starting') {
		task.phase = 'running';
	}

	if (task.orderedAt === 0) {
		task.orderedAt = now;
	}

	if (run.percent !== task.percent) {
		task.percent = run.percent;
		task.progressedAt = now;
	}

	task.load = run.load;
	if (run.checkpoint !== '') {
		saveCheckpoint(task, run.checkpoint);
	}
}

/** Saves a checkpoint; a checkpoint of one gang member applies to all, and all must start from the same one. */
export function saveCheckpoint(task: Task, checkpoint: string): void {
	for (const member of task.spec.isGang ? task.stepState.tasks : [task]) {
		member.checkpoint = checkpoint;
	}
}
