/**
 * The settings tree in the platform: the version in force, the history, and where each value comes from.
 */
import {createHash} from 'node:crypto';
import {VerdictError, type ChangeId, type OperatorId} from '@tamarackwind/core';
import {
	absentVersion, type ObjectStore, type Row, type RowKey, type TableService, type Transaction,
} from '@tamarackwind/clients';
import {type SettingsTree} from '@tamarackwind/settings';
import {currentSettingsKey, type CurrentSettings} from './settings-views.js';

/** Where a value was written, as the operator's client told it. */
export type SettingsPlace = {readonly file: string; readonly line: number};

/** Where a value comes from. */
export type SettingsOrigin = Partial<SettingsPlace> & {readonly operator: OperatorId; readonly version: number; readonly at: number};

/** Origins of the values of a tree, by the text of their paths. */
export type SettingsOrigins = Readonly<Record<string, SettingsOrigin>>;

/** An accepted change. */
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

/** The tree in force with the row that names it. */
export type StoredSettings = {readonly row: Row | undefined; readonly version: number; readonly tree: SettingsTree | undefined};

type TreeRow = {readonly tree: SettingsTree};

const treesTable = 'settings-trees';
const historyTable = 'settings-history';
const changesTable = 'settings-changes';
const originsKey: RowKey = {table: 'settings-origins', key: 'current'};
const treePrefix = 'settings-trees/';
const versionDigits = 12;
/** Trees kept as rows; older ones go to the object store. */
export const keptTreeRows = 20;
const trimBatch = 10;

function formatVersion(version: number): string {
	return String(version).padStart(versionDigits, '0');
}

/** Hashes a tree. */
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

	/** Reads the tree in force. */
	async readCurrent(): Promise<StoredSettings> {
		const row = await this.#tables.getRow(currentSettingsKey);
		const current = row?.value as CurrentSettings | undefined;
		return current === undefined
			? {row, version: 0, tree: undefined}
			: {row, version: current.version, tree: await this.readTree(current)};
	}

	/** Reads the tree that the row of the version in force names. */
	async readTree({version, tree}: CurrentSettings): Promise<SettingsTree> {
		return tree as SettingsTree | undefined ?? this.readVersion(version);
	}

	/**
	 * Reads the tree of a version.
	 *
	 * @throws {VerdictError} when the version does not exist.
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

	/** Lists accepted changes, the newest first. */
	async listHistory(limit: number): Promise<SettingsChangeRow[]> {
		const rows = await this.#tables.listRows(historyTable);
		return rows.slice(-limit).map(({value}) => value as SettingsChangeRow).toReversed();
	}

	/** Gives the transaction that puts a tree in force after `before`. */
	createWrites(before: StoredSettings, change: SettingsChangeRow, tree: SettingsTree, origins: SettingsOrigins): Transaction {
		const changeKey = {table: changesTable, key: change.changeId};
		const firstTree = before.tree === undefined || (before.row?.value as CurrentSettings | undefined)?.tree === undefined
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
				...firstTree,
			],
		};
	}

	/** Moves old trees into the object store. */
	async trim(currentVersion: number): Promise<void> {
		const rows = await this.#tables.scanRows(treesTable, {limit: trimBatch});
		const old = rows.filter(({key}) => Number(key) <= currentVersion - keptTreeRows);
		for (const {key, value} of old) {
			await this.#objects.putObject(`${treePrefix}${key}`, Buffer.from(JSON.stringify((value as TreeRow).tree)));
		}

		if (old.length > 0) {
			await this.#tables.commit({checks: [], writes: old.map(({table, key}) => ({table, key}))});
		}
	}
}
