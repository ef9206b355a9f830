/**
 * Fake of the platform's load balancer: routes callers to entries that report readiness.
 */
import {Loop, SystemClock, type RandomSource} from '@tamarackwind/core';
import {type EntryProcess} from './entry-processes.js';

const probeIntervalMs = 200;

/** Probes the entries for readiness and picks a ready one for each request. */
export class Balancer {
	/** Starts periodic probes; resolves after each entry was probed once. */
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

	/** Returns the caller URL of a random ready entry, or `undefined` if none is ready. */
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
