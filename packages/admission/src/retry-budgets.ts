/**
 * Retry budgets: retries are paid from tokens that first attempts earn.
 */

export type RetryBudgetOptions = {
	/** Tokens that may be saved up, and that a new budget starts with. */
	readonly burst: number;
};

/** What sums of fractions may fall short by. */
const roundingError = 1e-9;

/** A bucket of tokens, one for each retry. */
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

	/** Tells whether a retry can be paid. */
	hasToken(): boolean {
		return this.#tokens >= 1 - roundingError;
	}

	/** Earns `ratio` tokens for a first attempt. */
	addFirstAttempt(ratio: number): void {
		this.#tokens = Math.min(this.#burst, this.#tokens + ratio);
	}

	takeToken(): void {
		this.#tokens--;
	}
}

/** Retries that a pool may save up at one entry. */
const poolBurst = 16;
/** Retries that a caller may save up at one entry. */
const callerBurst = 4;

/** The budgets of one pool: one for the pool and one for each of its callers. */
export class PoolRetryBudgets {
	static create(): PoolRetryBudgets {
		return new PoolRetryBudgets();
	}

	readonly #pool = RetryBudget.create({burst: poolBurst});
	readonly #callers = new Map<string, RetryBudget>();

	private constructor() {}

	addFirstAttempt(caller: string, ratio: number): void {
		this.#pool.addFirstAttempt(ratio);
		this.#getCaller(caller).addFirstAttempt(ratio);
	}

	/** Pays for a retry; tells whether both budgets allowed it. */
	tryTakeRetry(caller: string): boolean {
		const budget = this.#getCaller(caller);
		if (!this.#pool.hasToken() || !budget.hasToken()) {
			return false;
		}

		this.#pool.takeToken();
		budget.takeToken();
		return true;
	}

	#getCaller(caller: string): RetryBudget {
		const budget = this.#callers.get(caller) ?? RetryBudget.create({burst: callerBurst});
		this.#callers.set(caller, budget);
		return budget;
	}
}
