/**
 * Client interface of the transactional table service: versioned rows, and transactions that check versions before they write.
 */
import {appendAll} from '@tamarackwind/core';

/** Code of the error of a call that was rejected only because too many calls were queued. */
export const platformBusyCode = 'platform_busy';

/** Code of the error of a call that the service rejected as invalid and would reject again. */
export const platformRejectedCode = 'platform_rejected';

/** Limits of the service on rows and transactions. */
export type TableLimits = {
	/** Maximum size of a row's value, in bytes of its JSON. */
	readonly valueBytes: number;
	/** Maximum sum of the sizes of all values in a transaction, in bytes of their JSON. */
	readonly transactionBytes: number;
	/** Maximum number of checks and writes in a transaction. */
	readonly transactionEntries: number;
};

/** Identifies one row. */
export type RowKey = {
	readonly table: string;
	readonly key: string;
	/** Partition, within which rows can be written in one transaction; the empty partition by default. */
	readonly partition?: string;
};

/** A row with the version at which it was read. */
export type Row<T = unknown> = RowKey & {
	readonly value: T;
	/** Commit sequence number of the row's last write, which increases across the whole service. */
	readonly version: number;
};

/** Version of a row that does not exist. */
export const absentVersion = 0;

/** A precondition of a transaction: the row is still at `version`. */
export type Check = RowKey & {readonly version: number};

/** A write of a transaction; it deletes the row when `value` is `undefined`. */
export type Write = RowKey & {readonly value?: unknown};

/** Checks and writes that commit atomically. */
export type Transaction = {
	readonly checks: readonly Check[];
	readonly writes: readonly Write[];
	/**
	 * Whether the caller treats a conflict as possibly caused by its own transaction. The client may then send the transaction again while
	 * the response is overdue.
	 */
	readonly isRepeatable?: boolean;
};

/** Returns the first key that sorts after `key` among keys of printable characters. */
export function getKeyAfter(key: string): string {
	return `${key} `;
}

/** Outcome of a transaction whose response arrived. */
export type CommitOutcome
	= | {readonly status: 'committed'; readonly version: number}
		| {readonly status: 'conflict'; readonly conflicts: readonly RowKey[]};

export type ScanOptions = {
	readonly prefix?: string;
	/** Key after which the returned rows must sort. */
	readonly after?: string;
	/** Maximum number of rows to return. */
	readonly limit?: number;
};

/** Maximum number of rows that a scan returns without a `limit`. */
export const defaultScanLimit = 1000;

/**
 * Client of the table service. Every method throws a `VerdictError`: `not-run` when the call did not reach the
 * service, `may-have-run` when its response was lost.
 *
 * @example
 * const row = await tables.getRow({table: 'vms', key: 'vm-1'});
 * await tables.commit({checks: [{table: 'vms', key: 'vm-1', version: row?.version ?? absentVersion}], writes: [...]});
 */
export abstract class TableService {
	/** Reads rows from one snapshot; an absent row is `undefined`. */
	abstract getRows(keys: readonly RowKey[]): Promise<Array<Row | undefined>>;

	/** Reads rows of a table in key order. */
	abstract scanRows(table: string, options?: ScanOptions): Promise<Row[]>;

	/** Commits a transaction if all of its checks hold. */
	abstract commit(transaction: Transaction): Promise<CommitOutcome>;

	/** Releases connections. */
	abstract close(): Promise<void>;

	/** Reads one row. */
	async getRow(key: RowKey): Promise<Row | undefined> {
		const [row] = await this.getRows([key]);
		return row;
	}

	/** Reads all rows of a table whose keys begin with `prefix`, page by page. */
	async listRows(table: string, prefix = ''): Promise<Row[]> {
		const rows: Row[] = [];
		let after: string | undefined;
		for (;;) {
			const page = await this.scanRows(table, {prefix, after, limit: defaultScanLimit});
			appendAll(rows, page);
			if (page.length < defaultScanLimit) {
				return rows;
			}

			after = page.at(-1)?.key;
		}
	}
}

export type RangeOptions = {
	readonly partition?: string;
	/** First key of the range, inclusive. */
	readonly from?: string;
	/** End of the range, exclusive. */
	readonly to?: string;
	/** Maximum number of rows to return. */
	readonly limit?: number;
};

/** Rows of one partition from one snapshot. */
export type RowRange = {
	readonly rows: readonly Row[];
	/** Latest version of the service at the snapshot, from which a watch can continue. */
	readonly version: number;
	readonly hasMore: boolean;
};

/** A written row, or a deleted one when `value` is `undefined`. */
export type RowChange = RowKey & {readonly version: number; readonly value?: unknown};

export type WatchOptions = {
	/** Version after which changes are returned. */
	readonly after: number;
	/** Maximum wait for the first change, in milliseconds. */
	readonly waitMs: number;
	/** Ends the watch early; it then rejects. */
	readonly signal?: AbortSignal;
	/** Called with the size of a response, in bytes, before its body arrives, or with what has arrived so far; not by every service. */
	readonly onResponseSize?: (bytes: number) => void;
};

/** Outcome of a watch: the changes in version order, or `expired` when the service no longer keeps them. */
export type WatchOutcome
	= | {readonly status: 'changes'; readonly changes: readonly RowChange[]; readonly version: number}
		| {readonly status: 'expired'};

/**
 * A table service with partitions, range reads and a change feed.
 *
 * @example
 * const {rows, version} = await tables.listRange('jobs', {partition: 'north'});
 * const outcome = await tables.watchRows('jobs', {after: version, waitMs: 1000});
 */
export abstract class WatchableTableService extends TableService {
	/** Limits on rows and transactions, which writers have to observe. */
	abstract readonly limits: TableLimits;

	/** Reads rows of one partition in key order. */
	abstract readRange(table: string, options?: RangeOptions): Promise<RowRange>;

	/** Waits for changes of a table in all of its partitions. */
	abstract watchRows(table: string, options: WatchOptions): Promise<WatchOutcome>;

	/** Reads all rows of a range, page by page; `version` is that of the first page. */
	async listRange(table: string, options: RangeOptions = {}): Promise<{rows: Row[]; version: number}> {
		const rows: Row[] = [];
		let version: number | undefined;
		let {from} = options;
		for (;;) {
			const page = await this.readRange(table, {...options, from});
			appendAll(rows, page.rows);
			version ??= page.version;
			const last = page.rows.at(-1);
			if (!page.hasMore || last === undefined) {
				return {rows, version};
			}

			from = getKeyAfter(last.key);
		}
	}
}
