/**
 * The settings that an entry works by, kept current from the platform.
 */
import {Loop, type Clock, type Log} from '@tamarackwind/core';
import {type ViewVersions} from '@tamarackwind/peer';
import {type TableService} from '@tamarackwind/platform';
import {resolveSettings, settingsTreeSchema, type ResolvedSettings} from '@tamarackwind/settings';

/** Row that names the settings version in force. */
export const currentSettingsKey = {table: 'settings', key: 'current'} as const;

/** Value of the row that names the settings version in force. */
export type CurrentSettings = {readonly version: number; readonly tree: unknown};

export type SettingsViewOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly tables: TableService;
	readonly versions: ViewVersions;
	readonly deployment: string;
	/** Time between two polls of the platform, in milliseconds. */
	readonly pollIntervalMs?: number;
};

const defaultPollIntervalMs = 500;

/** The settings as this entry last saw them. */
export class SettingsView {
	static create(options: SettingsViewOptions): SettingsView {
		return new SettingsView(options);
	}

	readonly #options: SettingsViewOptions;
	readonly #loop: Loop;
	#failedPolls = 0;
	#settings: ResolvedSettings | undefined;

	private constructor(options: SettingsViewOptions) {
		this.#options = options;
		this.#loop = Loop.create({
			clock: options.clock,
			intervalMs: options.pollIntervalMs ?? defaultPollIntervalMs,
			run: async () => this.#refresh(),
			onError: () => {
				this.#failedPolls++;
			},
		});
	}

	/** Polls of the platform that failed so far. */
	get failedPolls(): number {
		return this.#failedPolls;
	}

	/** Settings in force, once they were read. */
	get current(): ResolvedSettings | undefined {
		return this.#settings;
	}

	async close(): Promise<void> {
		await this.#loop.close();
	}

	async #refresh(): Promise<void> {
		const row = await this.#options.tables.getRow(currentSettingsKey);
		const current = row?.value as CurrentSettings | undefined;
		if (current === undefined || current.version <= (this.#settings?.version ?? 0)) {
			return;
		}

		const tree = settingsTreeSchema.parse(current.tree);
		this.#settings = resolveSettings(tree, this.#options.deployment, current.version);
		this.#options.versions.setVersion('settings', current.version);
		this.#options.log.info('settings in force', {version: current.version});
	}
}
