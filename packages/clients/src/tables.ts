/**
 * The transactional table service: rows with versions, and transactions that check versions and write.
 */

/** Code of the error of a call that was turned away only because too many were waiting. */
export const platformBusyCode = 'platform_busy';

/** Names one row. */
export type RowKey = {
	readonly table: string;
	readonly key: string;
	/** Rows of one partition can be written together; the empty partition when left out. */
	readonly partition?: string;
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

/** Gives the first key that sorts after `key` among keys of printable characters. */
export function getKeyAfter(key: string): string {
	return `${key} `;
}

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

export type RangeOptions = {
	readonly partition?: string;
	/** First key of the range. */
	readonly from?: string;
	/** Key after the last one of the range. */
	readonly to?: string;
	/** Most rows to return. */
	readonly limit?: number;
};

/** Rows of one partition as of a single moment. */
export type RowRange = {
	readonly rows: readonly Row[];
	/** Newest version of the service at that moment, from which a watch can go on. */
	readonly version: number;
	readonly hasMore: boolean;
};

/** A row that was written or, without a `value`, removed. */
export type RowChange = RowKey & {readonly version: number; readonly value?: unknown};

export type WatchOptions = {
	/** Changes later than this version only. */
	readonly after: number;
	/** Longest wait for a first change, in milliseconds. */
	readonly waitMs: number;
};

/** Outcome of a watch: changes in order, or the news that the service no longer keeps them. */
export type WatchOutcome
	= | {readonly status: 'changes'; readonly changes: readonly RowChange[]; readonly version: number}
		| {readonly status: 'expired'};

/**
 * A table service that offers partitions, ranges and a feed of changes.
 *
 * @example
 * const {rows, version} = await tables.listRange('jobs', {partition: 'north'});
 * const outcome = await tables.watchRows('jobs', {after: version, waitMs: 1000});
 */
export abstract class WatchedTableService extends TableService {
	/** Reads rows of one partition in order of their keys. */
	abstract readRange(table: string, options?: RangeOptions): Promise<RowRange>;

	/** Waits for changes of a table, over all of its partitions. */
	abstract watchRows(table: string, options: WatchOptions): Promise<WatchOutcome>;

	/** Reads every row of a range, page by page; `version` is that of the first page. */
	async listRange(table: string, options: RangeOptions = {}): Promise<{rows: Row[]; version: number}> {
		const rows: Row[] = [];
		let version: number | undefined;
		let {from} = options;
		for (;;) {
			const page = await this.readRange(table, {...options, from});
			rows.push(...page.rows);
			version ??= page.version;
			const last = page.rows.at(-1);
			if (!page.hasMore || last === undefined) {
				return {rows, version};
			}

			from = getKeyAfter(last.key);
		}
	}
}
