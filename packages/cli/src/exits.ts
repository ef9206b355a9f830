/** Exit codes of the command, for scripts. */
export const exitCodes = {
	ok: 0,
	failed: 1,
	/** Input that names its faults on standard error. */
	badInput: 2,
	/** Another change was accepted first. */
	conflict: 3,
	/** The entry or the platform could not be reached. */
	unavailable: 4,
	/** A change was accepted and is not yet in force everywhere. */
	pending: 5,
} as const;
