/**
 * The ledger of a service: writes the progress of jobs in batches, each fenced by the one before.
 */
import {
	readErrorMessage, type Clock, type ServiceName,
} from '@tamarackwind/core';
import {absentVersion, type Row, type WatchedTableService} from '@tamarackwind/clients';
import {type ActiveJob} from './active-jobs.js';
import {type DecisionLog} from './decision-logs.js';
import {getFenceKey, getProgressKey} from './layouts.js';
import {type FenceRow} from './records.js';

export type LedgerOptions = {
	readonly clock: Clock;
	readonly tables: WatchedTableService;
	readonly log: DecisionLog;
	readonly service: ServiceName;
	readonly epoch: number;
	readonly holder: string;
	/** Called once when another holder has taken the fence. */
	readonly onLost: () => void;
};

/** Rows in one transaction beside the fence; the service takes 100. */
const batchRows = 90;
/** Pause before a transaction, in which changes gather, in milliseconds. */
const gatherMs = 4;
/** Pause before a failed transaction is tried again, in milliseconds. */
const retryMs = 100;

type Batch = {readonly promise: Promise<void>; readonly resolve: () => void; readonly reject: (error: unknown) => void};

/** Raised to whoever waits for a write of a holder that lost its service. */
export class FenceLostError extends Error {
	override name = 'FenceLostError';
}

/**
 * Writes the progress rows of one service. Every transaction checks the fence row at the version that the one before left and
 * writes it anew: a transaction that is carried out late, or that belongs to an earlier holder, changes nothing.
 *
 * @example
 * const ledger = Ledger.create({...});
 * await ledger.open();
 * await ledger.record([job]);
 */
export class Ledger {
	static create(options: LedgerOptions): Ledger {
		return new Ledger(options);
	}

	readonly #options: LedgerOptions;
	readonly #dirty = new Set<ActiveJob>();
	#next: Batch | undefined;
	#current: Batch | undefined;
	#isRunning = false;
	#version = absentVersion;
	#sequence = 0;
	#isClosed = false;
	#writes = 0;

	private constructor(options: LedgerOptions) {
		this.#options = options;
	}

	/** Transactions committed so far. */
	get writes(): number {
		return this.#writes;
	}

	/**
	 * Takes the fence from the earlier holder, whose transactions fail from then on.
	 *
	 * @throws {FenceLostError} when a later holder has it.
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

	/** Resolves once the present progress of the jobs is durable. */
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
	async settle(): Promise<void> {
		await (this.#next ?? this.#current)?.promise;
	}

	/** Stops writing; whoever waits for a write is told that it is lost. */
	close(): void {
		this.#isClosed = true;
		this.#next?.reject(new FenceLostError(`service "${this.#options.service}" is no longer held`));
		this.#next = undefined;
	}

	async #run(): Promise<void> {
		const {clock} = this.#options;
		this.#isRunning = true;
		while (this.#next !== undefined && !this.#isClosed) {
			await clock.sleep(gatherMs);
			const batch = this.#next;
			const jobs = [...this.#dirty];
			this.#dirty.clear();
			this.#next = undefined;
			if (batch === undefined) {
				break;
			}

			this.#current = batch;
			const isWritten = await this.#write(jobs);
			if (isWritten) {
				batch.resolve();
			} else {
				batch.reject(new FenceLostError(`service "${this.#options.service}" is no longer held`));
			}
		}

		this.#isRunning = false;
	}

	async #write(jobs: readonly ActiveJob[]): Promise<boolean> {
		for (let start = 0; start < jobs.length; start += batchRows) {
			const part = jobs.slice(start, start + batchRows);
			while (!await this.#tryWrite(part)) {
				if (this.#isClosed) {
					return false;
				}

				await this.#options.clock.sleep(retryMs);
			}
		}

		return true;
	}

	/** Tries one transaction; resolves to whether it is known to be committed. */
	async #tryWrite(jobs: readonly ActiveJob[]): Promise<boolean> {
		const {tables, service, log} = this.#options;
		const fence = getFenceKey(service);
		this.#sequence++;
		const rows = jobs.map(job => ({...getProgressKey(service, job.job.id), value: job.encodeProgress()}));
		try {
			const outcome = await tables.commit({
				checks: [{...fence, version: this.#version}],
				writes: [{...fence, value: this.#describeFence()}, ...rows],
			});
			if (outcome.status === 'committed') {
				this.#version = outcome.version;
				this.#writes++;
				return true;
			}

			await this.#settleConflict();
		} catch (error) {
			log.warn('progress not written', {service, jobs: jobs.length, error: readErrorMessage(error)});
		}

		return false;
	}

	/** Finds out whether an earlier transaction of this holder took effect after all, or another holder has the fence. */
	async #settleConflict(): Promise<void> {
		const {tables, service, epoch, holder, log, onLost} = this.#options;
		const row = await tables.getRow(getFenceKey(service)) as Row<FenceRow> | undefined;
		if (row?.value.epoch === epoch && row.value.holder === holder) {
			// The earlier content may be older than what is in memory: the caller writes it again.
			this.#version = row.version;
			return;
		}

		log.warn('service lost', {service, epoch, newEpoch: row?.value.epoch});
		this.close();
		onLost();
	}

	#describeFence(): FenceRow {
		return {epoch: this.#options.epoch, sequence: this.#sequence, holder: this.#options.holder};
	}
}

function createBatch(): Batch {
	let resolve!: () => void;
	let reject!: (error: unknown) => void;
	const promise = new Promise<void>((onResolve, onReject) => {
		resolve = onResolve;
		reject = onReject;
	});
	// A batch that nobody waits for any more may fail in silence: its failure is logged where it happens.
	promise.catch(() => {});
	return {promise, resolve, reject};
}
