/**
 * Errors with a verdict and a code, and errors that list the issues of invalid input.
 */
import ModernError, {type InstanceOptions} from 'modern-errors';
import {type Verdict} from './verdicts.js';

/** Base class of all errors that tamarackwind throws deliberately. */
export const BaseError = ModernError.subclass('BaseError');

/** One issue in an input, with its location. */
export type Issue = {
	/** Machine-readable kind of the issue, such as `unknown_key`. */
	readonly code: string;
	/** Keys from the root of the input to the issue. */
	readonly path: ReadonlyArray<string | number>;
	/** Description of the issue: what was found and what was expected. */
	readonly message: string;
	/** File that contains the issue. */
	readonly file?: string;
	/** Line in `file`, counted from 1. */
	readonly line?: number;
};

/** Verdict, code and cause of a `VerdictError`. */
export type VerdictOptions = {
	readonly verdict: Verdict;
	/** Machine-readable kind of the failure, such as `deadline_exceeded`. */
	readonly code: string;
	readonly cause?: unknown;
};

const unknownCode = 'unknown';

/**
 * Error of a failed operation, with a verdict on whether it may have taken effect. The verdict defaults to
 * `may-have-run`.
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

/** Error of invalid input, with every issue found in it. */
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

/** Creates an error whose message lists every issue on its own line. */
export function createIssuesError(issues: readonly Issue[]): IssuesError {
	return new IssuesError(issues.map(issue => formatIssue(issue)).join('\n'), {issues});
}

/** Outcome of a non-throwing parse. */
export type SafeParseResult<T>
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
	const location = issue.file === undefined ? '' : `${issue.file}:${issue.line ?? 1}: `;
	const path = issue.path.length === 0 ? '' : `${issue.path.join('.')}: `;
	return `${location}${path}${issue.message}`;
}

/** Returns the message of a thrown value. */
export function readErrorMessage(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}
