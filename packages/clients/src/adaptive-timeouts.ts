/**
 * Timeouts that adapt to a service's response times: short while it is fast, so that a lost response is detected soon, longer while it is slow.
 */
import {type Clock} from '@tamarackwind/core';

export type AdaptiveTimeoutOptions = {
	readonly clock: Clock;
	/** Bounds of the timeout, in milliseconds. */
	readonly minMs: number;
	readonly maxMs: number;
	/** Ratio of the timeout to the longest response time in the window. */
	readonly factor: number;
	/** Length of the sliding window of response times, in milliseconds. */
	readonly windowMs: number;
};

type ResponseTime = {readonly elapsedMs: number; readonly recordedAt: number};

/**
 * Computes a timeout from the longest response time in a sliding window.
 *
 * @example
 * const timeout = AdaptiveTimeout.create({clock, minMs: 1000, maxMs: 2200, factor: 3, windowMs: 5000});
 * timeout.recordResponseTime(700);
 * timeout.ms; // 2100
 */
export class AdaptiveTimeout {
	static create(options: AdaptiveTimeoutOptions): AdaptiveTimeout {
		return new AdaptiveTimeout(options);
	}

	/** Response times that are longer than all later ones, oldest first; the first is the maximum of the window. */
	readonly #maxima: ResponseTime[] = [];

	private constructor(private readonly options: AdaptiveTimeoutOptions) {}

	/** Current timeout, in milliseconds. */
	get ms(): number {
		const {clock, minMs, maxMs, factor, windowMs} = this.options;
		const since = clock.readMonotonic() - windowMs;
		while (this.#maxima.length > 0 && this.#maxima[0]!.recordedAt < since) {
			this.#maxima.shift();
		}

		return Math.min(maxMs, Math.max(minMs, factor * (this.#maxima[0]?.elapsedMs ?? 0)));
	}

	/** Records the response time of one request, in milliseconds. */
	recordResponseTime(elapsedMs: number): void {
		while (this.#maxima.length > 0 && this.#maxima.at(-1)!.elapsedMs <= elapsedMs) {
			this.#maxima.pop();
		}

		this.#maxima.push({elapsedMs, recordedAt: this.options.clock.readMonotonic()});
	}
}
