/**
 * Writes the job progress of a service in batches. Each transaction checks the version of the fence row that the previous one wrote.
 */
import {
	readErrorMessage, VerdictError, type Clock, type ServiceName,
} from '@tamarackwind/core';
import {
	absentVersion, platformRejectedCode, type Row, type WatchableTableService,
} from '@tamarackwind/clients';
import {type ActiveJob} from './active-jobs.js';
import {type RateLimitedLog} from './rate-limited-logs.js';
import {headRow} from './progress-layouts.js';
import {getFenceKey} from './table-keys.js';
import {type FenceRow} from './records.js';

export type ProgressWriterOptions = {
	readonly clock: Clock;
	readonly tables: WatchableTableService;
	readonly log: RateLimitedLog;
	readonly service: ServiceName;
	readonly epoch: number;
	readonly holder: string;
	/** Called when the table service rejects the progress of a job; the job must be encodable afterwards. */
	readonly onRejected: (job: ActiveJob) => void;
	/** Called once when another holder has taken over the fence. */
	readonly onLost: () => void;
};

/** Maximum number of progress rows in one transaction, which also checks and writes the fence. */
const maxBatchRows = 90;
/** Delay before a transaction in which changes are batched, in milliseconds. */
const batchDelayMs = 4;
/** Delay before a failed transaction is retried, in milliseconds. */
const retryDelayMs = 100;

/** A progress row to write. */
type PendingRow = {readonly job: ActiveJob; readonly row: number};

type WriteOutcome = 'committed' | 'failed' | 'rejected';

type Batch = {readonly promise: Promise<void>; readonly resolve: () => void; readonly reject: (error: unknown) => void};

/** Thrown when a holder has lost its service to another holder before a write became durable. */
export class FenceLostError extends Error {
	override name = 'FenceLostError';
}

/**
 * Writes the progress rows of one service. Every transaction checks that the fence row has the version of the previous transaction
 * and rewrites it, so a delayed transaction or one of an earlier holder has no effect.
 *
 * @example
 * const writer = ProgressWriter.create({...});
 * await writer.open();
 * await writer.record([job]);
 */
export class ProgressWriter {
	static create(options: ProgressWriterOptions): ProgressWriter {
		return new ProgressWriter(options);
	}

	readonly #options: ProgressWriterOptions;
	readonly #dirty = new Set<ActiveJob>();
	#next: Batch | undefined;
	#current: Batch | undefined;
	#isRunning = false;
	#version = absentVersion;
	#sequence = 0;
	#isClosed = false;
	#writes = 0;

	private constructor(options: ProgressWriterOptions) {
		this.#options = options;
	}

	/** Number of committed transactions. */
	get writes(): number {
		return this.#writes;
	}

