/**
 * In-memory copy of the open jobs on the entry that holds the scheduler lease, and the transactions that change them.
 */
import {VerdictError, type Clock, type RandomSource} from '@tamarackwind/core';
import {
	absentVersion, type Check, type CommitOutcome, type RowKey, type TableService, type Transaction, type Write,
} from '@tamarackwind/clients';
import {type JobSchedulerLease} from './job-scheduler-leases.js';
import {buildJobKey, jobTables} from './rows.js';
import {isFinal, type JobRow} from './schemas.js';

/** A change of one job's row; `fields` replace those of the current row. */
export type JobChange = {readonly jobId: string; readonly fields: Partial<JobRow>; readonly writes?: readonly Write[]};

/** Additional checks and writes of a transaction. */
export type CommitExtras = {readonly checks?: readonly Check[]; readonly writes?: readonly Write[]};

export type JobStoreOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly tables: TableService;
	readonly schedulerLease: JobSchedulerLease;
};

type StoredJob = {readonly row: JobRow; readonly version: number; readonly insertedVersion: number};

/** Maximum number of jobs that one transaction changes. */
export const maxBatchJobs = 100;

const maxCommitAttempts = 3;
const commitRetryDelayMs = 100;
const readBatchSize = 500;

/** Stores the open jobs and commits changes, each fenced by the scheduler lease. */
export class JobStore {
	static create(options: JobStoreOptions): JobStore {
		return new JobStore(options);
	}

	readonly #options: JobStoreOptions;
	readonly #entries = new Map<string, StoredJob>();
	readonly #uncertain = new Set<string>();
	#reads = 0;
	#commits = 0;

	private constructor(options: JobStoreOptions) {
		this.#options = options;
	}

