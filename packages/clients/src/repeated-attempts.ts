/**
 * Repeats a call whose response is overdue, without giving up on the earlier attempts.
 */
import {cancelledWait, VerdictError, type Clock} from '@tamarackwind/core';

export type RepeatedAttemptsOptions<T> = {
	readonly clock: Clock;
	/** Time without a response before the second attempt, in milliseconds; it doubles with each further one. */
	readonly delayMs: number;
	readonly maxAttempts: number;
	readonly attempt: () => Promise<T>;
};

/**
 * Resolves to the first response to any attempt. Rejects once all attempts that were made have failed: with the verdict `not-run` only if
 * none of them can have taken effect. A failure without an open attempt beside it is not repeated.
 *
 * @example
 * const outcome = await runRepeatedAttempts({clock, delayMs: 120, maxAttempts: 3, attempt: async () => send(transaction)});
 */
export async function runRepeatedAttempts<T>({clock, delayMs, maxAttempts, attempt}: RepeatedAttemptsOptions<T>): Promise<T> {
	const abort = new AbortController();
	const settled = await new Promise<{readonly value: T} | {readonly error: unknown}>(resolve => {
		let openAttempts = 0;
		let firstDoubt: unknown;
		const start = async (): Promise<void> => {
			openAttempts++;
			try {
				resolve({value: await attempt()});
				abort.abort(cancelledWait);
			} catch (error) {
				const isUnsent = error instanceof VerdictError && error.verdict === 'not-run';
				firstDoubt ??= isUnsent ? undefined : error;
				openAttempts--;
				if (openAttempts === 0) {
					abort.abort(cancelledWait);
					resolve({error: firstDoubt ?? error});
				}
			}
		};

		const repeat = async (): Promise<void> => {
			let waitMs = delayMs;
			for (let attempts = 1; attempts < maxAttempts; attempts++) {
				await clock.sleep(waitMs, abort.signal);
				if (abort.signal.aborted) {
					return;
				}

				void start();
				waitMs *= 2;
			}
		};

		void start();
		void repeat();
	});
	if ('error' in settled) {
		throw settled.error;
	}

	return settled.value;
}
