/**
 * Leases of what runs on a worker, told on the worker's own clock, and when they have surely run out.
 */

/** Share by which a worker's clock may run slow; the platform's pages promise 2 %, and 1 % is kept in hand. */
const clockSlackFactor = 1.03;
/** Time for which a lapsed run may take to end, in milliseconds; covers late timers on the worker. */
const lapseMarginMs = 200;

type Sample = {readonly clock: number; readonly receivedAt: number};

/** The lease that one worker's runs hold. Times `at` are on this process's monotonic clock. */
export class WorkerLease {
	/** `unknownUntil`: when leases that an earlier holder gave have surely run out. */
	static create(unknownUntil: number): WorkerLease {
		return new WorkerLease(unknownUntil);
	}

	#sample: Sample | undefined;
	#leaseUntil = Number.NEGATIVE_INFINITY;

	private constructor(private readonly unknownUntil: number) {}

	/** Notes the worker's clock as an answer gave it. */
	observeClock(clock: number, receivedAt: number): void {
		if (this.#sample === undefined || clock >= this.#sample.clock) {
			this.#sample = {clock, receivedAt};
		}
	}

	/** Computes and notes a lease of `termMs` from now, on the worker's clock; `undefined` while that clock is not known. */
	renew(now: number, termMs: number): number | undefined {
		if (this.#sample === undefined) {
			return undefined;
		}

		const until = Math.round(this.#sample.clock + (now - this.#sample.receivedAt) + termMs);
		this.#leaseUntil = Math.max(this.#leaseUntil, until);
		return until;
	}

	/** When nothing that was started here can run any more, unless the lease is renewed. */
	get lapsesAt(): number {
		if (this.#sample === undefined || this.#leaseUntil === Number.NEGATIVE_INFINITY) {
			return this.unknownUntil;
		}

		const ownLapse = this.#sample.receivedAt + ((this.#leaseUntil - this.#sample.clock) * clockSlackFactor) + lapseMarginMs;
		return Math.max(this.unknownUntil, ownLapse);
	}

	/** Forgets what an earlier holder may have granted, once the worker obeys this one. */
	clearUnknown(): WorkerLease {
		const lease = WorkerLease.create(Number.NEGATIVE_INFINITY);
		lease.#sample = this.#sample;
		lease.#leaseUntil = this.#leaseUntil;
		return lease;
	}
}
