/** Exit codes of the `tamarackwind` command. */
export const exitCodes = {
	ok: 0,
	failed: 1,
	/** Invalid input; standard error lists the issues. */
	badInput: 2,
	/** Another change was accepted first. */
	conflict: 3,
	/** The entry or the platform could not be reached. */
	unavailable: 4,
	/** A change was accepted but is not yet in force on every entry. */
	pending: 5,
} as const;
