/**
 * A small deployment for tests: the platform's stand-in, workers and entries in processes of their own.
 */
import {type VmRecord} from '@tamarackwind/clients';
import {type SettingsTree} from '@tamarackwind/settings';
import {PlatformStandIn, type PlatformStandInOptions} from './platforms.js';
import {EntryProcess, createLoopbackConfig, waitUntil} from './processes.js';
import {RelayMesh} from './relays.js';
import {WorkerStandIn} from './workers.js';

export type ClusterOptions = {
	readonly tree: SettingsTree;
	/** Workers to start for each pool. */
	readonly workers: Readonly<Record<string, number>>;
	readonly entries: number;
	readonly platform?: PlatformStandInOptions;
	/** Daemon settings laid over the usual ones. */
	readonly entryConfig?: Record<string, unknown>;
	/** Puts a relay on each link between two entries and from an entry to the platform, so that it can be cut. */
	readonly hasRelays?: boolean;
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

/** Describes an entry as the platform lists it. */
export function createEntryRecord(entryId: string, entry: EntryProcess, incarnation = '1'): VmRecord {
	return {
		vmId: entryId,
		kind: 'entry',
		incarnation,
		address: '127.0.0.1',
		port: entry.ports.caller!,
		peerPort: entry.ports.peer,
		region: 'region-1',
		zone: 'zone-1',
		rack: 'rack-entries',
		state: 'live',
		cores: 2,
		memoryMb: 4096,
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
	/** Links that can be cut, with `hasRelays`. */
	readonly relays: RelayMesh | undefined;
	readonly #options: ClusterOptions;
	#entryCount = 0;

	private constructor(platform: PlatformStandIn, options: ClusterOptions) {
		this.platform = platform;
		this.relays = options.hasRelays ? RelayMesh.create(platform) : undefined;
		this.#options = options;
	}

	/** Starts one more entry and waits until it is ready. */
	async addEntry(): Promise<EntryProcess> {
		const index = this.#entryCount++;
		const entry = await this.#startEntry(`entry-${index + 1}`, index);
		await waitUntil(async () => entry.isReady());
		return entry;
	}

	/** Starts an entry anew under its id, after its process has ended; it need not be ready. */
	async restartEntry(index: number, config: Record<string, unknown> = {}): Promise<EntryProcess> {
		await this.entries[index]!.close();
		return this.#startEntry(`entry-${index + 1}`, index, config);
	}

	async #startEntry(entryId: string, index: number, config: Record<string, unknown> = {}): Promise<EntryProcess> {
		const platformUrl = await this.relays?.openPlatformLink(entryId) ?? this.platform.url;
		const starting = EntryProcess.create({...createLoopbackConfig(entryId, platformUrl), ...this.#options.entryConfig, ...config});
		const entry = await starting;
		this.entries[index] = entry;
		this.platform.putVms([createEntryRecord(entryId, entry, String(entry.pid))]);
		return entry;
	}

	async close(): Promise<void> {
		await Promise.all(this.entries.map(async entry => entry.close()));
		await Promise.all(this.workers.map(async worker => worker.close()));
		await this.relays?.close();
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
