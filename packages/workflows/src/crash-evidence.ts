/** Probability that a task crashes its workers, before any evidence. */
export const priorGuilt = 0.001;

/** What the probability of a crash without the task was computed from, for log lines. */
export type CrashDetails = {
	/** Time from the start of the run, or from when its worker was last known to be up, to the crash, in milliseconds. */
	readonly exposureMs: number;
	/** Estimated crashes of a worker per second without the task. */
	readonly ratePerS: number;
	/** Number of other suspects of the crash. */
	readonly otherSuspects: number;
	/** Share of the pool's other workers that were lost at the same time; `undefined` if there were other suspects. */
	readonly commonLoss: number | undefined;
};

/** Evidence of one crash against one task. */
export type CrashEvidence = {
	/** Probability that the worker would have crashed without the task. */
	readonly coincidence: number;
	/** Whether the worker was not known to have survived the start of the run. */
	readonly isEarly: boolean;
	/** Whether no other run can have been the cause. */
	readonly isAlone: boolean;
	/** Whether the loss of other workers at the same time shows a common cause, so that the task is not the likely one; false by default. */
	readonly hasCommonCause?: boolean;
	/** Whether a takeover hides what became of the run, so that its crash is only possible; false by default. */
	readonly isHidden?: boolean;
	/** `undefined` for a run that the worker has not confirmed. */
	readonly details?: CrashDetails;
};
