/**
 * Evictions: whether a VM may be taken from its tasks within their disruption budgets. Answers waves and moves beside tasks that last.
 */

/** What an eviction needs to know of a step that has tasks on the VM. */
export type EvictedStep = {
	/** Tasks of the step that are at work on the VM. */
	readonly here: number;
	/** Tasks of the step that are not at work, wherever they are. */
	readonly away: number;
	/** Tasks that orders may make unavailable at once; no bound when `undefined`. */
	readonly mayMiss: number | undefined;
};

/**
 * - `free`: all tasks may end at once.
 * - `one-by-one`: one task may be moved away now, and the VM has to wait.
 * - `blocked`: no task may end now.
 */
export type EvictionPlan = 'free' | 'one-by-one' | 'blocked';

/** Plans how the tasks of one step may leave a VM. */
export function planEviction({here, away, mayMiss}: EvictedStep): EvictionPlan {
	if (mayMiss === undefined || here === 0 || away + here <= mayMiss) {
		return 'free';
	}

	return away < mayMiss ? 'one-by-one' : 'blocked';
}
