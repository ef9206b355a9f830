/**
 * Evictions: whether a VM may be taken from its tasks within their disruption budgets. Answers waves and moves beside tasks that last.
 */

/** What an eviction needs to know of a step that has tasks on the VM. */
export type EvictedStep = {
	/** Tasks of the step on the VM, which may all be at work by now. */
	readonly here: number;
	/** Those of them that are not known to be at work. */
	readonly awayHere: number;
	/** Tasks of the step elsewhere that are not known to be at work. */
	readonly awayElsewhere: number;
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
export function planEviction({here, awayHere, awayElsewhere, mayMiss}: EvictedStep): EvictionPlan {
	if (mayMiss === undefined || here === 0 || awayElsewhere + here <= mayMiss) {
		return 'free';
	}

	return awayElsewhere + awayHere < mayMiss ? 'one-by-one' : 'blocked';
}
