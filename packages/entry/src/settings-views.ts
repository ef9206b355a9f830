/**
 * The settings that an entry works by.
 */
import {type Log} from '@tamarackwind/core';
import {type ViewVersions} from '@tamarackwind/peer';
import {
	resolveSettings, settingsTreeSchema, type ResolvedSettings, type SettingsTree,
} from '@tamarackwind/settings';

/** Row that names the settings version in force. */
export const currentSettingsKey = {table: 'settings', key: 'current'} as const;

/** Value of the row that names the settings version in force. */
export type CurrentSettings = {
	readonly version: number;
	/** The tree itself, when it was put in place before the first change; else it stands in a row of its own. */
	readonly tree?: unknown;
};

export type SettingsViewOptions = {
	readonly log: Log;
	readonly versions: ViewVersions;
	readonly deployment: string;
};

/** The settings as this entry last saw them; their version never goes back. */
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

	/** Settings in force, once they were read. */
	get current(): ResolvedSettings | undefined {
		return this.#settings;
	}

	/** The whole tree in force, once it was read. */
	get tree(): SettingsTree | undefined {
		return this.#tree;
	}

	/** Version in force; 0 before any was read. */
	get version(): number {
		return this.#settings?.version ?? 0;
	}

	/**
	 * Works by a tree from now on, unless a version as high is in force already.
	 *
	 * @throws {RangeError} when the tree lacks this entry's deployment.
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
