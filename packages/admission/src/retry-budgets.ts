/**
 * Retry budgets: first attempts add tokens, and each retry consumes one.
 */

export type RetryBudgetOptions = {
	/** Capacity of the bucket; a new budget starts full. */
	readonly burst: number;
};

/** Tolerance for the rounding error of summed fractions. */
const roundingTolerance = 1e-9;

/** Token bucket with one token per retry. */
export class RetryBudget {
	static create(options: RetryBudgetOptions): RetryBudget {
		return new RetryBudget(options.burst);
	}

	readonly #burst: number;
	#tokens: number;

	private constructor(burst: number) {
		this.#burst = burst;
		this.#tokens = burst;
	}

	/** Reports whether a token is left for a retry. */
	hasToken(): boolean {
		return this.#tokens >= 1 - roundingTolerance;
	}

	/** Adds `ratio` tokens for a first attempt. */
	addFirstAttempt(ratio: number): void {
		this.#tokens = Math.min(this.#burst, this.#tokens + ratio);
	}

	takeToken(): void {
		this.#tokens--;
	}
}

/** Token capacity of a pool at one entry. */
const poolBurst = 16;
/** Token capacity of a caller at one entry. */
const callerBurst = 4;

/** Retry budgets of one pool: one for the pool and one for each of its callers. */
export class PoolRetryBudgets {
	static create(): PoolRetryBudgets {
		return new PoolRetryBudgets();
	}

	readonly #pool = RetryBudget.create({burst: poolBurst});
	readonly #callers = new Map<string, RetryBudget>();

	private constructor() {}

	addFirstAttempt(caller: string, ratio: number): void {
		this.#pool.addFirstAttempt(ratio);
		this.#ensureCaller(caller).addFirstAttempt(ratio);
	}

	/** Takes a token from the budgets of the pool and the caller; returns `false` if either has none. */
	tryTakeRetry(caller: string): boolean {
		const budget = this.#ensureCaller(caller);
		if (!this.#pool.hasToken() || !budget.hasToken()) {
			return false;
		}

		this.#pool.takeToken();
		budget.takeToken();
		return true;
	}

	#ensureCaller(caller: string): RetryBudget {
		const budget = this.#callers.get(caller) ?? RetryBudget.create({burst: callerBurst});
		this.#callers.set(caller, budget);
		return budget;
	}
}
