/**
 * What an entry knows of the VMs and their pools, kept current from the platform.
 */
import {
	Loop, SystemRandom, type Clock, type PoolName, type RandomSource, type VmId,
} from '@tamarackwind/core';
import {type ViewVersions} from '@tamarackwind/peer';
import {
	type TableService, type VmList, type VmListing, type VmRecord,
} from '@tamarackwind/clients';
import {VmJoiner} from './joins.js';
import {FleetMirror, type FleetState} from './mirrors.js';
import {type VmRow} from './rows.js';
import {FleetStore} from './stores.js';

/** A worker that belongs to a pool. */
export type Worker = VmRecord & {readonly vmId: VmId; readonly pool: PoolName};

export type FleetViewOptions = {
	readonly clock: Clock;
	readonly tables: TableService;
	readonly vmList: VmList;
	readonly versions: ViewVersions;
	readonly random?: RandomSource;
	/** Time between two polls of the platform, in milliseconds. */
	readonly pollIntervalMs?: number;
};

/** The platform's list as it was last read. */
export type ReadListing = VmListing & {
	/** Monotonic time of the reading, in milliseconds. */
	readonly readAt: number;
};

/** What an entry gives another that can't reach the platform. */
export type FleetCopy = {
	readonly version: number;
	readonly rowVersion: number;
	readonly rows: readonly VmRow[];
	readonly listing: VmListing;
};

const defaultPollIntervalMs = 500;

/** The workers of each pool as this entry last saw them: pools come from the rows, liveness from the list. */
export class FleetView {
	static create(options: FleetViewOptions): FleetView {
		return new FleetView(options);
	}

	/** Writes changes of the fleet; its mirror is the one that this view shows. */
	readonly store: FleetStore;
	readonly #options: FleetViewOptions;
	readonly #joiner: VmJoiner;
	readonly #loop: Loop;
	#failedPolls = 0;
	#isLoaded = false;
	#state: FleetState | undefined;
	#listing: ReadListing | undefined;
	#appliedVms: readonly VmRecord[] | undefined;
	#workersByPool = new Map<PoolName, Worker[]>();
	#entries: readonly VmRecord[] = [];

	private constructor(options: FleetViewOptions) {
		const {clock, tables, random = SystemRandom.create()} = options;
		this.#options = options;
		this.store = FleetStore.create({tables, random, mirror: FleetMirror.create(tables)});
		this.#joiner = VmJoiner.create({clock, random, store: this.store});
		this.#loop = Loop.create({
			clock,
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

	/** Rows that this entry dispatches by, once they were read. */
	get state(): FleetState | undefined {
		return this.#state;
	}

	/** The platform's list, once it was read. */
	get listing(): ReadListing | undefined {
		return this.#listing;
	}

	/** Whether both the rows and the list were read, and every worker listed then had its row. */
	get isLoaded(): boolean {
		return this.#isLoaded;
	}

	/** Lists the workers of a pool that may get new work. */
	listWorkers(pool: PoolName): readonly Worker[] {
		return this.#workersByPool.get(pool) ?? [];
	}

	/** Tells whether a VM serves a pool by the rows that this entry dispatches by. */
	isServing(vmId: VmId, pool: PoolName): boolean {
		const row = this.#state?.vms.get(vmId);
		return row?.state === 'serving' && row.pool === pool;
	}

	/** Lists the entry VMs of the platform's list. */
	listEntries(): readonly VmRecord[] {
		return this.#entries;
	}

	/** Copies what this entry works by, once it was read. */
	createCopy(): FleetCopy | undefined {
		if (this.#state === undefined || this.#listing === undefined) {
			return undefined;
		}

		const {version, rowVersion, vms} = this.#state;
		const {generation, vms: listed} = this.#listing;
		return {
			version, rowVersion, rows: [...vms.values()], listing: {generation, vms: listed},
		};
	}

	/** Works by another entry's copy from now on, unless its version is as high already. */
	acceptCopy({version, rowVersion, rows, listing}: FleetCopy): void {
		this.store.mirror.acceptState({version, rowVersion, vms: new Map(rows.map(row => [row.vmId, row]))});
		if (this.#listing === undefined) {
			this.#listing = {...listing, readAt: Number.NEGATIVE_INFINITY};
			this.#entries = listing.vms.filter(vm => vm.kind === 'entry');
			this.#isLoaded = true;
		}

		this.#apply();
	}

	async close(): Promise<void> {
		await this.#loop.close();
	}

	async #refresh(): Promise<void> {
		const outcomes = await Promise.allSettled([this.store.mirror.refresh(), this.#readList()]);
		this.#apply();
		const failure = outcomes.find(outcome => outcome.status === 'rejected');
		if (failure !== undefined) {
			throw failure.reason;
		}

		await this.#joiner.addMissingVms(this.#listing!.vms, this.#state!);
		this.#apply();
		this.#isLoaded ||= this.#listing!.vms.every(vm => vm.kind !== 'worker' || vm.pool === undefined || this.#state!.vms.has(vm.vmId as VmId));
	}

	async #readList(): Promise<void> {
		const listing = await this.#options.vmList.listVms();
		this.#listing = {...listing, readAt: this.#options.clock.readMonotonic()};
		this.#entries = listing.vms.filter(vm => vm.kind === 'entry');
	}

	/** Puts the latest rows and list into force, then tells their version. */
	#apply(): void {
		const {state} = this.store.mirror;
		const vms = this.#listing?.vms ?? [];
		if (state === undefined || (state === this.#state && vms === this.#appliedVms)) {
			return;
		}

		this.#state = state;
		this.#appliedVms = vms;
		const workersByPool = new Map<PoolName, Worker[]>();
		for (const vm of vms) {
			const row = state.vms.get(vm.vmId as VmId);
			if (vm.kind === 'worker' && vm.state === 'live' && row?.state === 'serving') {
				const workers = workersByPool.get(row.pool) ?? [];
				workersByPool.set(row.pool, workers);
				workers.push({...vm, vmId: row.vmId, pool: row.pool});
			}
		}

		this.#workersByPool = workersByPool;
		this.#options.versions.setVersion('fleet', state.version);
	}
}
