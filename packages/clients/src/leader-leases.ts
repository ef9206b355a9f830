/**
 * Leader election by leases in rows of the table service. Each role that needs a single leader has one lease.
 */
import {type Clock, type RandomSource} from '@tamarackwind/core';
import {
	absentVersion, type Check, type Row, type RowChange, type RowKey, type TableService, type WatchableTableService,
} from './tables.js';

/** Table of the lease rows; a lease row changes only with its holder. */
export const leaderLeaseTable = 'duties';

/** Key suffix of the heartbeat row, which is separate from the lease row so that a renewal does not conflict with the holder's writes. */
const heartbeatKeySuffix = '/heartbeat';

/** Value of a lease row. */
export type LeaderLeaseRow = {
	/** Name of the process that holds the lease; empty after a release. */
	readonly holder: string;
	/** Increases with each holder. */
	readonly epoch: number;
	/** Random token by which a process recognises its own write when the response was lost. */
	readonly token: string;
};

export type LeaderLeaseOptions = {
	readonly tables: TableService;
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Name of the role, and key of its lease row. */
	readonly role: string;
	/** Name of this process, written as the holder. */
	readonly holder: string;
	/** Time without a renewal after which other processes may acquire the lease, in milliseconds. */
	readonly termMs?: number;
	/** Whether only one process at a time uses the name `holder`, as with one process per VM. The process then acquires the lease of its predecessor of the same name immediately. */
	readonly isHolderUnique?: boolean;
	/** Partition of the lease and heartbeat rows. */
	readonly partition?: string;
	/** Returns the state that the holder publishes to other processes with each renewal. */
	readonly describeHolderState?: () => unknown;
	/** Delay before a candidate acquires a vacant lease, in milliseconds; random up to half a second by default. */
	readonly vacantDelayMs?: number;
	/** CPU share of the candidate, in cores. When set, candidates with more cores acquire a vacant lease first. */
	readonly cores?: number;
};

/** State of a lease at the last read. */
export type LeaderLeaseState = {
	readonly holder: string;
	readonly epoch: number;
	/** State that the holder published with its last renewal. */
	readonly holderState: unknown;
	/** Monotonic time at which the rows were read, in milliseconds. */
	readonly readAt: number;
	/** Monotonic time at which a change of the rows was last observed, in milliseconds. */
	readonly changedAt: number;
};

type LeaseRows = {readonly lease: Row<LeaderLeaseRow> | undefined; readonly heartbeat: Row<LeaseHeartbeatRow> | undefined};

type LeaseHeartbeatRow = {readonly epoch: number; readonly news?: unknown};

type LeaseObservation = {readonly leaseVersion: number; readonly heartbeatVersion: number; readonly acquireAt: number; readonly changedAt: number; readonly readAt: number};
/** `renewedAt` is a time of the boot clock, which includes suspension, so that a lease also expires while the machine is suspended. */
type HeldLease = {readonly check: Check; readonly epoch: number; readonly renewedAt: number};

const defaultTermMs = 5000;
const renewalsPerTerm = 4;
const maxVacantDelayMs = 500;
/** Delay before a candidate with one core acquires a vacant lease, in milliseconds: the duration of several transactions, so that a candidate with more cores is first. */
const singleCoreDelayMs = 30;
/** Maximum random addition to `singleCoreDelayMs`, in milliseconds, so that equal candidates do not write simultaneously. */
const singleCoreJitterMs = 60;

/**
 * The lease of one role. It expires for other processes when its rows stay unchanged for the term on their own monotonic
 * clocks; wall clocks are never compared. The holder adds `check` to every transaction of the role, so that a holder
 * that was paused and lost the lease cannot write.
 *
 * @example
 * if (await lease.refresh()) {
 *   await tables.commit({checks: [lease.check!, ...checks], writes});
 * }
 */
export class LeaderLease {
	static create(options: LeaderLeaseOptions): LeaderLease {
		return new LeaderLease(options);
	}

	readonly #options: LeaderLeaseOptions;
	readonly #termMs: number;
	#observation: LeaseObservation | undefined;
	#heldLease: HeldLease | undefined;
	#acquireToken: string | undefined;
	#acquireStartedAt = 0;
	#takeovers = 0;
	/** Rows according to the change feed, while the lease is not held. */
	#watchedRows: (LeaseRows & {readonly version: number}) | undefined;
	#observedState: LeaderLeaseState | undefined;

	private constructor(options: LeaderLeaseOptions) {
		this.#options = options;
		this.#termMs = options.termMs ?? defaultTermMs;
	}

