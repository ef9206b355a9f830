/**
 * Leases of duties that need a single holder: a row of the table service, taken by any process.
 */
import {type Clock, type RandomSource} from '@tamarackwind/core';
import {
	absentVersion, type Check, type Row, type RowChange, type RowKey, type TableService, type WatchedTableService,
} from './tables.js';

/** Table of the lease rows; a row changes only when its holder does. */
export const dutyTable = 'duties';

/** Ending of the key of a heartbeat row, apart from the lease row so that a renewal does not conflict with the holder's writes. */
const heartbeatSuffix = '/heartbeat';

/** Value of a lease row. */
export type DutyRow = {
	/** Process that holds the duty; empty when it was released. */
	readonly holder: string;
	/** Grows with each holder. */
	readonly epoch: number;
	/** Write token by which a holder recognises its own row after a lost answer. */
	readonly token: string;
};

export type DutyLeaseOptions = {
	readonly tables: TableService;
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Name of the duty, the key of its rows. */
	readonly duty: string;
	/** Process that applies for the duty. */
	readonly holder: string;
	/** Time without a renewal after which others may take the duty over, in milliseconds. */
	readonly termMs?: number;
	/** Set when holders are named by VMs on which one process runs at a time: a process takes over at once from an earlier one of its name. */
	readonly isHolderUnique?: boolean;
	/** Partition of the duty's rows. */
	readonly partition?: string;
	/** What the holder tells the others with each renewal. */
	readonly describeNews?: () => unknown;
	/** Time that an applicant waits before it takes a vacant duty, in milliseconds; random up to half a second by default. */
	readonly vacancyMs?: number;
	/** Processor time of the applicant in cores; when given, larger applicants take a vacant duty before smaller ones. */
	readonly cores?: number;
};

/** What a process last read of a duty. */
export type DutyNews = {
	readonly holder: string;
	readonly epoch: number;
	/** What the holder told with its last renewal. */
	readonly news: unknown;
	/** When the rows were read, on the monotonic clock. */
	readonly readAt: number;
	/** When the heartbeat was last seen to change, on the monotonic clock. */
	readonly changedAt: number;
};

type DutyRows = {readonly lease: Row<DutyRow> | undefined; readonly heartbeat: Row<HeartbeatRow> | undefined};

type HeartbeatRow = {readonly epoch: number; readonly news?: unknown};

type Observation = {readonly leaseVersion: number; readonly heartbeatVersion: number; readonly takeAt: number; readonly changedAt: number; readonly readAt: number};
/** `renewedAt` is on the boot clock, so that a machine that was suspended does not take its lease for valid. */
type Holding = {readonly check: Check; readonly epoch: number; readonly renewedAt: number};

const defaultTermMs = 5000;
const renewalsPerTerm = 4;
const vacancySpreadMs = 500;
/** Wait of an applicant of one core before it takes a vacant duty, in milliseconds: some transactions, so that a larger one is first. */
const corePauseMs = 30;
/** Random part of that wait, in milliseconds, so that equal applicants do not all write at once. */
const coreSpreadMs = 60;

/**
 * The lease of one duty. Expiry is judged by rows that stay unchanged for the term on this process's monotonic clock,
 * never by comparing wall clocks. A holder adds `check` to every transaction of the duty, so that a holder which was
 * paused and lost the duty changes nothing.
 *
 * @example
 * if (await lease.refresh()) {
 *   await tables.commit({checks: [lease.check!, ...checks], writes});
 * }
 */
export class DutyLease {
	static create(options: DutyLeaseOptions): DutyLease {
		return new DutyLease(options);
	}

	readonly #options: DutyLeaseOptions;
	readonly #termMs: number;
	#observation: Observation | undefined;
	#holding: Holding | undefined;
	#takeToken: string | undefined;
	#takeStartedAt = 0;
	#takeovers = 0;
	/** Rows as the feed of changes has told them so far, while the duty is not held. */
	#followed: (DutyRows & {readonly version: number}) | undefined;
	#news: DutyNews | undefined;

	private constructor(options: DutyLeaseOptions) {
		this.#options = options;
		this.#termMs = options.termMs ?? defaultTermMs;
	}

