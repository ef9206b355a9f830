/**
 * The leader lease for scheduling jobs, which one entry at a time holds, and the right to renew the leases of runs while the tables
 * are unavailable.
 */
import {VerdictError, type Clock, type RandomSource} from '@tamarackwind/core';
import {LeaderLease, type Check, type TableService} from '@tamarackwind/clients';

/** Role of the scheduler lease. */
export const jobSchedulerRole = 'jobs';

export type JobSchedulerLeaseOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly tables: TableService;
	/** Name of this entry. */
	readonly holder: string;
	/** Time without a renewal after which another entry may acquire the lease, in milliseconds. */
	readonly termMs?: number;
	/** Time for which a holder that cannot reach the tables keeps renewing the leases of runs, in milliseconds. */
	readonly offlineMs?: number;
};

const defaultTermMs = 2500;
const defaultOfflineMs = 90 * 60 * 1000;

/** The scheduler lease as seen by one entry. */
export class JobSchedulerLease {
	static create(options: JobSchedulerLeaseOptions): JobSchedulerLease {
		return new JobSchedulerLease(options);
	}

	/** Maximum time for which an earlier holder may have renewed the leases of runs without access to the tables, in milliseconds. */
	readonly offlineMs: number;
	readonly #clock: Clock;
	readonly #lease: LeaderLease;
	#lastHeld: {readonly epoch: number; readonly heldAt: number} | undefined;

	private constructor(options: JobSchedulerLeaseOptions) {
		this.#clock = options.clock;
		this.#lease = LeaderLease.create({...options, role: jobSchedulerRole, termMs: options.termMs ?? defaultTermMs});
		this.offlineMs = options.offlineMs ?? defaultOfflineMs;
	}

	/** Epoch of the lease that this entry holds, or held when it last reached the tables. */
	get epoch(): number | undefined {
		return this.#lastHeld?.epoch;
	}

	/**
	 * Check that makes a transaction conflict once another entry has acquired the lease.
	 *
	 * @throws {VerdictError} `not-run` when the lease is not held.
	 */
	get fence(): Check {
		const {check} = this.#lease;
		if (check === undefined) {
			throw new VerdictError('the duty to schedule jobs is not held', {verdict: 'not-run', code: 'duty_lost'});
		}

		return check;
	}

	/** Reports whether this entry holds the lease. Every write must still include `fence`. */
	isHeld(): boolean {
		return this.#lastHeld !== undefined && this.#lease.isHeld;
	}

	/** Reports whether the leases of runs may be renewed: up to `offlineMs` after the scheduler lease was last confirmed. */
	isRenewalAllowed(): boolean {
		return this.#lastHeld !== undefined && this.#clock.readMonotonic() - this.#lastHeld.heldAt < this.offlineMs;
	}

	/** Renews the lease, or tries to acquire it. */
	async refresh(): Promise<void> {
		const heldAt = this.#clock.readMonotonic();
		const isHeld = await this.#lease.refresh();
		this.#lastHeld = isHeld ? {epoch: this.#lease.epoch!, heldAt} : undefined;
	}

	/** Marks the lease as lost after a write conflicted with the fence. */
	markLost(): void {
		this.#lastHeld = undefined;
	}

	/** Releases the lease, so that another entry can acquire it before the term ends. */
	async release(): Promise<void> {
		this.#lastHeld = undefined;
		await this.#lease.release();
	}
}
