/**
 * Decides whether a job could ever start within the cap of its account.
 */
import {type Resources, type StepSpec} from './models.js';

/** A step that needs more of a resource at once than the cap of its account allows. */
export type CapExcess = {
	/** Index of the step. */
	readonly step: number;
	readonly dimension: keyof Resources;
	readonly need: number;
	readonly cap: number;
	/** Whether the need is that of a whole gang less one task. */
	readonly isGang: boolean;
};

const dimensions = ['cpu', 'memory', 'gpu'] as const;

/**
 * Finds the first step that can't start within a cap: a single task of it, or its whole gang less one task, needs more. The last task of a
 * gang may exceed the cap, as any start may by one task. A cap of 0 is no limit.
 */
export function findCapExcess(steps: readonly StepSpec[], cap: Resources): CapExcess | undefined {
	for (const [step, {count, resources, isGang}] of steps.entries()) {
		const tasks = isGang ? Math.max(1, count - 1) : 1;
		const dimension = dimensions.find(name => cap[name] > 0 && resources[name] * tasks > cap[name]);
		if (dimension !== undefined) {
			return {
				step, dimension, need: resources[dimension] * tasks, cap: cap[dimension], isGang: tasks > 1,
			};
		}
	}

	return undefined;
}
