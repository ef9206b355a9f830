/**
 * A table service at the other end of a link of limited rate, with outages and a delay of each call.
 */
import {VerdictError, type Clock} from '@tamarackwind/core';
import {
	platformRejectedCode, WatchableTableService, type CommitOutcome, type MemoryTableService, type RangeOptions, type Row, type RowKey, type RowRange, type ScanOptions, type TableLimits, type Transaction, type WatchOptions, type WatchOutcome,
} from '@tamarackwind/clients';

/** Part of a response after which another response on the same link may go on, in bytes. */
const sliceBytes = 16_384;
/** Time after which a call to a silent service fails, in milliseconds. */
const silenceMs = 1000;
const millisecondsPerSecond = 1000;

export type LinkedTablesOptions = {
	readonly clock: Clock;
	readonly tables: MemoryTableService;
	readonly limits: TableLimits;
	/** Rate of the link, in bytes per second, shared by all responses. */
	readonly bytesPerS: number;
	/** Returns the size of a row in a response, in bytes. */
	readonly measureRow: (row: {readonly table: string; readonly value?: unknown}) => number;
};

/** The table service as one entry reaches it. A watch returns the latest change of each row. */
export class LinkedTables extends WatchableTableService {
	static create(options: LinkedTablesOptions): LinkedTables {
		return new LinkedTables(options);
	}

	state: 'up' | 'down' | 'silent' = 'up';
	/** Time that each call takes beside its transfer, in milliseconds. */
	delayMs = 0;
	/** Number of bytes that the link has carried. */
	deliveredBytes = 0;
	#isFreeAt = 0;

	private constructor(private readonly options: LinkedTablesOptions) {
		super();
	}

	override get limits(): TableLimits {
		return this.options.limits;
	}

	override async getRows(keys: readonly RowKey[]): Promise<Array<Row | undefined>> {
		return this.#call(async () => this.options.tables.getRows(keys));
	}

	override async scanRows(table: string, options?: ScanOptions): Promise<Row[]> {
		return this.#call(async () => this.options.tables.scanRows(table, options));
	}

	override async readRange(table: string, options?: RangeOptions): Promise<RowRange> {
		return this.#call(async () => {
			const range = await this.options.tables.readRange(table, options);
			await this.#transfer(this.#sumBytes(range.rows));
			return range;
		});
	}

	override async watchRows(table: string, options: WatchOptions): Promise<WatchOutcome> {
		return this.#call(async () => {
			const outcome = await this.options.tables.watchRows(table, options);
			if (outcome.status === 'expired') {
				return outcome;
			}

			const changes = [...new Map(outcome.changes.map(change => [`${change.partition ?? ''}/${change.key}`, change])).values()];
			const bytes = this.#sumBytes(changes);
			options.onResponseSize?.(bytes);
			await this.#transfer(bytes, options.signal);
			return {...outcome, changes};
		});
	}

	override async commit(transaction: Transaction): Promise<CommitOutcome> {
		this.#checkLimits(transaction);
		return this.#call(async () => this.options.tables.commit(transaction));
	}

	override async close(): Promise<void> {}

	#checkLimits({checks, writes}: Transaction): void {
		const {valueBytes, transactionBytes, transactionEntries} = this.limits;
		const sizes = writes.map(({value}) => value === undefined ? 0 : Buffer.byteLength(JSON.stringify(value)));
		if (checks.length + writes.length > transactionEntries || Math.max(...sizes) > valueBytes || sizes.reduce((sum, size) => sum + size, 0) > transactionBytes) {
			throw new VerdictError('transaction is beyond the limits', {verdict: 'not-run', code: platformRejectedCode});
		}
	}

	#sumBytes(rows: ReadonlyArray<{readonly table: string; readonly value?: unknown}>): number {
		return rows.reduce((sum, row) => sum + this.options.measureRow(row), 0);
	}

	async #call<T>(run: () => Promise<T>): Promise<T> {
		await this.options.clock.sleep(this.delayMs);
		await this.#checkState();
		const result = await run();
		await this.#checkState();
		return result;
	}

	async #checkState(): Promise<void> {
		if (this.state === 'up') {
			return;
		}

		if (this.state === 'silent') {
			await this.options.clock.sleep(silenceMs);
		}

		throw new VerdictError('store does not answer', {verdict: 'may-have-run', code: 'platform_unavailable'});
	}

	async #transfer(bytes: number, signal?: AbortSignal): Promise<void> {
		const {clock, bytesPerS} = this.options;
		for (let sent = 0; sent < bytes; sent += sliceBytes) {
			const sliceMs = Math.min(sliceBytes, bytes - sent) * millisecondsPerSecond / bytesPerS;
			this.#isFreeAt = Math.max(this.#isFreeAt, clock.readMonotonic()) + sliceMs;
			await clock.sleep(this.#isFreeAt - clock.readMonotonic(), signal);
			this.deliveredBytes += Math.min(sliceBytes, bytes - sent);
			if (signal?.aborted) {
				throw new VerdictError('request was aborted', {verdict: 'may-have-run', code: 'platform_unavailable'});
			}
		}
	}
}