	/**
	 * Takes over the fence; transactions of earlier holders fail from then on.
	 *
	 * @throws {FenceLostError} when a later holder owns the fence.
	 */
	async open(): Promise<void> {
		const {tables, service} = this.#options;
		const key = getFenceKey(service);
		for (;;) {
			const row = await tables.getRow(key) as Row<FenceRow> | undefined;
			if (row !== undefined && row.value.epoch > this.#options.epoch) {
				throw new FenceLostError(`service "${service}" is held under epoch ${row.value.epoch}`);
			}

			const version = row?.version ?? absentVersion;
			const outcome = await tables.commit({checks: [{...key, version}], writes: [{...key, value: this.#describeFence()}]});
			if (outcome.status === 'committed') {
				this.#version = outcome.version;
				return;
			}
		}
	}

	/** Resolves once the current progress of the jobs is durable. */
	async record(jobs: Iterable<ActiveJob>): Promise<void> {
		if (this.#isClosed) {
			throw new FenceLostError(`service "${this.#options.service}" is no longer held`);
		}

		for (const job of jobs) {
			this.#dirty.add(job);
		}

		this.#next ??= createBatch();
		const {promise} = this.#next;
		if (!this.#isRunning) {
			void this.#run();
		}

		return promise;
	}

	/** Resolves once everything recorded so far is durable. */
	async flush(): Promise<void> {
		await (this.#next ?? this.#current)?.promise;
	}

	/** Stops writing; pending writes reject with a `FenceLostError`. */
	close(): void {
		this.#isClosed = true;
		this.#next?.reject(new FenceLostError(`service "${this.#options.service}" is no longer held`));
		this.#next = undefined;
	}

	async #run(): Promise<void> {
		const {clock} = this.#options;
		this.#isRunning = true;
		while (this.#next !== undefined && !this.#isClosed) {
			await clock.sleep(batchDelayMs);
			const batch = this.#next;
			const jobs = [...this.#dirty];
			this.#dirty.clear();
			this.#next = undefined;
			if (batch === undefined) {
				break;
			}

			this.#current = batch;
			const isWritten = await this.#write(jobs.flatMap(job => job.takeChangedRows().map(row => ({job, row}))));
			if (isWritten) {
				batch.resolve();
			} else {
				batch.reject(new FenceLostError(`service "${this.#options.service}" is no longer held`));
			}
		}

		this.#isRunning = false;
	}

	async #write(rows: readonly PendingRow[]): Promise<boolean> {
		for (const part of this.#splitRows(rows)) {
			if (!await this.#writePart(part)) {
				return false;
			}
		}

		return true;
	}

	/** Splits rows into transactions within the limits of the table service; one without rows tells that earlier writes are durable. */
	#splitRows(rows: readonly PendingRow[]): PendingRow[][] {
		const {transactionBytes, valueBytes} = this.#options.tables.limits;
		if (rows.length <= maxBatchRows && rows.length * valueBytes <= transactionBytes) {
			return [[...rows]];
		}

		const parts: PendingRow[][] = [[]];
		let bytes = 0;
		for (const pending of rows) {
			const rowBytes = estimateBytes(pending);
			if (parts.at(-1)!.length >= maxBatchRows || (bytes + rowBytes > transactionBytes && parts.at(-1)!.length > 0)) {
				parts.push([]);
				bytes = 0;
			}

			parts.at(-1)!.push(pending);
			bytes += rowBytes;
		}

		return parts;
	}

	/** Writes rows in one transaction, with retries; resolves to `false` once the writer is closed. If they are rejected, each job is written by itself. */
	async #writePart(part: readonly PendingRow[]): Promise<boolean> {
		for (;;) {
			const outcome = await this.#tryWrite(part);
			if (outcome === 'committed') {
				return true;
			}

			if (this.#isClosed) {
				return false;
			}

			if (outcome === 'rejected' && part.some(({job}) => !job.isUnrecordable) && await this.#tryWrite([]) === 'committed') {
				return this.#writeJobs(part);
			}

			await this.#options.clock.sleep(retryDelayMs);
		}
	}

	/** Writes the rows of each job by itself, after they were rejected together; gives up a job whose rows are rejected again. */
	async #writeJobs(part: readonly PendingRow[]): Promise<boolean> {
		const jobs = new Set(part.map(({job}) => job));
		for (const job of jobs) {
			const rows = part.filter(pending => pending.job === job);
			if (jobs.size === 1 || await this.#tryWrite(rows) === 'rejected') {
				this.#options.onRejected(job);
				if (!await this.#writePart([{job, row: headRow}])) {
					return false;
				}
			} else if (!await this.#writePart(rows)) {
				return false;
			}
		}

		return true;
	}

	/** Attempts one transaction. */
	async #tryWrite(part: readonly PendingRow[]): Promise<WriteOutcome> {
		const {tables, service, log} = this.#options;
		const fence = getFenceKey(service);
		this.#sequence++;
		const rows = part.map(({job, row}) => job.encodeProgressRow(row));
		try {
			const outcome = await tables.commit({
				checks: [{...fence, version: this.#version}],
				writes: [{...fence, value: this.#describeFence()}, ...rows],
				isRepeatable: true,
			});
			if (outcome.status === 'committed') {
				this.#version = outcome.version;
				this.#writes++;
				return 'committed';
			}

			return await this.#resolveConflict() ? 'committed' : 'failed';
		} catch (error) {
			log.warn('writing progress failed', {service, rows: rows.length, error: readErrorMessage(error)});
			return error instanceof VerdictError && error.code === platformRejectedCode ? 'rejected' : 'failed';
		}
	}

	/** Determines whether a transaction of this holder without a response was committed or another holder has taken over the fence. Resolves to whether the latest transaction is committed. */
	async #resolveConflict(): Promise<boolean> {
		const {tables, service, epoch, holder, log, onLost} = this.#options;
		const row = await tables.getRow(getFenceKey(service)) as Row<FenceRow> | undefined;
		if (row?.value.epoch === epoch && row.value.holder === holder) {
			this.#version = row.version;
			// A transaction with an earlier sequence has older content, so the caller writes again.
			return row.value.sequence === this.#sequence;
		}

		log.warn('service taken over by another holder', {service, epoch, newEpoch: row?.value.epoch});
		this.close();
		onLost();
		return false;
	}

	#describeFence(): FenceRow {
		return {epoch: this.#options.epoch, sequence: this.#sequence, holder: this.#options.holder};
	}
}

/** Estimates the encoded size of a row, in bytes. */
function estimateBytes({job, row}: PendingRow): number {
	return Buffer.byteLength(JSON.stringify(job.encodeProgressRow(row).value));
}

function createBatch(): Batch {
	let resolve!: () => void;
	let reject!: (error: unknown) => void;
	const promise = new Promise<void>((onResolve, onReject) => {
		resolve = onResolve;
		reject = onReject;
	});
	// Prevents an unhandled rejection when no caller awaits the batch; the failure is logged where it occurs.
	promise.catch(() => {});
	return {promise, resolve, reject};
}
