/** Probability that a task crashes its workers, before any evidence. */
export const priorGuilt = 0.001;

/** Evidence of one crash against one task. */
export type CrashEvidence = {
	/** Probability that the worker would have crashed without the task. */
	readonly coincidence: number;
	/** Whether the worker was not known to have survived the start of the run. */
	readonly isEarly: boolean;
	/** Whether no other run can have been the cause. */
	readonly isAlone: boolean;
};
