/**
 * In-memory implementations of the platform's stores, for fakes and tests.
 */
import {SystemClock, VerdictError, type Clock} from '@tamarackwind/core';
import {FaultInjector} from './faults.js';
import {ObjectStore, type PutOptions} from './objects.js';
import {
	absentVersion, defaultScanLimit, platformRejectedCode, WatchableTableService, type CommitOutcome, type RangeOptions, type Row, type RowChange, type RowKey, type RowRange,
	type ScanOptions, type TableLimits, type Transaction, type WatchOptions, type WatchOutcome,
} from './tables.js';

const unlimited: TableLimits = {valueBytes: Number.POSITIVE_INFINITY, transactionBytes: Number.POSITIVE_INFINITY, transactionEntries: Number.POSITIVE_INFINITY};

type StoredRow = {readonly json: string; readonly version: number};

/** In-memory table service. */
export class MemoryTableService extends WatchableTableService {
	static create(clock: Clock = SystemClock.create(), limits: TableLimits = unlimited): MemoryTableService {
		return new MemoryTableService(clock, limits);
	}

	readonly faults = FaultInjector.create();
	readonly #tables = new Map<string, Map<string, StoredRow>>();
	readonly #sortedKeys = new Map<string, string[]>();
	readonly #watchers = new Set<() => void>();
	#history: RowChange[] = [];
	/** Version up to which the history is trimmed. */
	#trimmedVersion = absentVersion;
	#version = absentVersion;
	#reads = 0;
	#writes = 0;
	#rejections = 0;
	readonly #clock: Clock;

	private constructor(clock: Clock, readonly limits: TableLimits) {
		super();
		this.#clock = clock;
	}