	/** Whether this process renewed the lease within the last term. */
	get isHeld(): boolean {
		return this.#heldLease !== undefined && this.#options.clock.readBootTime() - this.#heldLease.renewedAt < this.#termMs;
	}

	/** Check that each transaction of the role must include; `undefined` when the lease is not held. */
	get check(): Check | undefined {
		return this.isHeld ? this.#heldLease!.check : undefined;
	}

	/** Epoch of this holder; `undefined` when the lease is not held. */
	get epoch(): number | undefined {
		return this.isHeld ? this.#heldLease!.epoch : undefined;
	}

	/** State of the lease at the last read; `undefined` before the first read. */
	get observedState(): LeaderLeaseState | undefined {
		return this.#observedState;
	}

	/** Boot-clock time of the last renewal; `undefined` when the lease is not held. */
	get renewedAt(): number | undefined {
		return this.#heldLease?.renewedAt;
	}

	/** Number of times that this process acquired the lease. */
	get takeovers(): number {
		return this.#takeovers;
	}

	/** Renews the lease or tries to acquire it when due; call it several times per term. Resolves to whether the lease is held. */
	async refresh(): Promise<boolean> {
		if (this.#heldLease !== undefined) {
			return this.#renewIfDue();
		}

		return this.#acquireIfDue(await this.#readRows());
	}

	/**
	 * Like `refresh`, but waits up to `waitMs` for a change of the rows while the lease is not held, so that a release is
	 * detected immediately. Resolves to whether the lease is held.
	 */
	async watch(tables: WatchableTableService, waitMs: number): Promise<boolean> {
		if (this.#heldLease !== undefined) {
			return this.#renewIfDue();
		}

		const untilAcquireMs = this.#observation === undefined ? waitMs : this.#observation.acquireAt - this.#options.clock.readMonotonic();
		this.#watchedRows = await this.#watchRows(tables, Math.max(1, Math.ceil(Math.min(waitMs, untilAcquireMs))));
		return this.#acquireIfDue(this.#watchedRows);
	}

