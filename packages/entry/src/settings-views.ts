/**
 * The settings that an entry currently uses.
 */
import {type Log} from '@tamarackwind/core';
import {type ViewVersions} from '@tamarackwind/peer';
import {
	resolveSettings, settingsTreeSchema, type ResolvedSettings, type SettingsTree,
} from '@tamarackwind/settings';

/** Row that holds the current settings version. */
export const currentSettingsKey = {table: 'settings', key: 'current'} as const;

/** Value of the row that holds the current settings version. */
export type CurrentSettings = {
	readonly version: number;
	/** The tree, if it was installed before the first change. Later trees are stored in separate rows. */
	readonly tree?: unknown;
};

export type SettingsViewOptions = {
	readonly log: Log;
	readonly versions: ViewVersions;
	readonly deployment: string;
};

/** Latest settings known to this entry; their version never decreases. */
export class SettingsView {
	static create(options: SettingsViewOptions): SettingsView {
		return new SettingsView(options);
	}

	readonly #options: SettingsViewOptions;
	#tree: SettingsTree | undefined;
	#settings: ResolvedSettings | undefined;

	private constructor(options: SettingsViewOptions) {
		this.#options = options;
	}

	/** Current settings; `undefined` until they are read. */
	get current(): ResolvedSettings | undefined {
		return this.#settings;
	}

	/** Current settings tree; `undefined` until it is read. */
	get tree(): SettingsTree | undefined {
		return this.#tree;
	}

	/** Current version; 0 until settings are read. */
	get version(): number {
		return this.#settings?.version ?? 0;
	}

	/**
	 * Replaces the current settings if the given version is newer.
	 *
	 * @throws {RangeError} if the tree does not contain this entry's deployment.
	 */
	acceptTree(version: number, json: unknown): void {
		if (version <= this.version) {
			return;
		}

		const tree = settingsTreeSchema.parse(json);
		this.#settings = resolveSettings(tree, this.#options.deployment, version);
		this.#tree = tree;
		this.#options.log.info('settings in force', {version});
		this.#options.versions.setVersion('settings', version);
	}
}
