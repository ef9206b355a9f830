/**
 * Waits with a time limit.
 */
import {type Clock} from './clocks.js';

/**
 * Resolves once `promise` is fulfilled or `ms` milliseconds have passed; rejects if `promise` does first. No timer stays behind. An
 * abort signal would cost several times as much as the timer.
 *
 * @example
 * await waitAtMost(clock, signal.wait(), 100);
 */
export async function waitAtMost(clock: Clock, promise: Promise<unknown>, ms: number): Promise<void> {
	let cancel = (): void => {};
	const limit = new Promise<void>(resolve => {
		cancel = clock.startTimer(ms, resolve);
	});
	try {
		await Promise.race([promise, limit]);
	} finally {
		cancel();
	}
}
