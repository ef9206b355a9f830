/**
 * Stand-in of the platform's balancer: sends callers to entries that say they are ready.
 */
import {Loop, SystemClock, type RandomSource} from '@tamarackwind/core';
import {type EntryProcess} from './processes.js';

const probeIntervalMs = 200;

/** Chooses a ready entry for each connection of a caller. */
export class Balancer {
	/** Starts to probe the entries; resolves after the first probe of each. */
	static async create(entries: readonly EntryProcess[], random: RandomSource): Promise<Balancer> {
		const balancer = new Balancer(entries, random);
		await balancer.#probeEntries();
		return balancer;
	}

	readonly #entries: readonly EntryProcess[];
	readonly #random: RandomSource;
	readonly #loop: Loop;
	#ready: readonly EntryProcess[] = [];

	private constructor(entries: readonly EntryProcess[], random: RandomSource) {
		this.#entries = entries;
		this.#random = random;
		this.#loop = Loop.create({
			clock: SystemClock.create(),
			intervalMs: probeIntervalMs,
			run: async () => this.#probeEntries(),
			onError: () => {
				this.#ready = [];
			},
		});
	}

	/** Caller URL of a ready entry. */
	pickUrl(): string | undefined {
		return this.#random.pickItem(this.#ready)?.getUrl('caller');
	}

	async close(): Promise<void> {
		await this.#loop.close();
	}

	async #probeEntries(): Promise<void> {
		const probes = this.#entries.map(async entry => {
			try {
				return await entry.isReady() ? [entry] : [];
			} catch {
				return [];
			}
		});
		this.#ready = (await Promise.all(probes)).flat();
	}
}
