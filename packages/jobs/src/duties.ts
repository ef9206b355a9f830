/**
 * The lease under which one entry at a time schedules jobs.
 *
 * Two rows: the duty's row changes only when the duty changes hands, and its version fences the holder's writes; the heartbeat's row is
 * rewritten by each renewal. Expiry is judged by watching the heartbeat unchanged for the term on one's own monotonic clock.
 */
import {VerdictError, type Clock, type RandomSource} from '@tamarackwind/core';
import {
	absentVersion, type Check, type Row, type RowKey, type TableService,
} from '@tamarackwind/platform';

/** Value of the duty's row. */
export type DutyRow = {
	readonly holder: string;
	/** Grows each time the duty changes hands. */
	readonly epoch: number;
	/** Token of the take-over, by which a lost answer is recognised. */
	readonly token: string;
};

export type DutyLeaseOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly tables: TableService;
	/** Name of the duty. */
	readonly name: string;
	/** Name of this entry. */
	readonly holder: string;
	/** Time without a renewal after which another entry may take the duty, in milliseconds. */
	readonly termMs?: number;
	/** Time for which a holder that can't reach the tables goes on renewing what it started, in milliseconds. */
	readonly offlineMs?: number;
};

type Watch = {readonly version: number; readonly since: number};
type Hold = {readonly epoch: number; readonly version: number; validUntil: number};

const defaultTermMs = 2500;
const defaultOfflineMs = 90 * 60 * 1000;
const marginMs = 250;

/** The lease of one duty, as one entry sees it. */
export class DutyLease {
	static create(options: DutyLeaseOptions): DutyLease {
		return new DutyLease(options);
	}

	readonly #options: DutyLeaseOptions;
	readonly #dutyKey: RowKey;
	readonly #heartbeatKey: RowKey;
	readonly #termMs: number;
	#watch: Watch | undefined;
	#hold: Hold | undefined;
	#takeover: {readonly token: string; readonly startedAt: number} | undefined;

	private constructor(options: DutyLeaseOptions) {
		this.#options = options;
		this.#termMs = options.termMs ?? defaultTermMs;
		this.#dutyKey = {table: 'duties', key: options.name};
		this.#heartbeatKey = {table: 'duties', key: `${options.name}.heartbeat`};
	}

	/** Longest time for which an earlier holder may have gone on renewing without the tables, in milliseconds. */
	get offlineMs(): number {
		return this.#options.offlineMs ?? defaultOfflineMs;
	}

	/** Epoch of the duty while this entry has it, held or lapsed. */
	get epoch(): number | undefined {
		return this.#hold?.epoch;
	}

	/** Tells whether the duty is held now; a write still has to check it with `fence`. */
	isHeld(): boolean {
		return this.#hold !== undefined && this.#options.clock.readMonotonic() < this.#hold.validUntil;
	}

	/** Tells whether the task leases of this duty may be renewed: also while the tables can't be reached, for a bounded time. */
	isKeeper(): boolean {
		return this.#hold !== undefined && this.#options.clock.readMonotonic() < this.#hold.validUntil + this.offlineMs;
	}

	/**
	 * Condition that makes a transaction fail once the duty has changed hands.
	 *
	 * @throws {VerdictError} `not-run` when the duty is not held.
	 */
	get fence(): Check {
		if (this.#hold === undefined) {
			throw new VerdictError(`duty "${this.#options.name}" is not held`, {verdict: 'not-run', code: 'duty_lost'});
		}

		return {...this.#dutyKey, version: this.#hold.version};
	}

	/** Renews the lease, or watches it and takes it once it has lapsed. */
	async refresh(): Promise<void> {
		await (this.#hold === undefined ? this.#watchLease() : this.#renewLease(this.#hold));
	}

	/** Gives the duty up after a write found that it had changed hands. */
	release(): void {
		this.#hold = undefined;
		this.#watch = undefined;
	}

	async #renewLease(hold: Hold): Promise<void> {
		const {clock, tables, holder} = this.#options;
		const startedAt = clock.readMonotonic();
		const outcome = await tables.commit({
			checks: [this.fence],
			writes: [{...this.#heartbeatKey, value: {holder, epoch: hold.epoch}}],
		});
		if (outcome.status === 'conflict') {
			this.release();
			return;
		}

		hold.validUntil = Math.max(hold.validUntil, startedAt + this.#termMs);
	}

	async #watchLease(): Promise<void> {
		const {clock, tables} = this.#options;
		const [duty, heartbeat] = await tables.getRows([this.#dutyKey, this.#heartbeatKey]);
		const now = clock.readMonotonic();
		const current = duty?.value as DutyRow | undefined;
		if (current !== undefined && current.token === this.#takeover?.token) {
			this.#hold = {epoch: current.epoch, version: duty!.version, validUntil: this.#takeover.startedAt + this.#termMs};
			return;
		}

		const version = heartbeat?.version ?? absentVersion;
		if (this.#watch?.version !== version) {
			this.#watch = {version, since: now};
		}

		if (version === absentVersion || now - this.#watch.since > this.#termMs + marginMs) {
			await this.#takeLease(duty, version);
		}
	}

	async #takeLease(duty: Row | undefined, heartbeatVersion: number): Promise<void> {
		const {clock, tables, holder, random} = this.#options;
		const epoch = ((duty?.value as DutyRow | undefined)?.epoch ?? 0) + 1;
		this.#takeover = {token: random.createToken(), startedAt: clock.readMonotonic()};
		const value: DutyRow = {holder, epoch, token: this.#takeover.token};
		const outcome = await tables.commit({
			checks: [{...this.#dutyKey, version: duty?.version ?? absentVersion}, {...this.#heartbeatKey, version: heartbeatVersion}],
			writes: [{...this.#dutyKey, value}, {...this.#heartbeatKey, value: {holder, epoch}}],
		});
		if (outcome.status === 'committed') {
			this.#hold = {epoch, version: outcome.version, validUntil: this.#takeover.startedAt + this.#termMs};
		}
	}
}
