/**
 * What an entry knows of the settings and the fleet, kept current by polling the platform.
 */
import {
	Loop, type Clock, type Log, type PoolName,
} from '@tamarackwind/core';
import {type TableService, type VmList, type VmRecord} from '@tamarackwind/platform';
import {resolveSettings, settingsTreeSchema, type ResolvedSettings} from '@tamarackwind/settings';

/** Row that names the settings version in force. */
export const currentSettingsKey = {table: 'settings', key: 'current'} as const;

/** Value of the row that names the settings version in force. */
export type CurrentSettings = {readonly version: number; readonly tree: unknown};

export type ViewOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly tables: TableService;
	readonly vmList: VmList;
	readonly deployment: string;
	readonly pollIntervalMs?: number;
};

const defaultPollIntervalMs = 500;

/** The settings and the fleet as this entry last saw them. */
export class View {
	static create(options: ViewOptions): View {
		return new View(options);
	}

	readonly #options: ViewOptions;
	readonly #loop: Loop;
	#failedPolls = 0;
	#settings: ResolvedSettings | undefined;
	#workersByPool = new Map<PoolName, VmRecord[]>();

	private constructor(options: ViewOptions) {
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
	get settings(): ResolvedSettings | undefined {
		return this.#settings;
	}

	/** Workers of a pool that may get new work. */
	listWorkers(pool: PoolName): readonly VmRecord[] {
		return this.#workersByPool.get(pool) ?? [];
	}

	async close(): Promise<void> {
		await this.#loop.close();
	}

	async #refresh(): Promise<void> {
		await Promise.all([this.#refreshSettings(), this.#refreshFleet()]);
	}

	async #refreshSettings(): Promise<void> {
		const row = await this.#options.tables.getRow(currentSettingsKey);
		const current = row?.value as CurrentSettings | undefined;
		if (current === undefined || current.version <= (this.#settings?.version ?? 0)) {
			return;
		}

		const tree = settingsTreeSchema.parse(current.tree);
		this.#settings = resolveSettings(tree, this.#options.deployment, current.version);
		this.#options.log.info('settings in force', {version: current.version});
	}

	async #refreshFleet(): Promise<void> {
		const {vms} = await this.#options.vmList.listVms();
		const workersByPool = new Map<PoolName, VmRecord[]>();
		for (const vm of vms) {
			if (vm.kind === 'worker' && vm.state === 'live' && vm.pool !== undefined) {
				const pool = vm.pool as PoolName;
				workersByPool.set(pool, [...workersByPool.get(pool) ?? [], vm]);
			}
		}

		this.#workersByPool = workersByPool;
	}
}
