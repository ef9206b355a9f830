/**
 * Measures how fast the jobs of accounts arrive, and computes the share of submissions to accept of an account above its rate.
 */
import {hashFraction} from './hash-fractions.js';

/** Number of jobs to which an account is entitled. */
export type RateLimit = {
	/** Part of the account's rate that is allowed beyond it. */
	readonly overage: number;
	/** Number of jobs in a window that is allowed beyond the rate. */
	readonly slack: number;
	/** Time over which jobs are counted, in milliseconds. */
	readonly windowMs: number;
};

export const defaultRateLimit: RateLimit = {overage: 0.1, slack: 20, windowMs: 5000};

/** Smallest share that is accepted: the rate of an account is measured by its accepted jobs. */
const minShare = 0.01;
/** Time for which entries may still apply an earlier share, in milliseconds: they use no status that is older. */
const shareLagMs = 2000;
/** Inverse of the precision of a share, which is published as text. */
const sharePrecision = 10_000;
const millisecondsPerSecond = 1000;

type Arrival = {readonly at: number; readonly fraction: number};
type PublishedShare = {readonly share: number; readonly at: number};

/** Computes the number of jobs in a window to which an account is entitled; `weight` is its rate in jobs per second. */
export function computeAllowedJobs(weight: number, {overage, slack, windowMs}: RateLimit): number {
	return (weight * (1 + overage) * (windowMs / millisecondsPerSecond)) + slack;
}

/** Reports whether a submission is among the share of its account's that is accepted; all entries agree, as the id alone decides. */
export function isWithinShare(id: string, share: number): boolean {
	return hashFraction('acceptance', id) < share;
}

/** Arrivals of one account. */
class AccountArrivals {
	static create(): AccountArrivals {
		return new AccountArrivals();
	}

	/** Accepted jobs of the window, in order of time but for small differences between the clocks of entries. */
	#arrivals: Arrival[] = [];
	/** Shares that entries may have applied to jobs of the window. */
	readonly #shares: PublishedShare[] = [{share: 1, at: Number.NEGATIVE_INFINITY}];

	private constructor() {}

	add(id: string, at: number): void {
		this.#arrivals.push({at, fraction: hashFraction('acceptance', id)});
	}

	/** Notes the share that is published from now on. */
	setShare(share: number, now: number): void {
		if (share !== this.#shares.at(-1)!.share) {
			this.#shares.push({share, at: now});
		}
	}

	/**
	 * Estimates the number of submissions in the window, with those that were refused. All entries accept the jobs whose fraction is below
	 * the smallest share of the window, whichever share they applied at the time, so that these are a sample of known size.
	 */
	estimateSubmissions(now: number, windowMs: number): number {
		const from = now - windowMs;
		this.#arrivals = this.#arrivals.filter(({at}) => at > from);
		const expired = this.#shares.findLastIndex(({at}) => at <= from - shareLagMs);
		this.#shares.splice(0, Math.max(0, expired));
		const smallest = Math.min(...this.#shares.map(({share}) => share));
		return this.#arrivals.filter(({fraction}) => fraction < smallest).length / smallest;
	}

	/** Whether nothing of the account is left to remember. */
	get isEmpty(): boolean {
		return this.#arrivals.length === 0 && this.#shares.length === 1 && this.#shares[0]!.share === 1;
	}
}

export type ShareOptions<Account extends string> = {
	readonly now: number;
	/** Returns the rate to which an account is entitled, in jobs per second. */
	readonly getWeight: (account: Account) => number;
	/** Reports whether work of other accounts waits for capacity that the account takes. */
	readonly isContended: (account: Account) => boolean;
};

/**
 * Arrivals of all accounts.
 *
 * Load: an account whose callers submit far more than the rate to which it is entitled, while the work of other accounts waits. The rest
 * of its submissions is refused before it costs the store a write and the holder a place in its plans.
 *
 * @example
 * rates.record(account, job.id, now);
 * rates.computeShares({now, getWeight: () => 4, isContended: () => true}); // Map {'north' => 0.4}
 */
export class ArrivalRates<Account extends string> {
	static create<Account extends string>(limit: RateLimit = defaultRateLimit): ArrivalRates<Account> {
		return new ArrivalRates<Account>(limit);
	}

	readonly #accounts = new Map<Account, AccountArrivals>();

	private constructor(private readonly limit: RateLimit) {}

	/** Records an accepted job that arrived at the time `at`. */
	record(account: Account, id: string, at: number): void {
		const arrivals = this.#accounts.get(account) ?? AccountArrivals.create();
		this.#accounts.set(account, arrivals);
		arrivals.add(id, at);
	}

	/** Computes, for each account above its rate whose pool is short of capacity, the share of its submissions to accept, which entries apply from now on. */
	computeShares({now, getWeight, isContended}: ShareOptions<Account>): Map<Account, number> {
		const shares = new Map<Account, number>();
		for (const [account, arrivals] of this.#accounts) {
			const submissions = arrivals.estimateSubmissions(now, this.limit.windowMs);
			const allowed = computeAllowedJobs(getWeight(account), this.limit);
			const share = submissions > allowed && isContended(account) ? Math.max(minShare, Math.round((allowed / submissions) * sharePrecision) / sharePrecision) : 1;
			arrivals.setShare(share, now);
			if (share < 1) {
				shares.set(account, share);
			} else if (arrivals.isEmpty) {
				this.#accounts.delete(account);
			}
		}

		return shares;
	}
}
