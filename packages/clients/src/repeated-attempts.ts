/**
 * Repeats a call whose response is overdue, without giving up on the earlier attempts.
 */
import {VerdictError, type Clock} from '@tamarackwind/core';

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
	let cancelTimer = (): void => {};
	const settled = await new Promise<{readonly value: T} | {readonly error: unknown}>(resolve => {
		let openAttempts = 0;
		let firstDoubt: unknown;
		const start = async (): Promise<void> => {
			openAttempts++;
			try {
				resolve({value: await attempt()});
				cancelTimer();
			} catch (error) {
				const isUnsent = error instanceof VerdictError && error.verdict === 'not-run';
				firstDoubt ??= isUnsent ? undefined : error;
				openAttempts--;
				if (openAttempts === 0) {
					cancelTimer();
					resolve({error: firstDoubt ?? error});
				}
			}
		};

		const repeatAfter = (waitMs: number, attempts: number): void => {
			cancelTimer = attempts >= maxAttempts
				? () => {}
				: clock.startTimer(waitMs, () => {
					repeatAfter(waitMs * 2, attempts + 1);
					void start();
				});
		};

		repeatAfter(delayMs, 1);
		void start();
	});
	if ('error' in settled) {
		throw settled.error;
	}

	return settled.value;
}
