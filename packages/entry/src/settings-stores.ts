/**
 * Storage of the settings tree on the platform: the current version, the history, and the origin of each value.
 */
import {createHash} from 'node:crypto';
import {VerdictError, type ChangeId, type OperatorId} from '@tamarackwind/core';
import {
	absentVersion, type ObjectStore, type Row, type RowKey, type TableService, type Transaction,
} from '@tamarackwind/clients';
import {type SettingsTree} from '@tamarackwind/settings';
import {currentSettingsKey, type CurrentSettings} from './settings-views.js';

/** Source file and line of a value, as sent by the operator's client. */
export type SourceLocation = {readonly file: string; readonly line: number};

/** Origin of a value: the operator, the version and the source location. */
export type SettingsOrigin = Partial<SourceLocation> & {readonly operator: OperatorId; readonly version: number; readonly at: number};

/** Origins of the values of a tree, keyed by formatted path. */
export type SettingsOrigins = Readonly<Record<string, SettingsOrigin>>;

/** Row of an accepted change. */
export type SettingsChangeRow = {
	readonly changeId: ChangeId;
	readonly version: number;
	readonly baseVersion: number;
	readonly operator: OperatorId;
	readonly at: number;
	readonly why?: string;
	/** Hash of the tree that the operator sent. */
	readonly requestHash: string;
	readonly paths: readonly string[];
};

/** The current tree, and the row that holds its version. */
export type StoredSettings = {readonly row: Row | undefined; readonly version: number; readonly tree: SettingsTree | undefined};

type TreeRow = {readonly tree: SettingsTree};

const treesTable = 'settings-trees';
const historyTable = 'settings-history';
const changesTable = 'settings-changes';
const originsKey: RowKey = {table: 'settings-origins', key: 'current'};
const treePrefix = 'settings-trees/';
const versionDigits = 12;
/** Number of recent trees kept as rows. Older trees go to the object store. */
export const maxTreeRows = 20;
const trimBatchSize = 10;

function formatVersion(version: number): string {
	return String(version).padStart(versionDigits, '0');
}

/** Computes the SHA-256 hash of a tree, in hexadecimal digits. */
export function hashTree(tree: unknown): string {
	return createHash('sha256').update(JSON.stringify(tree)).digest('hex');
}

/** Reads and writes the settings rows. */
export class SettingsStore {
	static create(tables: TableService, objects: ObjectStore): SettingsStore {
		return new SettingsStore(tables, objects);
	}

	readonly #tables: TableService;
	readonly #objects: ObjectStore;

	private constructor(tables: TableService, objects: ObjectStore) {
		this.#tables = tables;
		this.#objects = objects;
	}

	/** Reads the current tree and its version. */
	async readCurrent(): Promise<StoredSettings> {
		const row = await this.#tables.getRow(currentSettingsKey);
		const current = row?.value as CurrentSettings | undefined;
		return current === undefined
			? {row, version: 0, tree: undefined}
			: {row, version: current.version, tree: await this.readTree(current)};
	}

	/** Reads the tree that the row of the current version refers to. */
	async readTree({version, tree}: CurrentSettings): Promise<SettingsTree> {
		return tree as SettingsTree | undefined ?? this.readVersion(version);
	}

	/**
	 * Reads the tree of a version.
	 *
	 * @throws {VerdictError} if the version does not exist.
	 */
	async readVersion(version: number): Promise<SettingsTree> {
		const row = await this.#tables.getRow({table: treesTable, key: formatVersion(version)});
		if (row !== undefined) {
			return (row.value as TreeRow).tree;
		}

		const bytes = await this.#objects.getObject(`${treePrefix}${formatVersion(version)}`);
		if (bytes === undefined) {
			throw new VerdictError(`settings version ${version} does not exist`, {verdict: 'not-run', code: 'unknown_version'});
		}

		return JSON.parse(Buffer.from(bytes).toString('utf8')) as SettingsTree;
	}

	async readOrigins(): Promise<SettingsOrigins> {
		const row = await this.#tables.getRow(originsKey);
		return (row?.value as SettingsOrigins | undefined) ?? {};
	}

	/** Finds an accepted change by its id. */
	async findChange(changeId: ChangeId): Promise<SettingsChangeRow | undefined> {
		const row = await this.#tables.getRow({table: changesTable, key: changeId});
		return row?.value as SettingsChangeRow | undefined;
	}

	/** Lists accepted changes, newest first. */
	async listHistory(limit: number): Promise<SettingsChangeRow[]> {
		const rows = await this.#tables.listRows(historyTable);
		return rows.slice(-limit).map(({value}) => value as SettingsChangeRow).toReversed();
	}

	/** Creates the transaction that replaces `before` with a new tree. */
	createWrites(before: StoredSettings, change: SettingsChangeRow, tree: SettingsTree, origins: SettingsOrigins): Transaction {
		const changeKey = {table: changesTable, key: change.changeId};
		const initialTreeWrites = before.tree === undefined || (before.row?.value as CurrentSettings | undefined)?.tree === undefined
			? []
			: [{table: treesTable, key: formatVersion(before.version), value: {tree: before.tree}}];
		return {
			checks: [{...currentSettingsKey, version: before.row?.version ?? absentVersion}, {...changeKey, version: absentVersion}],
			writes: [
				{...currentSettingsKey, value: {version: change.version, hash: hashTree(tree)}},
				{table: treesTable, key: formatVersion(change.version), value: {tree}},
				{table: historyTable, key: formatVersion(change.version), value: change},
				{...changeKey, value: change},
				{...originsKey, value: origins},
				...initialTreeWrites,
			],
		};
	}

	/** Moves old trees from the table to the object store. */
	async trim(currentVersion: number): Promise<void> {
		const rows = await this.#tables.scanRows(treesTable, {limit: trimBatchSize});
		const oldRows = rows.filter(({key}) => Number(key) <= currentVersion - maxTreeRows);
		for (const {key, value} of oldRows) {
			await this.#objects.putObject(`${treePrefix}${key}`, Buffer.from(JSON.stringify((value as TreeRow).tree)));
		}

		if (oldRows.length > 0) {
			await this.#tables.commit({checks: [], writes: oldRows.map(({table, key}) => ({table, key}))});
		}
	}
}