	async #watchRows(tables: WatchableTableService, waitMs: number): Promise<LeaseRows & {readonly version: number}> {
		if (this.#watchedRows !== undefined) {
			const outcome = await tables.watchRows(leaderLeaseTable, {after: this.#watchedRows.version, waitMs});
			if (outcome.status === 'changes') {
				const {lease, heartbeat} = this.#watchedRows;
				return {
					lease: findLatestRow(outcome.changes, this.#leaseKey, lease), heartbeat: findLatestRow(outcome.changes, this.#heartbeatKey, heartbeat), version: outcome.version,
				};
			}
		}

		const {rows, version} = await tables.listRange(leaderLeaseTable, {partition: this.#options.partition});
		return {lease: findLatestRow(rows, this.#leaseKey), heartbeat: findLatestRow(rows, this.#heartbeatKey), version};
	}

	async #acquireIfDue({lease, heartbeat}: LeaseRows): Promise<boolean> {
		if (lease !== undefined && this.#acquireToken === lease.value.token) {
			this.#recordAcquisition(lease.version, lease.value.epoch, this.#acquireStartedAt);
			return this.isHeld;
		}

		const observation = this.#observe(lease, heartbeat);
		this.#observedState = {
			holder: lease?.value.holder ?? '', epoch: lease?.value.epoch ?? 0, holderState: heartbeat?.value.news, readAt: observation.readAt, changedAt: observation.changedAt,
		};
		return this.#options.clock.readMonotonic() >= observation.acquireAt && this.#acquire(lease, heartbeat);
	}

	/** Releases the lease, so that another process can acquire it before the term ends. */
	async release(): Promise<void> {
		const heldLease = this.#heldLease;
		this.#heldLease = undefined;
		if (heldLease !== undefined) {
			const value: LeaderLeaseRow = {holder: '', epoch: heldLease.epoch, token: ''};
			await this.#options.tables.commit({checks: [heldLease.check], writes: [{...this.#leaseKey, value}]});
		}
	}

	get #leaseKey(): RowKey {
		return {table: leaderLeaseTable, key: this.#options.role, partition: this.#options.partition};
	}

	get #heartbeatKey(): RowKey {
		return {table: leaderLeaseTable, key: `${this.#options.role}${heartbeatKeySuffix}`, partition: this.#options.partition};
	}

	async #readRows(): Promise<LeaseRows> {
		const [lease, heartbeat] = await this.#options.tables.getRows([this.#leaseKey, this.#heartbeatKey]);
		return {lease: lease as Row<LeaderLeaseRow> | undefined, heartbeat: heartbeat as Row<LeaseHeartbeatRow> | undefined};
	}

	#observe(lease: Row<LeaderLeaseRow> | undefined, heartbeat: Row | undefined): LeaseObservation {
		const leaseVersion = lease?.version ?? absentVersion;
		const heartbeatVersion = heartbeat?.version ?? absentVersion;
		const previous = this.#observation;
		const {clock} = this.#options;
		const readAt = clock.readMonotonic();
		const isVacant = lease === undefined || lease.value.holder === '';
		if (previous?.leaseVersion === leaseVersion && previous.heartbeatVersion === heartbeatVersion) {
			// This process did not read the rows for over half a term. The holder may have had no access to the tables either, so it gets half a term to renew first.
			const wasUnobserved = !isVacant && readAt - previous.readAt > this.#termMs / 2;
			const acquireAt = wasUnobserved ? Math.max(previous.acquireAt, readAt + (this.#termMs / 2)) : previous.acquireAt;
			this.#observation = {...previous, acquireAt, readAt};
			return this.#observation;
		}

		// Delays differ between candidates, so that they do not write simultaneously.
		const isHeldBySameName = this.#options.isHolderUnique === true && lease?.value.holder === this.#options.holder;
		const waitMs = isVacant ? this.#computeVacantDelayMs() : (isHeldBySameName ? 0 : this.#computeExpiryDelayMs());
		this.#observation = {
			leaseVersion, heartbeatVersion, acquireAt: readAt + waitMs, changedAt: readAt, readAt,
		};
		return this.#observation;
	}

	/** Computes the delay before a vacant lease is acquired, in milliseconds. */
	#computeVacantDelayMs(): number {
		const {random, vacantDelayMs, cores} = this.#options;
		return cores === undefined ? vacantDelayMs ?? random.readFraction() * maxVacantDelayMs : (singleCoreDelayMs + (random.readFraction() * singleCoreJitterMs)) / cores;
	}

	/** Computes the time without a renewal after which the lease of a holder is acquired, in milliseconds. */
	#computeExpiryDelayMs(): number {
		const {random, cores} = this.#options;
		return cores === undefined ? this.#termMs * (1 + (random.readFraction() / 4)) : this.#termMs + this.#computeVacantDelayMs();
	}

	async #acquire(lease: Row<LeaderLeaseRow> | undefined, heartbeat: Row | undefined): Promise<boolean> {
		const {tables, clock, random, holder} = this.#options;
		const epoch = (lease?.value.epoch ?? 0) + 1;
		this.#acquireToken = random.createToken();
		this.#acquireStartedAt = clock.readBootTime();
		this.#observation = undefined;
		this.#watchedRows = undefined;
		const outcome = await tables.commit({
			checks: [{...this.#leaseKey, version: lease?.version ?? absentVersion}, {...this.#heartbeatKey, version: heartbeat?.version ?? absentVersion}],
			writes: [{...this.#leaseKey, value: {holder, epoch, token: this.#acquireToken} satisfies LeaderLeaseRow}],
		});
		if (outcome.status === 'conflict') {
			this.#acquireToken = undefined;
			return false;
		}

		this.#recordAcquisition(outcome.version, epoch, this.#acquireStartedAt);
		return this.isHeld;
	}

	#recordAcquisition(version: number, epoch: number, renewedAt: number): void {
		this.#acquireToken = undefined;
		this.#takeovers++;
		this.#heldLease = {check: {...this.#leaseKey, version}, epoch, renewedAt};
	}

	async #renewIfDue(): Promise<boolean> {
		const heldLease = this.#heldLease!;
		const startedAt = this.#options.clock.readBootTime();
		if (startedAt - heldLease.renewedAt < this.#termMs / renewalsPerTerm) {
			return true;
		}

		const outcome = await this.#options.tables.commit({checks: [heldLease.check], writes: [{...this.#heartbeatKey, value: {epoch: heldLease.epoch, news: this.#options.describeHolderState?.()} satisfies LeaseHeartbeatRow}], isRepeatable: true});
		this.#heldLease = outcome.status === 'committed' ? {...heldLease, renewedAt: startedAt} : undefined;
		return this.isHeld;
	}
}

/** Finds the latest state of a row among changes; returns `known` when they do not include it. */
function findLatestRow<T>(changes: ReadonlyArray<Row | RowChange>, {key, partition}: RowKey, known?: Row<T>): Row<T> | undefined {
	const change = changes.findLast(other => other.key === key && (other.partition ?? '') === (partition ?? ''));
	return change === undefined ? known : (change.value === undefined ? undefined : change as Row<T>);
}
