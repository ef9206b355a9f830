/**
 * Verdicts: whether a failed request may have run.
 */
import {match} from 'ts-pattern';

/**
 * Whether a request has run at an upstream.
 *
 * - `not-run`: no byte of the request reached an upstream.
 * - `may-have-run`: the request was dispatched and its outcome is unknown.
 * - `ran`: the outcome is known.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';

/** All verdicts, in increasing order of certainty that the request ran. */
export const verdicts: readonly Verdict[] = ['not-run', 'may-have-run', 'ran'];

/** Reports whether a request that failed with `verdict` may be retried. */
export function isRetryable(verdict: Verdict, isIdempotent: boolean): boolean {
	return match(verdict)
		.with('not-run', () => true)
		.with('may-have-run', () => isIdempotent)
		.with('ran', () => false)
		.exhaustive();
}
