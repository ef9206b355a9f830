/**
 * A small deployment for tests: the fake platform, fake workers, and entries in child processes.
 */
import {type VmRecord} from '@tamarackwind/clients';
import {type SettingsTree} from '@tamarackwind/settings';
import {FakePlatform, type FakePlatformOptions} from './fake-platforms.js';
import {EntryProcess, createEntryConfig, waitUntil} from './entry-processes.js';
import {RelayMesh} from './relays.js';
import {FakeWorker} from './fake-workers.js';

export type ClusterOptions = {
	readonly tree: SettingsTree;
	/** Number of workers to start, by pool. */
	readonly workers: Readonly<Record<string, number>>;
	readonly entries: number;
	readonly platform?: FakePlatformOptions;
	/** Daemon configuration merged over the default of `createEntryConfig`. */
	readonly entryConfig?: Record<string, unknown>;
	/** Whether links between entries and from entries to the platform pass through relays, which can interrupt them. */
	readonly hasRelays?: boolean;
};

/** Number of VMs in a rack. */
const rackSize = 4;
const zoneCount = 4;

/** Creates a worker's record in the VM list; four workers share a rack, and racks are assigned to zones in round-robin order. */
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

/** Creates an entry's record in the VM list. */
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
 * A test deployment on loopback ports.
 *
 * @example
 * const cluster = await Cluster.create({tree, workers: {north: 2}, entries: 3});
 * await request(`${cluster.entries[0].getUrl('caller')}/echo/echo`);
 * await cluster.close();
 */
export class Cluster {
	static async create(options: ClusterOptions): Promise<Cluster> {
		const cluster = new Cluster(await FakePlatform.create(options.platform), options);
		await cluster.#start();
		return cluster;
	}

	readonly platform: FakePlatform;
	readonly workers: FakeWorker[] = [];
	readonly entries: EntryProcess[] = [];
	/** Relays on the links; present with `hasRelays`. */
	readonly relays: RelayMesh | undefined;
	readonly #options: ClusterOptions;
	#entryCount = 0;

	private constructor(platform: FakePlatform, options: ClusterOptions) {
		this.platform = platform;
		this.relays = options.hasRelays ? RelayMesh.create(platform) : undefined;
		this.#options = options;
	}

	/** Starts another entry and waits until it is ready. */
	async addEntry(): Promise<EntryProcess> {
		const index = this.#entryCount++;
		const entry = await this.#startEntry(`entry-${index + 1}`, index);
		await waitUntil(async () => entry.isReady());
		return entry;
	}

	/** Kills an entry's process and starts a new one under the same id, without waiting until it is ready. */
	async restartEntry(index: number, config: Record<string, unknown> = {}): Promise<EntryProcess> {
		await this.entries[index]!.close();
		return this.#startEntry(`entry-${index + 1}`, index, config);
	}

	async #startEntry(entryId: string, index: number, config: Record<string, unknown> = {}): Promise<EntryProcess> {
		const platformUrl = await this.relays?.openPlatformLink(entryId) ?? this.platform.url;
		const entryStart = EntryProcess.create({...createEntryConfig(entryId, platformUrl), ...this.#options.entryConfig, ...config});
		const entry = await entryStart;
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
				const worker = await FakeWorker.create({vmId: `${pool}-${index + 1}`});
				this.workers.push(worker);
				this.platform.putVms([createWorkerRecord(pool, index, worker.port)]);
			}
		}

		await Promise.all(Array.from({length: entries}, async () => this.addEntry()));
	}
}
