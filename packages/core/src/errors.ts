/**
 * Errors that carry a verdict and a code, and the issue lists of refused input.
 */
import ModernError, {type InstanceOptions} from 'modern-errors';
import {type Verdict} from './verdicts.js';

/** Base of every error that tamarackwind raises on purpose. */
export const BaseError = ModernError.subclass('BaseError');

/** One fault in an input, with the place where it stands. */
export type Issue = {
	/** Machine-readable kind of the fault, such as `unknown_key`. */
	readonly code: string;
	/** Keys from the root of the input to the fault. */
	readonly path: ReadonlyArray<string | number>;
	/** What was found and what was expected. */
	readonly message: string;
	/** File that holds the fault. */
	readonly file?: string;
	/** Line in `file`, counted from 1. */
	readonly line?: number;
};

/** What a `VerdictError` says beside its message. */
export type VerdictOptions = {
	readonly verdict: Verdict;
	/** Machine-readable kind of the failure, such as `deadline_exceeded`. */
	readonly code: string;
	readonly cause?: unknown;
};

const unknownCode = 'unknown';

/**
 * An operation that failed, and whether it may have taken effect. Without a verdict it counts as `may-have-run`.
 *
 * @example
 * throw new VerdictError('pool "north" has no live worker', {verdict: 'not-run', code: 'no_worker'});
 */
export const VerdictError = BaseError.subclass('VerdictError', {
	custom: class extends BaseError {
		readonly verdict: Verdict;
		readonly code: string;

		constructor(message: string, options?: InstanceOptions & Partial<VerdictOptions>) {
			super(message, options?.cause === undefined ? {} : {cause: options.cause});
			this.verdict = options?.verdict ?? 'may-have-run';
			this.code = options?.code ?? unknownCode;
		}
	},
});

export type VerdictError = InstanceType<typeof VerdictError>;

/** Input that was refused, with every fault found in it. */
export const IssuesError = BaseError.subclass('IssuesError', {
	custom: class extends BaseError {
		readonly issues: readonly Issue[];

		constructor(message: string, options?: InstanceOptions & {readonly issues?: readonly Issue[]}) {
			super(message, {});
			this.issues = options?.issues ?? [];
		}
	},
});

export type IssuesError = InstanceType<typeof IssuesError>;

/** Creates the error that tells of every issue, a line each. */
export function createIssuesError(issues: readonly Issue[]): IssuesError {
	return new IssuesError(issues.map(issue => formatIssue(issue)).join('\n'), {issues});
}

/** Outcome of a non-throwing parse. */
export type Result<T>
	= | {readonly success: true; readonly data: T}
		| {readonly success: false; readonly error: IssuesError};

/**
 * Formats an issue on one line.
 *
 * @example
 * formatIssue({code: 'unknown_key', path: ['pools', 'north'], message: 'unknown key', file: 'a.jsonc', line: 3});
 * // 'a.jsonc:3: pools.north: unknown key'
 */
export function formatIssue(issue: Issue): string {
	const place = issue.file === undefined ? '' : `${issue.file}:${issue.line ?? 1}: `;
	const path = issue.path.length === 0 ? '' : `${issue.path.join('.')}: `;
	return `${place}${path}${issue.message}`;
}

/** Gives the message of anything that was thrown. */
export function readErrorMessage(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}
