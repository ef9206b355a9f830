/**
 * Usual use: the slots that each caller and class has used on average over the last minutes.
 */
import {type Clock} from '@tamarackwind/core';

/** Time constant of the average, in milliseconds. */
const memoryMs = 600_000;
/** Uptime below which the average is taken as over this time, in milliseconds. */
const minUptimeMs = 10_000;
/** Average below which a caller is forgotten. */
const negligibleSlots = 0.0001;

type Average = {slots: number; updatedAt: number};

/** Averages of one entry and pool, exponentially weighted. */
export class UsageHistory {
	static create(clock: Clock): UsageHistory {
		return new UsageHistory(clock);
	}

	readonly #clock: Clock;
	readonly #startedAt: number;
	readonly #averages = new Map<string, Average>();

	private constructor(clock: Clock) {
		this.#clock = clock;
		this.#startedAt = clock.readMonotonic();
	}

	/** Adds the slot time of a request that has ended, in milliseconds. */
	addUse(key: string, usedMs: number): void {
		const now = this.#clock.readMonotonic();
		this.#averages.set(key, {slots: this.#readDecayed(key, now) + (usedMs / memoryMs), updatedAt: now});
	}

	/** Reads the average slots in use, over the uptime while that is short. */
	readSlots(key: string): number {
		const now = this.#clock.readMonotonic();
		const uptimeMs = Math.max(minUptimeMs, now - this.#startedAt);
		return this.#readDecayed(key, now) / (1 - Math.exp(-uptimeMs / memoryMs));
	}

	/** Forgets callers that have used next to nothing. */
	trim(): void {
		const now = this.#clock.readMonotonic();
		for (const key of this.#averages.keys()) {
			if (this.#readDecayed(key, now) < negligibleSlots) {
				this.#averages.delete(key);
			}
		}
	}

	#readDecayed(key: string, now: number): number {
		const average = this.#averages.get(key);
		return average === undefined ? 0 : average.slots * Math.exp((average.updatedAt - now) / memoryMs);
	}
}
