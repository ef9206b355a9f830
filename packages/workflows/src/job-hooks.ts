/**
 * Callbacks by which the parts of a pool's scheduler learn that a job has changed.
 */

/** The callbacks of one job; each has one owner, which sets and clears it. */
export class JobHooks {
	static create(): JobHooks {
		return new JobHooks();
	}

	/** Called when a task changes, and when a step is done or was opened. */
	onChanged: (() => void) | undefined;
	/** Called when a task waits again, and when a step is done or was opened. */
	onWaiting: (() => void) | undefined;

	private constructor() {}
}
