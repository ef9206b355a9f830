/**
 * Measures on what a process spends its time: how often each activity runs and how long it takes.
 */
import {type Clock} from '@tamarackwind/core';

/** Count and durations of one activity over an interval. */
export type ActivityLoad = {
	readonly count: number;
	readonly totalMs: number;
	/** Duration of the longest run, in milliseconds. */
	readonly maxMs: number;
};

/**
 * Accumulates the durations of named activities.
 *
 * @example
 * const jobs = meter.track('plan', () => planJobs());
 * meter.takeInterval(); // Map {'plan' => {count: 1, totalMs: 3.2, maxMs: 3.2}}
 */
export class LoadMeter {
	/** `onRecord` is called with each run of an activity and its duration in milliseconds. */
	static create(clock: Clock, onRecord?: (activity: string, elapsedMs: number) => void): LoadMeter {
		return new LoadMeter(clock, onRecord);
	}

	#activities = new Map<string, ActivityLoad>();

	private constructor(private readonly clock: Clock, private readonly onRecord?: (activity: string, elapsedMs: number) => void) {}

	/** Runs synchronous work and records its duration. */
	track<T>(activity: string, run: () => T): T {
		const startedAt = this.clock.readMonotonic();
		try {
			return run();
		} finally {
			this.record(activity, this.clock.readMonotonic() - startedAt);
		}
	}

	/** Records the duration of a run that was measured elsewhere, such as the time until a response. */
	record(activity: string, elapsedMs: number): void {
		this.onRecord?.(activity, elapsedMs);
		const {count, totalMs, maxMs} = this.#activities.get(activity) ?? {count: 0, totalMs: 0, maxMs: 0};
		this.#activities.set(activity, {count: count + 1, totalMs: totalMs + elapsedMs, maxMs: Math.max(maxMs, elapsedMs)});
	}

	/** Returns the activities since the last call and starts a new interval. */
	takeInterval(): ReadonlyMap<string, ActivityLoad> {
		const activities = this.#activities;
		this.#activities = new Map();
		return activities;
	}
}
