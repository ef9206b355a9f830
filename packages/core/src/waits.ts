/**
 * Waits with a time limit.
 */
import {type Clock} from './clocks.js';

/** Reason with which an unneeded timer is cancelled; without one, each cancellation would create an exception with a stack trace. */
export const cancelledWait = 'the wait is over';

/**
 * Resolves once `promise` is fulfilled or `ms` milliseconds have passed; rejects if `promise` does first. No timer stays behind.
 *
 * @example
 * await waitAtMost(clock, signal.wait(), 100);
 */
export async function waitAtMost(clock: Clock, promise: Promise<unknown>, ms: number): Promise<void> {
	const abort = new AbortController();
	try {
		await Promise.race([promise, clock.sleep(ms, abort.signal)]);
	} finally {
		abort.abort(cancelledWait);
	}
}
