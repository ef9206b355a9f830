/**
 * The open jobs as the holder of the duty knows them, and its writes of them.
 */
import {VerdictError, type Clock, type RandomSource} from '@tamarackwind/core';
import {
	absentVersion, type Check, type RowKey, type TableService, type Transaction, type Write,
} from '@tamarackwind/clients';
import {type JobDuty} from './duties.js';
import {buildJobKey, jobTables} from './rows.js';
import {isFinal, type JobRow} from './schemas.js';

/** A change of one job's row; the fields lie over the row as it is. */
export type JobChange = {readonly jobId: string; readonly fields: Partial<JobRow>; readonly writes?: readonly Write[]};

/** Further parts of a transaction. */
export type CommitExtras = {readonly checks?: readonly Check[]; readonly writes?: readonly Write[]};

export type JobLedgerOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly tables: TableService;
	readonly duty: JobDuty;
};

type LedgerEntry = {readonly row: JobRow; readonly version: number; readonly insertedVersion: number};

/** Most jobs that one transaction changes. */
export const batchSize = 100;

const maxCommitTries = 3;
const commitPauseMs = 100;
const readBatchSize = 500;

/** Holds the open jobs and commits changes under the fence of the duty. */
export class JobLedger {
	static create(options: JobLedgerOptions): JobLedger {
		return new JobLedger(options);
	}

	readonly #options: JobLedgerOptions;
	readonly #entries = new Map<string, LedgerEntry>();
	readonly #doubtful = new Set<string>();
	#reads = 0;
	#commits = 0;

	private constructor(options: JobLedgerOptions) {
		this.#options = options;
	}

	/** Rows read and transactions sent so far. */
	get counts(): {readonly reads: number; readonly commits: number} {
		return {reads: this.#reads, commits: this.#commits};
	}

	/** Lists the open jobs whose rows are known for certain. */
	listJobs(): JobRow[] {
		return [...this.#entries.values()].map(entry => entry.row).filter(row => !this.#doubtful.has(row.jobId));
	}

	getJob(jobId: string): JobRow | undefined {
		return this.#doubtful.has(jobId) ? undefined : this.#entries.get(jobId)?.row;
	}

	/** Row of a job as last read or written, also while a write of it has an unknown outcome. */
	findRow(jobId: string): JobRow | undefined {
		return this.#entries.get(jobId)?.row;
	}

	hasJob(jobId: string): boolean {
		return this.#entries.has(jobId);
	}

	listJobIds(): string[] {
		return [...this.#entries.keys()];
	}

	/** Reads every open job, for a new holder of the duty. */
	async loadJobs(): Promise<void> {
		this.#entries.clear();
		this.#doubtful.clear();
		const markers = await this.#options.tables.listRows(jobTables.open);
		this.#reads += Math.max(1, markers.length);
		await this.readJobs(markers);
	}

	/** Version of the transaction that inserted a job. */
	getInsertedVersion(jobId: string): number {
		return this.#entries.get(jobId)?.insertedVersion ?? absentVersion;
	}

	/** Reads the rows of jobs and keeps those that have not ended; `version` is that of the transaction that inserted the job. */
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

	/** Reads again the rows of which a write has an unknown outcome. */
	async readDoubtful(): Promise<void> {
		if (this.#doubtful.size > 0) {
			await this.readJobs([...this.#doubtful].map(key => ({key, version: this.getInsertedVersion(key)})));
		}
	}

	/**
	 * Commits changes in one transaction; resolves to `false` when another write came first, in which case the rows are read again later.
	 *
	 * @throws {VerdictError} when the outcome is unknown or nothing was written; the rows count as doubtful until they are read again.
	 */
	async commitChanges(changes: readonly JobChange[], extras: CommitExtras = {}): Promise<boolean> {
		const writeId = this.#options.random.createToken();
		const nextRows = changes.map(({jobId, fields}): JobRow => ({...this.#entries.get(jobId)!.row, ...fields, writeId}));
		const transaction: Transaction = {
			checks: [this.#options.duty.fence, ...changes.map(({jobId}) => ({...buildJobKey(jobId), version: this.#entries.get(jobId)!.version})), ...extras.checks ?? []],
			writes: [...nextRows.flatMap(row => buildRowWrites(row)), ...changes.flatMap(change => change.writes ?? []), ...extras.writes ?? []],
		};
		this.#markDoubtful(changes);
		const version = await this.#commit(transaction, nextRows[0]);
		if (version === undefined) {
			return false;
		}

		for (const row of nextRows) {
			this.#storeRow(row.jobId, row, version, this.getInsertedVersion(row.jobId));
		}

		return true;
	}

	/** Commits writes that belong to no job's row. */
	async commitWrites(writes: readonly Write[]): Promise<boolean> {
		return await this.#commit({checks: [this.#options.duty.fence], writes}, undefined) !== undefined;
	}

	#markDoubtful(changes: readonly JobChange[]): void {
		for (const {jobId} of changes) {
			this.#doubtful.add(jobId);
		}
	}

	#storeRow(jobId: string, row: JobRow | undefined, version: number, insertedVersion: number): void {
		this.#doubtful.delete(jobId);
		if (row === undefined || isFinal(row.state)) {
			this.#entries.delete(jobId);
		} else {
			this.#entries.set(jobId, {row, version, insertedVersion});
		}
	}

	/** Repeats a transaction until its outcome is known: once it has taken effect, its own checks make it conflict. */
	async #commit(transaction: Transaction, marker: JobRow | undefined): Promise<number | undefined> {
		let isUncertain = false;
		for (let tries = 1; ; tries++) {
			try {
				this.#commits++;
				const outcome = await this.#options.tables.commit(transaction);
				if (outcome.status === 'committed') {
					return outcome.version;
				}

				this.#noteConflict(outcome.conflicts);
				return isUncertain && marker !== undefined ? await this.#findOwnWrite(marker) : undefined;
			} catch (error) {
				isUncertain ||= !(error instanceof VerdictError) || error.verdict !== 'not-run';
				if (!isUncertain || tries === maxCommitTries) {
					throw error;
				}
			}

			await this.#options.clock.sleep(commitPauseMs);
		}
	}

	async #findOwnWrite(marker: JobRow): Promise<number | undefined> {
		this.#reads++;
		const row = await this.#options.tables.getRow(buildJobKey(marker.jobId));
		return (row?.value as JobRow | undefined)?.writeId === marker.writeId ? row!.version : undefined;
	}

	#noteConflict(conflicts: readonly RowKey[]): void {
		const {table, key} = this.#options.duty.fence;
		if (conflicts.some(conflict => conflict.table === table && conflict.key === key)) {
			this.#options.duty.noteLost();
		}
	}
}

function buildRowWrites(row: JobRow): Write[] {
	const write = {...buildJobKey(row.jobId), value: row};
	return isFinal(row.state) ? [write, {table: jobTables.open, key: row.jobId}] : [write];
}
