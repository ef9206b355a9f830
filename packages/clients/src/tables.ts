/**
 * The transactional table service: rows with versions, and transactions that check versions and write.
 */

/** Names one row. */
export type RowKey = {
	readonly table: string;
	readonly key: string;
};

/** A row as it was read. */
export type Row<T = unknown> = RowKey & {
	readonly value: T;
	/** Commit sequence of the last write of the row; grows over the whole service. */
	readonly version: number;
};

/** Version of a row that does not exist. */
export const absentVersion = 0;

/** A condition of a transaction: the row is still at `version`. */
export type Check = RowKey & {readonly version: number};

/** A write of a transaction; a write without a `value` deletes the row. */
export type Write = RowKey & {readonly value?: unknown};

/** Checks and writes that take effect together or not at all. */
export type Transaction = {
	readonly checks: readonly Check[];
	readonly writes: readonly Write[];
};

/** Outcome of a transaction whose answer arrived. */
export type CommitOutcome
	= | {readonly status: 'committed'; readonly version: number}
		| {readonly status: 'conflict'; readonly conflicts: readonly RowKey[]};

export type ScanOptions = {
	readonly prefix?: string;
	/** Rows with a key after this one only. */
	readonly after?: string;
	/** Most rows to return. */
	readonly limit?: number;
};

/** Most rows that one scan returns when no limit is given. */
export const defaultScanLimit = 1000;

/**
 * Client of the table service. Every method throws a `VerdictError`: `not-run` when the call did not reach the
 * service, `may-have-run` when its answer was lost.
 *
 * @example
 * const row = await tables.getRow({table: 'vms', key: 'vm-1'});
 * await tables.commit({checks: [{table: 'vms', key: 'vm-1', version: row?.version ?? absentVersion}], writes: [...]});
 */
export abstract class TableService {
	/** Reads rows at one moment; an absent row is `undefined`. */
	abstract getRows(keys: readonly RowKey[]): Promise<Array<Row | undefined>>;

	/** Reads rows of a table in order of their keys. */
	abstract scanRows(table: string, options?: ScanOptions): Promise<Row[]>;

	/** Commits a transaction. */
	abstract commit(transaction: Transaction): Promise<CommitOutcome>;

	/** Releases connections. */
	abstract close(): Promise<void>;

	/** Reads one row. */
	async getRow(key: RowKey): Promise<Row | undefined> {
		const [row] = await this.getRows([key]);
		return row;
	}

	/** Reads every row of a table with a prefix, page by page. */
	async listRows(table: string, prefix = ''): Promise<Row[]> {
		const rows: Row[] = [];
		let after: string | undefined;
		for (;;) {
			const page = await this.scanRows(table, {prefix, after, limit: defaultScanLimit});
			rows.push(...page);
			if (page.length < defaultScanLimit) {
				return rows;
			}

			after = page.at(-1)?.key;
		}
	}
}
