/**
 * Limits how often something is done on average, with short bursts.
 */
import {type Clock} from '@tamarackwind/core';

export type RateBudgetOptions = {
	readonly clock: Clock;
	/** Number of times that it may be done at once after a pause. */
	readonly burst: number;
	/** Number of times a second that it may be done on average. */
	readonly perS: number;
};

const millisecondsPerSecond = 1000;

/** Token bucket that refills with time; a new one is full. */
export class RateBudget {
	static create(options: RateBudgetOptions): RateBudget {
		return new RateBudget(options);
	}

	readonly #options: RateBudgetOptions;
	#tokens: number;
	#refilledAt: number;

	private constructor(options: RateBudgetOptions) {
		this.#options = options;
		this.#tokens = options.burst;
		this.#refilledAt = options.clock.readMonotonic();
	}

	/** Consumes a token; returns `false` if none is left. */
	tryConsume(): boolean {
		const {clock, burst, perS} = this.#options;
		const now = clock.readMonotonic();
		this.#tokens = Math.min(burst, this.#tokens + ((now - this.#refilledAt) / millisecondsPerSecond * perS));
		this.#refilledAt = now;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}
}
