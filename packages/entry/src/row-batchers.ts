/**
 * Batches conditional writes of single rows into transactions.
 */
import {type Clock} from '@tamarackwind/core';
import {
	type Check, type RowKey, type TableService, type Write,
} from '@tamarackwind/clients';

/** A write of one row that succeeds only if the row is at `version`. */
export type RowWrite = RowKey & {readonly version: number; readonly value: unknown};

/** Outcome of the write of one row. */
export type RowOutcome = {readonly status: 'committed'; readonly version: number} | {readonly status: 'conflict'};

export type RowBatcherOptions = {
	readonly clock: Clock;
	readonly tables: TableService;
	/** Shortest interval between two transactions, in milliseconds. */
	readonly intervalMs?: number;
	/** Maximum number of rows in a transaction. */
	readonly maxRows?: number;
	/** Maximum number of concurrent transactions. */
	readonly maxCommitsInFlight?: number;
};

const defaultIntervalMs = 25;
const defaultMaxRows = 128;
const defaultMaxCommitsInFlight = 8;

type PendingWrite = {
	readonly write: RowWrite;
	readonly resolve: (outcome: RowOutcome) => void;
	readonly reject: (error: unknown) => void;
};

/**
 * Writes rows in batches. A write is sent immediately if none was sent within the last interval; writes that arrive during
 * the interval share the next transaction. A conflict on one row does not fail the other rows of its batch.
 *
 * @example
 * const outcome = await batcher.submit({table: 'claims', key, version: absentVersion, value});
 */
export class RowBatcher {
	static create(options: RowBatcherOptions): RowBatcher {
		return new RowBatcher(options);
	}

	readonly #clock: Clock;
	readonly #tables: TableService;
	readonly #intervalMs: number;
	readonly #maxRows: number;
	readonly #maxCommitsInFlight: number;
	readonly #commits = new Set<Promise<void>>();
	#pending: PendingWrite[] = [];
	#isRunning = false;

	private constructor({clock, tables, intervalMs, maxRows, maxCommitsInFlight}: RowBatcherOptions) {
		this.#clock = clock;
		this.#tables = tables;
		this.#intervalMs = intervalMs ?? defaultIntervalMs;
		this.#maxRows = maxRows ?? defaultMaxRows;
		this.#maxCommitsInFlight = maxCommitsInFlight ?? defaultMaxCommitsInFlight;
	}

	/**
	 * Writes one row.
	 *
	 * @throws {VerdictError} if the transaction fails; `may-have-run` if its reply was lost.
	 */
	async submit(write: RowWrite): Promise<RowOutcome> {
		return new Promise((resolve, reject) => {
			this.#pending.push({write, resolve, reject});
			if (!this.#isRunning) {
				this.#isRunning = true;
				void this.#run();
			}
		});
	}

	async #run(): Promise<void> {
		while (this.#pending.length > 0) {
			const commit = this.#commit(this.#takeBatch());
			this.#commits.add(commit);
			void commit.then(() => this.#commits.delete(commit));
			await this.#clock.sleep(this.#intervalMs);
			if (this.#commits.size >= this.#maxCommitsInFlight) {
				await Promise.race(this.#commits);
			}
		}

		this.#isRunning = false;
	}

	/** Removes the next batch of pending writes from the queue, in order and with at most one write for each row. */
	#takeBatch(): PendingWrite[] {
		const batch = new Map<string, PendingWrite>();
		const rest: PendingWrite[] = [];
		for (const pending of this.#pending) {
			const name = formatRowKey(pending.write);
			if (batch.size < this.#maxRows && !batch.has(name)) {
				batch.set(name, pending);
			} else {
				rest.push(pending);
			}
		}

		this.#pending = rest;
		return [...batch.values()];
	}

	/** Commits a batch. After a conflict, commits the rows without a conflict in another transaction. */
	async #commit(batch: readonly PendingWrite[]): Promise<void> {
		let rest = batch;
		try {
			while (rest.length > 0) {
				const outcome = await this.#tables.commit(createTransaction(rest));
				if (outcome.status === 'committed') {
					resolveAll(rest, outcome);
					return;
				}

				const conflicts = new Set(outcome.conflicts.map(key => formatRowKey(key)));
				const isConflict = ({write}: PendingWrite): boolean => conflicts.size === 0 || conflicts.has(formatRowKey(write));
				resolveAll(rest.filter(pending => isConflict(pending)), {status: 'conflict'});
				rest = rest.filter(pending => !isConflict(pending));
			}
		} catch (error) {
			for (const {reject} of rest) {
				reject(error);
			}
		}
	}
}

function resolveAll(batch: readonly PendingWrite[], outcome: RowOutcome): void {
	for (const {resolve} of batch) {
		resolve(outcome);
	}
}

function createTransaction(batch: readonly PendingWrite[]): {checks: Check[]; writes: Write[]} {
	return {
		checks: batch.map(({write: {table, key, version}}) => ({table, key, version})),
		writes: batch.map(({write: {table, key, value}}) => ({table, key, value})),
	};
}

function formatRowKey({table, key}: RowKey): string {
	return `${table}/${key}`;
}
