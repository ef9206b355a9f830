/**
 * The audit trail: rows linked by a hash chain. Each row is written in the same transaction as the change it records.
 */
import {createHash} from 'node:crypto';
import {
	VerdictError, type Clock, type OperatorId, type RandomSource,
} from '@tamarackwind/core';
import {
	absentVersion, type CommitOutcome, type ObjectStore, type Row, type RowKey, type TableService, type Transaction,
} from '@tamarackwind/clients';

/** Outcome of an operator's action. */
export type AuditOutcome = 'accepted' | 'refused' | 'conflict';

/** A value before and after a change. */
export type AuditChange = {
	/** Path in the settings tree, or the name of a row such as `waves/w-1`. */
	readonly path: string;
	readonly before?: unknown;
	readonly after?: unknown;
};

/** Audit entry of one action, without the fields that the trail adds. */
export type AuditEntry = {
	readonly operator: OperatorId | 'unknown';
	/** IP address that the call came from. */
	readonly address: string;
	/** Name of the action, such as `settings.apply`. */
	readonly action: string;
	readonly changes: readonly AuditChange[];
	/** The operator's reason. */
	readonly why?: string;
	readonly outcome: AuditOutcome;
	/** Why the action was refused, or another detail. */
	readonly detail?: string;
	readonly changeId?: string;
};

/** An audit entry as stored in the trail. */
export type AuditRecord = AuditEntry & {
	/** Position in the chain, starting at 1. */
	readonly sequence: number;
	/** Milliseconds since the Unix epoch. */
	readonly at: number;
	readonly previousHash: string;
	readonly hash: string;
};

export type AuditFilter = {
	/** Selects records with changes at or below this path. */
	readonly path?: string;
	readonly operator?: string;
	/** Bounds in milliseconds since the Unix epoch. */
	readonly since?: number;
	readonly until?: number;
	readonly limit?: number;
};

/** Result of the verification of the chain. */
export type AuditVerification = {readonly records: number; readonly fault?: string};

export type AuditLogOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly tables: TableService;
	readonly objects: ObjectStore;
	/** Number of records to keep in the table. Older records go to the object store. */
	readonly keptRecords?: number;
	/** Number of records in one object. */
	readonly segmentSize?: number;
};

/** Builds a transaction; called again for each retry after a conflict on the trail only. */
export type BuildTransaction = () => Promise<Transaction>;

type ChainHead = {readonly sequence: number; readonly hash: string; readonly archived: number};

const tableName = 'audit';
const headKey: RowKey = {table: 'audit-head', key: 'current'};
const segmentPrefix = 'audit/';
const initialHash = '0'.repeat(64);
const sequenceDigits = 16;
const maxAttempts = 20;
const maxRetryDelayMs = 40;
const defaultKeptRecords = 20_000;
const defaultSegmentSize = 1000;
const defaultLimit = 100;

function formatSequence(sequence: number): string {
	return String(sequence).padStart(sequenceDigits, '0');
}

/** Computes the hash of a record, which covers the hash of the previous record. */
export function hashRecord({hash: _hash, ...record}: AuditRecord | Omit<AuditRecord, 'hash'> & {readonly hash?: string}): string {
	return createHash('sha256').update(JSON.stringify(sortKeys(record))).digest('hex');
}

function sortKeys(value: unknown): unknown {
	if (Array.isArray(value)) {
		return value.map(item => sortKeys(item));
	}

	if (typeof value !== 'object' || value === null) {
		return value;
	}

	const entries = Object.entries(value).filter(([, item]) => item !== undefined).toSorted(([a], [b]) => a < b ? -1 : 1);
	return Object.fromEntries(entries.map(([key, item]) => [key, sortKeys(item)]));
}

function readHead(row: Row | undefined): ChainHead {
	return (row?.value as ChainHead | undefined) ?? {sequence: 0, hash: initialHash, archived: 0};
}

/**
 * Writes, reads and verifies the trail.
 *
 * @example
 * const {checks, writes} = await audit.createWrites(entry);
 * await tables.commit({checks: [...mine, ...checks], writes: [...myWrites, ...writes]});
 */
export class AuditLog {
	static create(options: AuditLogOptions): AuditLog {
		return new AuditLog(options);
	}

	readonly #options: AuditLogOptions;

	private constructor(options: AuditLogOptions) {
		this.#options = options;
	}