	/** Number of rows read and transactions committed since the start. */
	get counts(): {readonly reads: number; readonly writes: number} {
		return {reads: this.#reads, writes: this.#writes};
	}

	override async getRows(keys: readonly RowKey[]): Promise<Array<Row | undefined>> {
		await this.faults.applyBeforeCall();
		this.#reads += keys.length;
		return keys.map(key => this.#readRow(key));
	}

	override async scanRows(table: string, options: ScanOptions = {}): Promise<Row[]> {
		await this.faults.applyBeforeCall();
		const {prefix = '', after = '', limit = defaultScanLimit} = options;
		const rows: Row[] = [];
		for (const key of this.#listKeys(table)) {
			if (rows.length === limit) {
				break;
			}

			if (key > after && key.startsWith(prefix)) {
				rows.push(this.#readRow({table, key})!);
			}
		}

		this.#reads += Math.max(1, rows.length);
		return rows;
	}

	override async readRange(table: string, options: RangeOptions = {}): Promise<RowRange> {
		await this.faults.applyBeforeCall();
		const {partition, from = '', to, limit = defaultScanLimit} = options;
		const keys = this.#listKeys(table, partition).filter(key => key >= from && (to === undefined || key < to));
		const rows = keys.slice(0, limit).map(key => this.#readRow({table, key, partition})!);
		this.#reads++;
		return {rows, version: this.#version, hasMore: keys.length > limit};
	}

	override async watchRows(table: string, {after, waitMs}: WatchOptions): Promise<WatchOutcome> {
		await this.faults.applyBeforeCall();
		this.#reads++;
		const endsAt = this.#clock.readMonotonic() + waitMs;
		for (;;) {
			if (after < this.#trimmedVersion) {
				return {status: 'expired'};
			}

			const changes = this.#listChanges(table, after);
			const remainingMs = endsAt - this.#clock.readMonotonic();
			if (changes.length > 0 || remainingMs <= 0) {
				return {status: 'changes', changes, version: this.#version};
			}

			await this.#waitForChange(remainingMs);
		}
	}

	/** Clears the history, so that watches from earlier versions expire. */
	clearHistory(): void {
		this.#history = [];
		this.#trimmedVersion = this.#version;
	}

	override async commit(transaction: Transaction): Promise<CommitOutcome> {
		await this.faults.applyBeforeCall();
		this.#checkLimits(transaction);
		const outcome = this.#apply(transaction);
		this.faults.applyAfterWrite();
		return outcome;
	}

	override async close(): Promise<void> {
		this.#tables.clear();
	}

	/** Lists the changes of a table after a version. Searches from the end of the history, which is in version order, because most watches need only the latest changes. */
	#listChanges(table: string, after: number): RowChange[] {
		let start = this.#history.length;
		while (start > 0 && this.#history[start - 1]!.version > after) {
			start--;
		}

		return this.#history.slice(start).filter(change => change.table === table);
	}

	/** Resolves on the next commit, or after `ms` milliseconds. */
	async #waitForChange(ms: number): Promise<void> {
		const abort = new AbortController();
		const notify = (): void => {
			abort.abort();
		};

		this.#watchers.add(notify);
		await this.#clock.sleep(ms, abort.signal);
		this.#watchers.delete(notify);
	}

	/** Number of transactions that were rejected because of the limits. */
	get rejections(): number {
		return this.#rejections;
	}

	/** Rejects a transaction beyond the limits. */
	#checkLimits({checks, writes}: Transaction): void {
		if (this.limits === unlimited) {
			return;
		}

		const sizes = writes.map(({value}) => value === undefined ? 0 : Buffer.byteLength(JSON.stringify(value)));
		const {valueBytes, transactionBytes, transactionEntries} = this.limits;
		const sum = sizes.reduce((total, size) => total + size, 0);
		if (Math.max(0, ...sizes) > valueBytes || sum > transactionBytes || checks.length + writes.length > transactionEntries) {
			this.#rejections++;
			throw new VerdictError(`transaction of ${checks.length + writes.length} entries and ${sum} bytes is beyond the limits`, {verdict: 'not-run', code: platformRejectedCode});
		}
	}

	#apply({checks, writes}: Transaction): CommitOutcome {
		const conflicts = checks.filter(check => (this.#readRow(check)?.version ?? absentVersion) !== check.version);
		if (conflicts.length > 0) {
			return {status: 'conflict', conflicts: conflicts.map(({table, key, partition}) => ({table, key, partition}))};
		}

		this.#version++;
		this.#writes++;
		for (const {value, ...key} of writes) {
			this.#writeRow(key, value);
			this.#history.push({...key, value: value === undefined ? undefined : structuredClone(value), version: this.#version});
		}

		for (const notify of this.#watchers) {
			notify();
		}

		return {status: 'committed', version: this.#version};
	}

	#writeRow(rowKey: RowKey, value: unknown): void {
		const name = formatPartitionName(rowKey.table, rowKey.partition);
		const rows = this.#tables.get(name) ?? new Map<string, StoredRow>();
		this.#tables.set(name, rows);
		if (!rows.has(rowKey.key) || value === undefined) {
			this.#sortedKeys.delete(name);
		}

		if (value === undefined) {
			rows.delete(rowKey.key);
		} else {
			rows.set(rowKey.key, {json: JSON.stringify(value), version: this.#version});
		}
	}

	#readRow({table, key, partition}: RowKey): Row | undefined {
		const row = this.#tables.get(formatPartitionName(table, partition))?.get(key);
		return row === undefined
			? undefined
			: {
				table, key, ...(partition === undefined ? {} : {partition}), value: JSON.parse(row.json) as unknown, version: row.version,
			};
	}

	#listKeys(table: string, partition?: string): string[] {
		const name = formatPartitionName(table, partition);
		const keys = this.#sortedKeys.get(name) ?? [...this.#tables.get(name)?.keys() ?? []].toSorted();
		this.#sortedKeys.set(name, keys);
		return keys;
	}
}

function formatPartitionName(table: string, partition = ''): string {
	return `${table}\0${partition}`;
}

/** In-memory object store. */
export class MemoryObjectStore extends ObjectStore {
	static create(): MemoryObjectStore {
		return new MemoryObjectStore();
	}

	readonly faults = FaultInjector.create();
	readonly #objects = new Map<string, Uint8Array>();

	override async putObject(name: string, bytes: Uint8Array, options: PutOptions = {}): Promise<boolean> {
		await this.faults.applyBeforeCall();
		const isStored = !(options.ifAbsent && this.#objects.has(name));
		if (isStored) {
			this.#objects.set(name, new Uint8Array(bytes));
		}

		this.faults.applyAfterWrite();
		return isStored;
	}

	override async getObject(name: string): Promise<Uint8Array | undefined> {
		await this.faults.applyBeforeCall();
		return this.#objects.get(name);
	}

	override async deleteObject(name: string): Promise<void> {
		await this.faults.applyBeforeCall();
		this.#objects.delete(name);
		this.faults.applyAfterWrite();
	}

	override async listObjects(prefix: string): Promise<string[]> {
		await this.faults.applyBeforeCall();
		return [...this.#objects.keys()].filter(name => name.startsWith(prefix)).toSorted();
	}

	override async close(): Promise<void> {
		this.#objects.clear();
	}
}
