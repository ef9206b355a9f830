/**
 * Verdicts: whether a failed request may have run.
 */
import {match} from 'ts-pattern';

/**
 * Whether a request has run.
 *
 * - `not-run`: no byte of the request reached an upstream.
 * - `may-have-run`: the request was dispatched and its outcome is unknown.
 * - `ran`: the answer is known.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';

/** Every verdict, from the weakest claim of a run to the strongest. */
export const verdicts: readonly Verdict[] = ['not-run', 'may-have-run', 'ran'];

/** Tells whether a request that failed with `verdict` may be sent again. */
export function isRetryable(verdict: Verdict, isIdempotent: boolean): boolean {
	return match(verdict)
		.with('not-run', () => true)
		.with('may-have-run', () => isIdempotent)
		.with('ran', () => false)
		.exhaustive();
}
