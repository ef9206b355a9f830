/**
 * A small deployment for tests: the platform's stand-in, workers and entries in processes of their own.
 */
import {type VmRecord} from '@tamarackwind/platform';
import {type SettingsTree} from '@tamarackwind/settings';
import {PlatformStandIn, type PlatformStandInOptions} from './platforms.js';
import {EntryProcess, createLoopbackConfig, waitUntil} from './processes.js';
import {WorkerStandIn} from './workers.js';

export type ClusterOptions = {
	readonly tree: SettingsTree;
	/** Workers to start for each pool. */
	readonly workers: Readonly<Record<string, number>>;
	readonly entries: number;
	readonly platform?: PlatformStandInOptions;
	/** Daemon settings laid over the usual ones. */
	readonly entryConfig?: Record<string, unknown>;
};

/** VMs of one rack. */
const rackSize = 4;
const zoneCount = 4;

/** Describes a worker as the platform lists it; four workers share a rack and the racks take turns in the zones. */
export function createWorkerRecord(pool: string, index: number, port: number): VmRecord {
	const rack = Math.floor(index / rackSize);
	return {
		vmId: `${pool}-${index + 1}`,
		kind: 'worker',
		incarnation: '1',
		address: '127.0.0.1',
		port,
		region: 'region-1',
		zone: `zone-${(rack % zoneCount) + 1}`,
		rack: `rack-${pool}-${rack + 1}`,
		state: 'live',
		pool,
		cores: 64,
		memoryMb: 131_072,
		accelerators: 0,
	};
}

/**
 * A deployment on loopback.
 *
 * @example
 * const cluster = await Cluster.create({tree, workers: {north: 2}, entries: 3});
 * await request(`${cluster.entries[0].getUrl('caller')}/echo/echo`);
 * await cluster.close();
 */
export class Cluster {
	static async create(options: ClusterOptions): Promise<Cluster> {
		const cluster = new Cluster(await PlatformStandIn.create(options.platform), options);
		await cluster.#start();
		return cluster;
	}

	readonly platform: PlatformStandIn;
	readonly workers: WorkerStandIn[] = [];
	readonly entries: EntryProcess[] = [];
	readonly #options: ClusterOptions;

	private constructor(platform: PlatformStandIn, options: ClusterOptions) {
		this.platform = platform;
		this.#options = options;
	}

	/** Starts one more entry and waits until it is ready. */
	async addEntry(): Promise<EntryProcess> {
		const entryId = `entry-${this.entries.length + 1}`;
		const entry = await EntryProcess.create({...createLoopbackConfig(entryId, this.platform.url), ...this.#options.entryConfig});
		this.entries.push(entry);
		await waitUntil(async () => entry.isReady());
		return entry;
	}

	async close(): Promise<void> {
		await Promise.all(this.entries.map(async entry => entry.close()));
		await Promise.all(this.workers.map(async worker => worker.close()));
		await this.platform.close();
	}

	async #start(): Promise<void> {
		const {tree, workers, entries} = this.#options;
		await this.platform.tables.commit({checks: [], writes: [{table: 'settings', key: 'current', value: {version: 1, tree}}]});
		for (const [pool, count] of Object.entries(workers)) {
			for (let index = 0; index < count; index++) {
				const worker = await WorkerStandIn.create({vmId: `${pool}-${index + 1}`});
				this.workers.push(worker);
				this.platform.putVms([createWorkerRecord(pool, index, worker.port)]);
			}
		}

		await Promise.all(Array.from({length: entries}, async () => this.addEntry()));
	}
}
