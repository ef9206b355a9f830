/**
 * An entry's view of the VMs and their pools, polled from the platform.
 */
import {
	Loop, SystemRandom, type Clock, type PoolName, type RandomSource, type VmId,
} from '@tamarackwind/core';
import {type ViewVersions} from '@tamarackwind/peer';
import {
	type TableService, type VmList, type VmListing, type VmRecord,
} from '@tamarackwind/clients';
import {VmRegistrar} from './registrations.js';
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

/** The platform's list as of the latest read. */
export type TimedListing = VmListing & {
	/** Monotonic time of the read, in milliseconds. */
	readonly readAt: number;
};

/** Copy of a view that an entry sends to another entry that cannot reach the platform. */
export type FleetCopy = {
	readonly version: number;
	readonly rowVersion: number;
	readonly rows: readonly VmRow[];
	readonly listing: VmListing;
};

const defaultPollIntervalMs = 500;

/** Workers of each pool as of the latest poll: pools come from the rows, liveness from the platform's list. */
export class FleetView {
	static create(options: FleetViewOptions): FleetView {
		return new FleetView(options);
	}

	/** Commits changes of the fleet. This view reads the mirror of the store. */
	readonly store: FleetStore;
	readonly #options: FleetViewOptions;
	readonly #registrar: VmRegistrar;
	readonly #loop: Loop;
	#failedPolls = 0;
	#isLoaded = false;
	#state: FleetState | undefined;
	#listing: TimedListing | undefined;
	#appliedRecords: readonly VmRecord[] | undefined;
	#workersByPool = new Map<PoolName, Worker[]>();
	#entries: readonly VmRecord[] = [];

	private constructor(options: FleetViewOptions) {
		const {clock, tables, random = SystemRandom.create()} = options;
		this.#options = options;
		this.store = FleetStore.create({tables, random, mirror: FleetMirror.create(tables)});
		this.#registrar = VmRegistrar.create({clock, random, store: this.store});
		this.#loop = Loop.create({
			clock,
			intervalMs: options.pollIntervalMs ?? defaultPollIntervalMs,
			run: async () => this.#refresh(),
			onError: () => {
				this.#failedPolls++;
			},
		});
	}

	/** Number of polls of the platform that have failed. */
	get failedPolls(): number {
		return this.#failedPolls;
	}

	/** Rows that this entry uses to dispatch work; `undefined` before the first read. */
	get state(): FleetState | undefined {
		return this.#state;
	}

	/** The platform's list; `undefined` before the first read. */
	get listing(): TimedListing | undefined {
		return this.#listing;
	}

	/** Whether the rows and the list have been read once with a row for every listed worker. */
	get isLoaded(): boolean {
		return this.#isLoaded;
	}

	/** Lists the workers of a pool that accept new work. */
	listWorkers(pool: PoolName): readonly Worker[] {
		return this.#workersByPool.get(pool) ?? [];
	}

	/** Reports whether a VM serves a pool according to the current rows. */
	isServing(vmId: VmId, pool: PoolName): boolean {
		const row = this.#state?.vms.get(vmId);
		return row?.state === 'serving' && row.pool === pool;
	}

	/** Lists the entry VMs of the platform's list. */
	listEntries(): readonly VmRecord[] {
		return this.#entries;
	}

	/** Copies the current rows and list; returns `undefined` before the first read. */
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

	/** Applies the copy of another entry: its rows if they are newer, its list if none has been read. */
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

		await this.#registrar.addMissingVms(this.#listing!.vms, this.#state!);
		this.#apply();
		this.#isLoaded ||= this.#listing!.vms.every(vm => vm.kind !== 'worker' || vm.pool === undefined || this.#state!.vms.has(vm.vmId as VmId));
	}

	async #readList(): Promise<void> {
		const listing = await this.#options.vmList.listVms();
		this.#listing = {...listing, readAt: this.#options.clock.readMonotonic()};
		this.#entries = listing.vms.filter(vm => vm.kind === 'entry');
	}

	/** Applies the latest rows and list, then publishes their version. */
	#apply(): void {
		const {state} = this.store.mirror;
		const vms = this.#listing?.vms ?? [];
		if (state === undefined || (state === this.#state && vms === this.#appliedRecords)) {
			return;
		}

		this.#state = state;
		this.#appliedRecords = vms;
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
