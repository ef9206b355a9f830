/**
 * Timeouts that follow how long a service takes: short while it is quick, so that a lost answer is noticed soon, longer while it is slow.
 */
import {type Clock} from '@tamarackwind/core';

export type AdaptiveTimeoutOptions = {
	readonly clock: Clock;
	/** Bounds of the timeout, in milliseconds. */
	readonly minMs: number;
	readonly maxMs: number;
	/** Multiple of the longest recent answer that is waited for. */
	readonly factor: number;
	/** Time for which an answer counts as recent, in milliseconds. */
	readonly recentMs: number;
};

type Answer = {readonly elapsedMs: number; readonly at: number};

/**
 * A timeout drawn from the longest answer of the last seconds.
 *
 * @example
 * const timeout = AdaptiveTimeout.create({clock, minMs: 1000, maxMs: 2200, factor: 3, recentMs: 5000});
 * timeout.recordAnswer(700);
 * timeout.ms; // 2100
 */
export class AdaptiveTimeout {
	static create(options: AdaptiveTimeoutOptions): AdaptiveTimeout {
		return new AdaptiveTimeout(options);
	}

	/** Answers of which none is followed by a longer one, oldest first. */
	readonly #answers: Answer[] = [];

	private constructor(private readonly options: AdaptiveTimeoutOptions) {}

	/** Time to wait for an answer now, in milliseconds. */
	get ms(): number {
		const {clock, minMs, maxMs, factor, recentMs} = this.options;
		const since = clock.readMonotonic() - recentMs;
		while (this.#answers.length > 0 && this.#answers[0]!.at < since) {
			this.#answers.shift();
		}

		return Math.min(maxMs, Math.max(minMs, factor * (this.#answers[0]?.elapsedMs ?? 0)));
	}

	/** Notes that an answer took `elapsedMs` milliseconds. */
	recordAnswer(elapsedMs: number): void {
		while (this.#answers.length > 0 && this.#answers.at(-1)!.elapsedMs <= elapsedMs) {
			this.#answers.pop();
		}

		this.#answers.push({elapsedMs, at: this.options.clock.readMonotonic()});
	}
}
