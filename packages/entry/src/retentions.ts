/**
 * Retention: moves old audit records and old trees from the table service into the object store.
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

/** Trims what has grown old, at intervals that differ between entries. */
export class Retention {
	static create(options: RetentionOptions): Retention {
		return new Retention(options);
	}

	readonly #loop: Loop;
	#failedTurns = 0;

	private constructor({clock, random, audit, settingsStore, versions}: RetentionOptions) {
		this.#loop = Loop.create({
			clock,
			intervalMs: baseIntervalMs * (1 + random.readFraction()),
			async run() {
				await audit.trim();
				await settingsStore.trim(versions.getVersion('settings'));
			},
			onError: () => {
				this.#failedTurns++;
			},
		});
	}

	/** Turns that failed so far; the next one does their work. */
	get failedTurns(): number {
		return this.#failedTurns;
	}

	async close(): Promise<void> {
		await this.#loop.close();
	}
}
