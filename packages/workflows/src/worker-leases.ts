/**
 * Computes the lease of a worker's runs on the worker's clock, and the time by which it has certainly expired.
 */

/** Factor that allows for a slow worker clock: the platform documents a deviation of at most 2 %, and 1 % is added as a margin. */
const clockSlackFactor = 1.03;
/** Time that a run may take to end after its lease expired, in milliseconds; covers late timers on the worker. */
const expiryMarginMs = 200;

/** Computes the longest time for which runs go on under a lease of `leaseMs` on the worker's clock, in milliseconds. */
export function computeMaxLeaseMs(leaseMs: number): number {
	return (leaseMs * clockSlackFactor) + expiryMarginMs;
}

type Sample = {readonly clock: number; readonly receivedAt: number};

/** Lease of all runs on one worker. Times named `...At` are on this process's monotonic clock. */
export class WorkerLease {
	/** Creates a lease; `earlierRunsEndBy` is the time by which leases granted by an earlier holder have expired. */
	static create(earlierRunsEndBy: number): WorkerLease {
		return new WorkerLease(earlierRunsEndBy);
	}

	#sample: Sample | undefined;
	#leaseUntil = Number.NEGATIVE_INFINITY;

	private constructor(private readonly earlierRunsEndBy: number) {}

	/** Records the worker's clock as reported in a response. */
	observeClock(clock: number, receivedAt: number): void {
		if (this.#sample === undefined || clock >= this.#sample.clock) {
			this.#sample = {clock, receivedAt};
		}
	}

	/** Extends the lease to `termMs` from now; returns its end on the worker's clock, or `undefined` while that clock is unknown. */
	renew(now: number, termMs: number): number | undefined {
		if (this.#sample === undefined) {
			return undefined;
		}

		const until = Math.round(this.#sample.clock + (now - this.#sample.receivedAt) + termMs);
		this.#leaseUntil = Math.max(this.#leaseUntil, until);
		return until;
	}

	/** Time by which all runs on the worker have ended unless the lease is renewed. */
	get expiresAt(): number {
		if (this.#sample === undefined || this.#leaseUntil === Number.NEGATIVE_INFINITY) {
			return this.earlierRunsEndBy;
		}

		const ownExpiry = this.#sample.receivedAt + computeMaxLeaseMs(this.#leaseUntil - this.#sample.clock);
		return Math.max(this.earlierRunsEndBy, ownExpiry);
	}

	/** Returns the lease without the allowance for earlier holders, once the worker has accepted this holder's fencing token. */
	clearEarlierRuns(): WorkerLease {
		const lease = WorkerLease.create(Number.NEGATIVE_INFINITY);
		lease.#sample = this.#sample;
		lease.#leaseUntil = this.#leaseUntil;
		return lease;
	}
}
