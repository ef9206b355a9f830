/**
 * Average slots that each caller and class has used over the last minutes.
 */
import {type Clock} from '@tamarackwind/core';

/** Time constant of the average, in milliseconds. */
const timeConstantMs = 600_000;
/** Shortest uptime that the average is computed over, in milliseconds. */
const minUptimeMs = 10_000;
/** Average below which an entry of the history is evicted. */
const negligibleSlots = 0.0001;

type Average = {slots: number; updatedAt: number};

/** Exponentially weighted averages of one pool at one entry. */
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

	/** Adds the slot time of a finished request, in milliseconds. */
	addUsage(key: string, usedMs: number): void {
		const now = this.#clock.readMonotonic();
		this.#averages.set(key, {slots: this.#readDecayed(key, now) + (usedMs / timeConstantMs), updatedAt: now});
	}

	/** Returns the average slots in use, corrected for an uptime shorter than the time constant. */
	readSlots(key: string): number {
		const now = this.#clock.readMonotonic();
		const uptimeMs = Math.max(minUptimeMs, now - this.#startedAt);
		return this.#readDecayed(key, now) / (1 - Math.exp(-uptimeMs / timeConstantMs));
	}

	/** Evicts averages below `negligibleSlots`. */
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
		return average === undefined ? 0 : average.slots * Math.exp((average.updatedAt - now) / timeConstantMs);
	}
}
