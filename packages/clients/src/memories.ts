/**
 * In-memory implementations of the platform's stores, for stand-ins and tests.
 */
import {FaultSwitch} from './faults.js';
import {ObjectStore, type PutOptions} from './objects.js';
import {
	absentVersion, defaultScanLimit, TableService, type CommitOutcome, type Row, type RowKey, type ScanOptions, type Transaction,
} from './tables.js';

type StoredRow = {readonly json: string; readonly version: number};

/** A table service in memory. */
export class MemoryTableService extends TableService {
	static create(): MemoryTableService {
		return new MemoryTableService();
	}

	readonly faults = FaultSwitch.create();
	readonly #tables = new Map<string, Map<string, StoredRow>>();
	readonly #sortedKeys = new Map<string, string[]>();
	#version = absentVersion;
	#reads = 0;
	#writes = 0;

	/** Rows read and transactions committed so far. */
	get counts(): {readonly reads: number; readonly writes: number} {
		return {reads: this.#reads, writes: this.#writes};
	}

	override async getRows(keys: readonly RowKey[]): Promise<Array<Row | undefined>> {
		await this.faults.applyBefore();
		this.#reads += keys.length;
		return keys.map(key => this.#readRow(key));
	}

	override async scanRows(table: string, options: ScanOptions = {}): Promise<Row[]> {
		await this.faults.applyBefore();
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

	override async commit(transaction: Transaction): Promise<CommitOutcome> {
		await this.faults.applyBefore();
		const outcome = this.#apply(transaction);
		this.faults.applyAfterWrite();
		return outcome;
	}

	override async close(): Promise<void> {
		this.#tables.clear();
	}

	#apply({checks, writes}: Transaction): CommitOutcome {
		const conflicts = checks.filter(check => (this.#readRow(check)?.version ?? absentVersion) !== check.version);
		if (conflicts.length > 0) {
			return {status: 'conflict', conflicts: conflicts.map(({table, key}) => ({table, key}))};
		}

		this.#version++;
		this.#writes++;
		for (const {table, key, value} of writes) {
			this.#writeRow({table, key}, value);
		}

		return {status: 'committed', version: this.#version};
	}

	#writeRow({table, key}: RowKey, value: unknown): void {
		const rows = this.#tables.get(table) ?? new Map<string, StoredRow>();
		this.#tables.set(table, rows);
		if (!rows.has(key) || value === undefined) {
			this.#sortedKeys.delete(table);
		}

		if (value === undefined) {
			rows.delete(key);
		} else {
			rows.set(key, {json: JSON.stringify(value), version: this.#version});
		}
	}

	#readRow({table, key}: RowKey): Row | undefined {
		const row = this.#tables.get(table)?.get(key);
		return row === undefined
			? undefined
			: {
				table, key, value: JSON.parse(row.json) as unknown, version: row.version,
			};
	}

	#listKeys(table: string): string[] {
		const keys = this.#sortedKeys.get(table) ?? [...this.#tables.get(table)?.keys() ?? []].toSorted();
		this.#sortedKeys.set(table, keys);
		return keys;
	}
}

/** An object store in memory. */
export class MemoryObjectStore extends ObjectStore {
	static create(): MemoryObjectStore {
		return new MemoryObjectStore();
	}

	readonly faults = FaultSwitch.create();
	readonly #objects = new Map<string, Uint8Array>();

	override async putObject(name: string, bytes: Uint8Array, options: PutOptions = {}): Promise<boolean> {
		await this.faults.applyBefore();
		const isStored = !(options.ifAbsent && this.#objects.has(name));
		if (isStored) {
			this.#objects.set(name, new Uint8Array(bytes));
		}

		this.faults.applyAfterWrite();
		return isStored;
	}

	override async getObject(name: string): Promise<Uint8Array | undefined> {
		await this.faults.applyBefore();
		return this.#objects.get(name);
	}

	override async deleteObject(name: string): Promise<void> {
		await this.faults.applyBefore();
		this.#objects.delete(name);
		this.faults.applyAfterWrite();
	}

	override async listObjects(prefix: string): Promise<string[]> {
		await this.faults.applyBefore();
		return [...this.#objects.keys()].filter(name => name.startsWith(prefix)).toSorted();
	}

	override async close(): Promise<void> {
		this.#objects.clear();
	}
}
