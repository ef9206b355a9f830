/**
 * Deletes claims after their retention period. Every entry runs the clean-up, in small pages.
 */
import {
	Loop, type Clock, type RandomSource,
} from '@tamarackwind/core';
import {type ObjectStore, type Row, type TableService} from '@tamarackwind/clients';
import {Counter, type Registry} from 'prom-client';
import {claimTable, type ClaimRow} from './claim-rows.js';

export type ClaimCleanerOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly tables: TableService;
	readonly objects: ObjectStore;
	readonly registry: Registry;
	/** Interval between two pages, in milliseconds. */
	readonly intervalMs?: number;
};

const defaultIntervalMs = 10_000;
const pageSize = 100;
/**
 * Extra time before an expired row is deleted, in milliseconds. It prevents an early deletion by an entry whose clock
 * is ahead.
 */
const clockSkewMarginMs = 300_000;

/** Deletes expired claims. Each entry scans the table from a random start key. */
export class ClaimCleaner {
	static create(options: ClaimCleanerOptions): ClaimCleaner {
		return new ClaimCleaner(options);
	}

	readonly #options: ClaimCleanerOptions;
	readonly #loop: Loop;
	readonly #deleted: Counter;
	readonly #failed: Counter;
	#cursor: string;

	private constructor(options: ClaimCleanerOptions) {
		const {clock, random, registry} = options;
		const registers = [registry];
		this.#options = options;
		this.#cursor = random.createToken();
		this.#deleted = new Counter({name: 'tamarackwind_claims_deleted_total', help: 'Claims deleted after their retention', registers});
		this.#failed = new Counter({name: 'tamarackwind_claim_cleanups_failed_total', help: 'Pages of the clean-up of claims that failed', registers});
		this.#loop = Loop.create({
			clock,
			intervalMs: options.intervalMs ?? defaultIntervalMs,
			run: async () => this.deletePage(),
			onError: () => {
				this.#failed.inc();
			},
		});
	}

	/** Deletes the expired claims of the next page, unless any of them was written after it was read. */
	async deletePage(): Promise<void> {
		const rows = await this.#options.tables.scanRows(claimTable, {after: this.#cursor, limit: pageSize});
		this.#cursor = rows.length < pageSize ? '' : rows.at(-1)!.key;
		const now = this.#options.clock.readWall();
		const expired = rows.filter(({value}) => (value as ClaimRow).expiresAt + clockSkewMarginMs < now);
		if (expired.length > 0) {
			await this.#deleteRows(expired);
		}
	}

	async close(): Promise<void> {
		await this.#loop.close();
	}

	async #deleteRows(rows: readonly Row[]): Promise<void> {
		const outcome = await this.#options.tables.commit({
			checks: rows.map(({table, key, version}) => ({table, key, version})),
			writes: rows.map(({table, key}) => ({table, key})),
		});
		if (outcome.status !== 'committed') {
			return;
		}

		this.#deleted.inc(rows.length);
		for (const {value} of rows) {
			const {objectName} = (value as ClaimRow).answer ?? {};
			if (objectName !== undefined) {
				await this.#options.objects.deleteObject(objectName);
			}
		}
	}
}
