/**
 * What an entry knows of the VMs and their pools, kept current from the platform.
 */
import {
	Loop, type Clock, type PoolName, type VmId,
} from '@tamarackwind/core';
import {type ViewVersions} from '@tamarackwind/peer';
import {
	type TableService, type VmList, type VmListing, type VmRecord,
} from '@tamarackwind/platform';

/** A worker that belongs to a pool. */
export type Worker = VmRecord & {readonly vmId: VmId; readonly pool: PoolName};

export type FleetViewOptions = {
	readonly clock: Clock;
	readonly tables: TableService;
	readonly vmList: VmList;
	readonly versions: ViewVersions;
	/** Time between two polls of the platform, in milliseconds. */
	readonly pollIntervalMs?: number;
};

/** The platform's list as it was last read. */
export type ReadListing = VmListing & {
	/** Monotonic time of the reading, in milliseconds. */
	readonly readAt: number;
};

const defaultPollIntervalMs = 500;

/** The workers of each pool as this entry last saw them. */
export class FleetView {
	static create(options: FleetViewOptions): FleetView {
		return new FleetView(options);
	}

	readonly #options: FleetViewOptions;
	readonly #loop: Loop;
	#failedPolls = 0;
	#workersByPool = new Map<PoolName, Worker[]>();
	#entries: readonly VmRecord[] = [];
	#listing: ReadListing | undefined;

	private constructor(options: FleetViewOptions) {
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

	/** The platform's list, once it was read. */
	get listing(): ReadListing | undefined {
		return this.#listing;
	}

	/** Lists the workers of a pool that may get new work. */
	listWorkers(pool: PoolName): readonly Worker[] {
		return this.#workersByPool.get(pool) ?? [];
	}

	/** Lists the entry VMs of the platform's list. */
	listEntries(): readonly VmRecord[] {
		return this.#entries;
	}

	async close(): Promise<void> {
		await this.#loop.close();
	}

	async #refresh(): Promise<void> {
		const listing = await this.#options.vmList.listVms();
		const {vms, generation} = listing;
		this.#listing = {...listing, readAt: this.#options.clock.readMonotonic()};
		const workersByPool = new Map<PoolName, Worker[]>();
		for (const vm of vms) {
			if (vm.kind === 'worker' && vm.state === 'live' && vm.pool !== undefined) {
				const worker = vm as Worker;
				workersByPool.set(worker.pool, [...workersByPool.get(worker.pool) ?? [], worker]);
			}
		}

		this.#workersByPool = workersByPool;
		this.#entries = vms.filter(vm => vm.kind === 'entry');
		this.#options.versions.setVersion('fleet', generation);
	}
}
