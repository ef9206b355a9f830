/**
 * Decides whether the tasks on a VM may be evicted within their disruption budgets, which waves and moves must respect.
 */

/** Availability of the tasks of one step that has tasks on the VM. */
export type EvictedStep = {
	/** Number of tasks of the step on the VM; all of them may have become ready since they were last reported. */
	readonly onVm: number;
	/** Number of tasks of the step on the VM that are not known to be ready. */
	readonly unreadyOnVm: number;
	/** Number of tasks of the step on other VMs that are not known to be ready. */
	readonly unreadyElsewhere: number;
	/** Disruption budget: maximum number of tasks that orders may make unavailable at once; unlimited when `undefined`. */
	readonly mayMiss: number | undefined;
};

/**
 * - `free`: all tasks may be evicted together.
 * - `one-by-one`: one task may be evicted now, and the VM has to wait.
 * - `blocked`: no task may be evicted now.
 */
export type EvictionPlan = 'free' | 'one-by-one' | 'blocked';

/** Plans the eviction of one step's tasks from a VM. */
export function planEviction({onVm, unreadyOnVm, unreadyElsewhere, mayMiss}: EvictedStep): EvictionPlan {
	if (mayMiss === undefined || onVm === 0 || unreadyElsewhere + onVm <= mayMiss) {
		return 'free';
	}

	return unreadyElsewhere + unreadyOnVm < mayMiss ? 'one-by-one' : 'blocked';
}