	/** Tells whether this process held the duty at its last renewal and the term has not run out since. */
	get isHeld(): boolean {
		return this.#holding !== undefined && this.#options.clock.readBoot() - this.#holding.renewedAt < this.#termMs;
	}

	/** Condition that each transaction of the duty must carry; `undefined` when the duty is not held. */
	get check(): Check | undefined {
		return this.isHeld ? this.#holding!.check : undefined;
	}

	/** Epoch of this holder; `undefined` when the duty is not held. */
	get epoch(): number | undefined {
		return this.isHeld ? this.#holding!.epoch : undefined;
	}

	/** What the last read of the duty's rows told; `undefined` before the first. */
	get news(): DutyNews | undefined {
		return this.#news;
	}

	/** Boot clock at which the lease was last renewed; `undefined` when the duty is not held. */
	get renewedAt(): number | undefined {
		return this.#holding?.renewedAt;
	}

	/** Times that this process took the duty. */
	get takeovers(): number {
		return this.#takeovers;
	}

	/** Renews the lease or applies for it, as is due; call it several times a term. Resolves to whether the duty is held. */
	async refresh(): Promise<boolean> {
		if (this.#holding !== undefined) {
			return this.#renewIfDue();
		}

		return this.#applyRows(await this.#readRows());
	}

	/**
	 * Waits at most `waitMs` for a change of a duty that is not held, and applies for it as is due. Compared with calls of
	 * `refresh`, a release shows at once. Resolves to whether the duty is held.
	 */
	async watch(tables: WatchedTableService, waitMs: number): Promise<boolean> {
		if (this.#holding !== undefined) {
			return this.#renewIfDue();
		}

		const untilTakeMs = this.#observation === undefined ? waitMs : this.#observation.takeAt - this.#options.clock.readMonotonic();
		this.#followed = await this.#watchRows(tables, Math.max(1, Math.ceil(Math.min(waitMs, untilTakeMs))));
		return this.#applyRows(this.#followed);
	}

