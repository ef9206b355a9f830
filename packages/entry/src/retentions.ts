/**
 * Retention: moves old audit records and settings trees from the table service to the object store.
 */
import {Loop, type Clock, type RandomSource} from '@tamarackwind/core';
import {type ViewVersions} from '@tamarackwind/peer';
import {type AuditLog} from './audits.js';
import {type SettingsStore} from './settings-stores.js';

export type RetentionOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly audit: Pick<AuditLog, 'trim'>;
	readonly settingsStore: Pick<SettingsStore, 'trim'>;
	readonly versions: ViewVersions;
};

const baseIntervalMs = 600_000;

/** Trims the audit trail and the settings trees periodically, at a random interval for each entry. */
export class Retention {
	static create(options: RetentionOptions): Retention {
		return new Retention(options);
	}

	readonly #loop: Loop;
	#failedRuns = 0;

	private constructor({clock, random, audit, settingsStore, versions}: RetentionOptions) {
		this.#loop = Loop.create({
			clock,
			intervalMs: baseIntervalMs * (1 + random.readFraction()),
			async run() {
				await audit.trim();
				await settingsStore.trim(versions.getVersion('settings'));
			},
			onError: () => {
				this.#failedRuns++;
			},
		});
	}

	/** Number of failed runs. The next run repeats their work. */
	get failedRuns(): number {
		return this.#failedRuns;
	}

	async close(): Promise<void> {
		await this.#loop.close();
	}
}