	/** Numbers of rows read and transactions sent. */
	get counts(): {readonly reads: number; readonly commits: number} {
		return {reads: this.#reads, commits: this.#commits};
	}

	/** Lists the open jobs without a write of unknown outcome. */
	listJobs(): JobRow[] {
		return [...this.#entries.values()].map(entry => entry.row).filter(row => !this.#uncertain.has(row.jobId));
	}

	getJob(jobId: string): JobRow | undefined {
		return this.#uncertain.has(jobId) ? undefined : this.#entries.get(jobId)?.row;
	}

	/** Finds the row of a job as last read or written, even while a write of it has an unknown outcome. */
	findRow(jobId: string): JobRow | undefined {
		return this.#entries.get(jobId)?.row;
	}

	hasJob(jobId: string): boolean {
		return this.#entries.has(jobId);
	}

	listJobIds(): string[] {
		return [...this.#entries.keys()];
	}

	/** Reads every open job after the scheduler lease was acquired. */
	async loadJobs(): Promise<void> {
		this.#entries.clear();
		this.#uncertain.clear();
		const markers = await this.#options.tables.listRows(jobTables.open);
		this.#reads += Math.max(1, markers.length);
		await this.readJobs(markers);
	}

	/** Returns the version of the transaction that inserted a job. */
	getInsertedVersion(jobId: string): number {
		return this.#entries.get(jobId)?.insertedVersion ?? absentVersion;
	}

	/** Reads the rows of jobs and stores those that have not ended; `version` is that of the transaction that inserted the job. */
	async readJobs(markers: ReadonlyArray<{readonly key: string; readonly version: number}>): Promise<void> {
		for (let start = 0; start < markers.length; start += readBatchSize) {
			const part = markers.slice(start, start + readBatchSize);
			const rows = await this.#options.tables.getRows(part.map(({key}) => buildJobKey(key)));
			this.#reads += part.length;
			for (const [index, row] of rows.entries()) {
				const {key, version} = part[index]!;
				this.#storeRow(key, row?.value as JobRow | undefined, row?.version ?? absentVersion, version);
			}
		}
	}

	/** Rereads the rows with a write of unknown outcome. */
	async readUncertain(): Promise<void> {
		if (this.#uncertain.size > 0) {
			await this.readJobs([...this.#uncertain].map(key => ({key, version: this.getInsertedVersion(key)})));
		}
	}

	/**
	 * Commits changes in one transaction; resolves to `false` on a conflict, after which `readUncertain` rereads the rows. If only the
	 * additional checks conflicted, the rows are unchanged and can be committed again at once.
	 *
	 * @throws {VerdictError} when the outcome is unknown or nothing was written; the rows count as uncertain until they are reread.
	 */
	async commitChanges(changes: readonly JobChange[], extras: CommitExtras = {}): Promise<boolean> {
		const writeId = this.#options.random.createToken();
		const nextRows = changes.map(({jobId, fields}): JobRow => ({...this.#entries.get(jobId)!.row, ...fields, writeId}));
		const transaction: Transaction = {
			checks: [this.#options.schedulerLease.fence, ...changes.map(({jobId}) => ({...buildJobKey(jobId), version: this.#entries.get(jobId)!.version})), ...extras.checks ?? []],
			writes: [...nextRows.flatMap(row => buildRowWrites(row)), ...changes.flatMap(change => change.writes ?? []), ...extras.writes ?? []],
		};
		this.#markUncertain(changes);
		const outcome = await this.#commit(transaction, nextRows[0]);
		if (outcome.status === 'conflict') {
			if (isWithinChecks(outcome.conflicts, extras.checks ?? [])) {
				this.#markUnchanged(changes);
			}

			return false;
		}

		for (const row of nextRows) {
			this.#storeRow(row.jobId, row, outcome.version, this.getInsertedVersion(row.jobId));
		}

		return true;
	}

	/** Commits writes that change no job's row. */
	async commitWrites(writes: readonly Write[]): Promise<boolean> {
		const outcome = await this.#commit({checks: [this.#options.schedulerLease.fence], writes}, undefined);
		return outcome.status === 'committed';
	}

	#markUncertain(changes: readonly JobChange[]): void {
		for (const {jobId} of changes) {
			this.#uncertain.add(jobId);
		}
	}

	#markUnchanged(changes: readonly JobChange[]): void {
		for (const {jobId} of changes) {
			this.#uncertain.delete(jobId);
		}
	}

	#storeRow(jobId: string, row: JobRow | undefined, version: number, insertedVersion: number): void {
		this.#uncertain.delete(jobId);
		if (row === undefined || isFinal(row.state)) {
			this.#entries.delete(jobId);
		} else {
			this.#entries.set(jobId, {row, version, insertedVersion});
		}
	}

	/** Retries a transaction while its outcome is unknown. A retry is safe, since after a commit the transaction's own checks make it conflict. */
	async #commit(transaction: Transaction, writtenRow: JobRow | undefined): Promise<CommitOutcome> {
		let isUncertain = false;
		for (let attempt = 1; ; attempt++) {
			try {
				this.#commits++;
				const outcome = await this.#options.tables.commit(transaction);
				if (outcome.status === 'committed') {
					return outcome;
				}

				this.#checkFenceConflict(outcome.conflicts);
				return isUncertain && writtenRow !== undefined ? await this.#findOwnWrite(writtenRow) : outcome;
			} catch (error) {
				isUncertain ||= !(error instanceof VerdictError) || error.verdict !== 'not-run';
				if (!isUncertain || attempt === maxCommitAttempts) {
					throw error;
				}
			}

			await this.#options.clock.sleep(commitRetryDelayMs);
		}
	}

	/** Reads whether an earlier attempt of a transaction has committed; otherwise any of its checks may have conflicted. */
	async #findOwnWrite(writtenRow: JobRow): Promise<CommitOutcome> {
		this.#reads++;
		const row = await this.#options.tables.getRow(buildJobKey(writtenRow.jobId));
		return (row?.value as JobRow | undefined)?.writeId === writtenRow.writeId
			? {status: 'committed', version: row!.version}
			: {status: 'conflict', conflicts: []};
	}

	#checkFenceConflict(conflicts: readonly RowKey[]): void {
		const {table, key} = this.#options.schedulerLease.fence;
		if (conflicts.some(conflict => conflict.table === table && conflict.key === key)) {
			this.#options.schedulerLease.markLost();
		}
	}
}

/** Reports whether the conflicts are known and all of them are with some of the given checks. */
function isWithinChecks(conflicts: readonly RowKey[], checks: readonly Check[]): boolean {
	return conflicts.length > 0 && conflicts.every(conflict => checks.some(({table, key}) => table === conflict.table && key === conflict.key));
}

function buildRowWrites(row: JobRow): Write[] {
	const write = {...buildJobKey(row.jobId), value: row};
	return isFinal(row.state) ? [write, {table: jobTables.open, key: row.jobId}] : [write];
}
