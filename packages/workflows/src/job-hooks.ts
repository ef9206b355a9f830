/**
 * Callbacks by which the parts of a pool's scheduler learn that a job has changed.
 */

import {type Task} from './tasks.js';

/** The callbacks of one job; each has one owner, which sets and clears it. */
export class JobHooks {
	static create(): JobHooks {
		return new JobHooks();
	}

	/** Called when a task changes, and when a step is done or was opened. */
	onChanged: (() => void) | undefined;
	/** Called when a task waits again, and when a step is done or was opened. */
	onWaiting: (() => void) | undefined;

	/** Called when a task is assigned to a worker, and when its run is known to have ended. */
	onAssigned: ((task: Task, isAssigned: boolean) => void) | undefined;

	/** Called when the run of a task is about to begin, and when it has begun, is being stopped or has ended. */
	onStarting: ((task: Task, isStarting: boolean) => void) | undefined;

	private constructor() {}
}