	async #watchRows(tables: WatchedTableService, waitMs: number): Promise<DutyRows & {readonly version: number}> {
		if (this.#followed !== undefined) {
			const outcome = await tables.watchRows(dutyTable, {after: this.#followed.version, waitMs});
			if (outcome.status === 'changes') {
				const {lease, heartbeat} = this.#followed;
				return {
					lease: findChanged(outcome.changes, this.#leaseKey, lease), heartbeat: findChanged(outcome.changes, this.#heartbeatKey, heartbeat), version: outcome.version,
				};
			}
		}

		const {rows, version} = await tables.listRange(dutyTable, {partition: this.#options.partition});
		return {lease: findChanged(rows, this.#leaseKey), heartbeat: findChanged(rows, this.#heartbeatKey), version};
	}

	async #applyRows({lease, heartbeat}: DutyRows): Promise<boolean> {
		if (lease !== undefined && this.#takeToken === lease.value.token) {
			this.#recordHolding(lease.version, lease.value.epoch, this.#takeStartedAt);
			return this.isHeld;
		}

		const observation = this.#observe(lease, heartbeat);
		this.#news = {
			holder: lease?.value.holder ?? '', epoch: lease?.value.epoch ?? 0, news: heartbeat?.value.news, readAt: observation.readAt, changedAt: observation.changedAt,
		};
		return this.#options.clock.readMonotonic() >= observation.takeAt && this.#take(lease, heartbeat);
	}

	/** Gives the duty up at once, so that another process need not wait for the term. */
	async release(): Promise<void> {
		const holding = this.#holding;
		this.#holding = undefined;
		if (holding !== undefined) {
			const value: DutyRow = {holder: '', epoch: holding.epoch, token: ''};
			await this.#options.tables.commit({checks: [holding.check], writes: [{...this.#leaseKey, value}]});
		}
	}

	get #leaseKey(): RowKey {
		return {table: dutyTable, key: this.#options.duty, partition: this.#options.partition};
	}

	get #heartbeatKey(): RowKey {
		return {table: dutyTable, key: `${this.#options.duty}${heartbeatSuffix}`, partition: this.#options.partition};
	}

	async #readRows(): Promise<DutyRows> {
		const [lease, heartbeat] = await this.#options.tables.getRows([this.#leaseKey, this.#heartbeatKey]);
		return {lease: lease as Row<DutyRow> | undefined, heartbeat: heartbeat as Row<HeartbeatRow> | undefined};
	}

	#observe(lease: Row<DutyRow> | undefined, heartbeat: Row | undefined): Observation {
		const leaseVersion = lease?.version ?? absentVersion;
		const heartbeatVersion = heartbeat?.version ?? absentVersion;
		const known = this.#observation;
		const {clock} = this.#options;
		const readAt = clock.readMonotonic();
		const isVacant = lease === undefined || lease.value.holder === '';
		if (known?.leaseVersion === leaseVersion && known.heartbeatVersion === heartbeatVersion) {
			// A holder that could not reach the tables either gets half a term to renew first.
			const isGap = !isVacant && readAt - known.readAt > this.#termMs / 2;
			const takeAt = isGap ? Math.max(known.takeAt, readAt + (this.#termMs / 2)) : known.takeAt;
			this.#observation = {...known, takeAt, readAt};
			return this.#observation;
		}

		// Spread over time, so that applicants do not all write at once.
		const isOwn = this.#options.isHolderUnique === true && lease?.value.holder === this.#options.holder;
		const waitMs = isVacant ? this.#computeVacancyMs() : (isOwn ? 0 : this.#computeOccupiedMs());
		this.#observation = {
			leaseVersion, heartbeatVersion, takeAt: readAt + waitMs, changedAt: readAt, readAt,
		};
		return this.#observation;
	}

	/** Wait before a vacant duty is taken. */
	#computeVacancyMs(): number {
		const {random, vacancyMs, cores} = this.#options;
		return cores === undefined ? vacancyMs ?? random.readFraction() * vacancySpreadMs : (corePauseMs + (random.readFraction() * coreSpreadMs)) / cores;
	}

	/** Wait before the duty of a holder that renews nothing is taken. */
	#computeOccupiedMs(): number {
		const {random, cores} = this.#options;
		return cores === undefined ? this.#termMs * (1 + (random.readFraction() / 4)) : this.#termMs + this.#computeVacancyMs();
	}

	async #take(lease: Row<DutyRow> | undefined, heartbeat: Row | undefined): Promise<boolean> {
		const {tables, clock, random, holder} = this.#options;
		const epoch = (lease?.value.epoch ?? 0) + 1;
		this.#takeToken = random.createToken();
		this.#takeStartedAt = clock.readBoot();
		this.#observation = undefined;
		this.#followed = undefined;
		const outcome = await tables.commit({
			checks: [{...this.#leaseKey, version: lease?.version ?? absentVersion}, {...this.#heartbeatKey, version: heartbeat?.version ?? absentVersion}],
			writes: [{...this.#leaseKey, value: {holder, epoch, token: this.#takeToken} satisfies DutyRow}],
		});
		if (outcome.status === 'conflict') {
			this.#takeToken = undefined;
			return false;
		}

		this.#recordHolding(outcome.version, epoch, this.#takeStartedAt);
		return this.isHeld;
	}

	#recordHolding(version: number, epoch: number, renewedAt: number): void {
		this.#takeToken = undefined;
		this.#takeovers++;
		this.#holding = {check: {...this.#leaseKey, version}, epoch, renewedAt};
	}

	async #renewIfDue(): Promise<boolean> {
		const holding = this.#holding!;
		const startedAt = this.#options.clock.readBoot();
		if (startedAt - holding.renewedAt < this.#termMs / renewalsPerTerm) {
			return true;
		}

		const outcome = await this.#options.tables.commit({checks: [holding.check], writes: [{...this.#heartbeatKey, value: {epoch: holding.epoch, news: this.#options.describeNews?.()} satisfies HeartbeatRow}]});
		this.#holding = outcome.status === 'committed' ? {...holding, renewedAt: startedAt} : undefined;
		return this.isHeld;
	}
}

/** Finds the newest state of a row among changes; `known` when they don't name it. */
function findChanged<T>(changes: ReadonlyArray<Row | RowChange>, {key, partition}: RowKey, known?: Row<T>): Row<T> | undefined {
	const change = changes.findLast(other => other.key === key && (other.partition ?? '') === (partition ?? ''));
	return change === undefined ? known : (change.value === undefined ? undefined : change as Row<T>);
}