	/** Creates the checks and writes that append an audit entry. They conflict if another audit entry is appended first. */
	async createWrites(entry: AuditEntry): Promise<Transaction> {
		const row = await this.#options.tables.getRow(headKey);
		const head = readHead(row);
		const body = {
			...entry, sequence: head.sequence + 1, at: Math.round(this.#options.clock.readWall()), previousHash: head.hash,
		};
		const record: AuditRecord = {...body, hash: hashRecord(body)};
		return {
			checks: [{...headKey, version: row?.version ?? absentVersion}],
			writes: [
				{...headKey, value: {...head, sequence: record.sequence, hash: record.hash}},
				{table: tableName, key: formatSequence(record.sequence), value: record},
			],
		};
	}

	/**
	 * Commits a transaction together with its audit entry. Retries after a conflict on the trail only.
	 *
	 * @throws {VerdictError} `may-have-run` if the reply was lost; the caller then reads the rows to find the outcome.
	 */
	async commitAudited(entry: AuditEntry, build: BuildTransaction): Promise<CommitOutcome> {
		for (let attempt = 0; attempt < maxAttempts; attempt++) {
			const {checks, writes} = await build();
			const audit = await this.createWrites(entry);
			const outcome = await this.#options.tables.commit({checks: [...checks, ...audit.checks], writes: [...writes, ...audit.writes]});
			if (outcome.status === 'committed' || outcome.conflicts.some(({table}) => table !== headKey.table)) {
				return outcome;
			}

			await this.#options.clock.sleep(this.#options.random.readFraction() * maxRetryDelayMs);
		}

		throw new VerdictError('the audit trail is too busy', {verdict: 'not-run', code: 'audit_busy'});
	}

	/** Appends an audit entry without a change, such as a refused action. */
	async record(entry: AuditEntry): Promise<void> {
		await this.commitAudited(entry, async () => ({checks: [], writes: []}));
	}

	/** Lists records, newest first. */
	async listRecords(filter: AuditFilter = {}): Promise<AuditRecord[]> {
		const records = await this.#readAll();
		return records
			.filter(record => isMatching(record, filter))
			.toReversed()
			.slice(0, filter.limit ?? defaultLimit);
	}

	/** Verifies the chain, starting at the first stored record. */
	async verify(): Promise<AuditVerification> {
		const head = readHead(await this.#options.tables.getRow(headKey));
		const records = (await this.#readAll()).filter(({sequence}) => sequence <= head.sequence);
		const fault = findFault(records, head);
		return fault === undefined ? {records: records.length} : {records: records.length, fault};
	}

	/** Moves the oldest records to the object store if the table holds more than the limit. */
	async trim(): Promise<void> {
		const {tables, objects, keptRecords = defaultKeptRecords, segmentSize = defaultSegmentSize} = this.#options;
		const row = await tables.getRow(headKey);
		const head = readHead(row);
		if (head.sequence - head.archived < keptRecords + segmentSize) {
			return;
		}

		const rows = await tables.scanRows(tableName, {after: formatSequence(head.archived), limit: segmentSize});
		const records = rows.map(({value}) => value as AuditRecord);
		const last = head.archived + records.length;
		await objects.putObject(`${segmentPrefix}${formatSequence(last)}`, Buffer.from(JSON.stringify(records)));
		await tables.commit({
			checks: [{...headKey, version: row!.version}],
			writes: [{...headKey, value: {...head, archived: last}}, ...rows.map(({table, key}) => ({table, key}))],
		});
	}

	async #readAll(): Promise<AuditRecord[]> {
		const {tables, objects} = this.#options;
		const rows = await tables.listRows(tableName);
		const names = await objects.listObjects(segmentPrefix);
		const segments = await Promise.all(names.map(async name => objects.getObject(name)));
		const archived = segments.flatMap(bytes => bytes === undefined ? [] : JSON.parse(Buffer.from(bytes).toString('utf8')) as AuditRecord[]);
		const bySequence = new Map([...archived, ...rows.map(({value}) => value as AuditRecord)].map(record => [record.sequence, record]));
		return [...bySequence.values()].toSorted((a, b) => a.sequence - b.sequence);
	}
}

function isMatching(record: AuditRecord, {path, operator, since, until}: AuditFilter): boolean {
	return (path === undefined || record.changes.some(change => change.path === path || change.path.startsWith(`${path}.`) || change.path.startsWith(`${path}/`)))
		&& (operator === undefined || record.operator === operator)
		&& (since === undefined || record.at >= since)
		&& (until === undefined || record.at <= until);
}

function findFault(records: readonly AuditRecord[], head: ChainHead): string | undefined {
	let previous: AuditRecord | undefined;
	for (const record of records) {
		if (record.hash !== hashRecord(record)) {
			return `record ${record.sequence} was edited`;
		}

		if (previous !== undefined && (record.sequence !== previous.sequence + 1 || record.previousHash !== previous.hash)) {
			return `record ${record.sequence} does not follow record ${previous.sequence}`;
		}

		previous = record;
	}

	const last = records.at(-1);
	return (last?.hash ?? initialHash) === head.hash ? undefined : `the last record is not number ${head.sequence}`;
}
