/**
 * The duty to schedule jobs, which one entry at a time holds, and the right to keep runs alive while the tables can't be reached.
 */
import {VerdictError, type Clock, type RandomSource} from '@tamarackwind/core';
import {DutyLease, type Check, type TableService} from '@tamarackwind/clients';

/** Name of the duty. */
export const jobDutyName = 'jobs';

export type JobDutyOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly tables: TableService;
	/** Name of this entry. */
	readonly holder: string;
	/** Time without a renewal after which another entry may take the duty, in milliseconds. */
	readonly termMs?: number;
	/** Time for which a holder that can't reach the tables goes on renewing what it started, in milliseconds. */
	readonly offlineMs?: number;
};

const defaultTermMs = 2500;
const defaultOfflineMs = 90 * 60 * 1000;

/** The duty as one entry sees it. */
export class JobDuty {
	static create(options: JobDutyOptions): JobDuty {
		return new JobDuty(options);
	}

	/** Longest time for which an earlier holder may have gone on renewing without the tables, in milliseconds. */
	readonly offlineMs: number;
	readonly #clock: Clock;
	readonly #lease: DutyLease;
	#kept: {readonly epoch: number; readonly heldAt: number} | undefined;

	private constructor(options: JobDutyOptions) {
		this.#clock = options.clock;
		this.#lease = DutyLease.create({...options, duty: jobDutyName, termMs: options.termMs ?? defaultTermMs});
		this.offlineMs = options.offlineMs ?? defaultOfflineMs;
	}

	/** Epoch of the term that this entry holds, or held when it last reached the tables. */
	get epoch(): number | undefined {
		return this.#kept?.epoch;
	}

	/**
	 * Condition that makes a transaction fail once the duty has changed hands.
	 *
	 * @throws {VerdictError} `not-run` when the duty is not held.
	 */
	get fence(): Check {
		const {check} = this.#lease;
		if (check === undefined) {
			throw new VerdictError('the duty to schedule jobs is not held', {verdict: 'not-run', code: 'duty_lost'});
		}

		return check;
	}

	/** Tells whether the duty is held now; a write still has to carry `fence`. */
	isHeld(): boolean {
		return this.#kept !== undefined && this.#lease.isHeld;
	}

	/** Tells whether the leases of runs may be renewed: also while the tables can't be reached, for a bounded time. */
	isKeeper(): boolean {
		return this.#kept !== undefined && this.#clock.readMonotonic() - this.#kept.heldAt < this.offlineMs;
	}

	/** Renews the lease, or applies for it. */
	async refresh(): Promise<void> {
		const heldAt = this.#clock.readMonotonic();
		const isHeld = await this.#lease.refresh();
		this.#kept = isHeld ? {epoch: this.#lease.epoch!, heldAt} : undefined;
	}

	/** Notes that a write found the duty in other hands. */
	noteLost(): void {
		this.#kept = undefined;
	}

	/** Gives the duty up, so that another entry need not wait for the term. */
	async release(): Promise<void> {
		this.#kept = undefined;
		await this.#lease.release();
	}
}
