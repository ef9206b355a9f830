/**
 * Clocks: the only source of time for every decision.
 */
import {setTimeout as delay} from 'node:timers/promises';

/** A source of time. */
export abstract class Clock {
	/** Milliseconds since an arbitrary start; never goes back. */
	abstract readMonotonic(): number;

	/** Milliseconds since the Unix epoch; may jump. */
	abstract readWall(): number;

	/** Like `readMonotonic`, but counts the time for which the machine was suspended; a wall clock that is set forward counts too. */
	readBoot(): number {
		return this.readMonotonic();
	}

	/** Resolves after `ms` milliseconds, or early when `signal` aborts. */
	abstract sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** Difference between wall and monotonic clock, in milliseconds, that is put down to slewing rather than to a suspension. */
const suspensionToleranceMs = 20;

/** The clock of the operating system. */
export class SystemClock extends Clock {
	static create(): SystemClock {
		return new SystemClock();
	}

	#suspendedMs = 0;
	#lastGap = Number.NEGATIVE_INFINITY;

	override readMonotonic(): number {
		return performance.now();
	}

	override readBoot(): number {
		const now = performance.now();
		const gap = Date.now() - now;
		if (gap - this.#lastGap > suspensionToleranceMs && this.#lastGap !== Number.NEGATIVE_INFINITY) {
			this.#suspendedMs += gap - this.#lastGap;
		}

		this.#lastGap = gap;
		return now + this.#suspendedMs;
	}

	override readWall(): number {
		return Date.now();
	}

	override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		try {
			await delay(ms, undefined, {signal});
		} catch (error) {
			if (!signal?.aborted) {
				throw error;
			}
		}
	}
}

type Sleeper = {readonly wakeAt: number; readonly wake: () => void};

/** A clock that moves only when it is told to, for tests and simulated time. */
export class ManualClock extends Clock {
	static create(startMs = 0): ManualClock {
		return new ManualClock(startMs);
	}

	#now: number;
	#wallOffset = 0;
	#suspendedMs = 0;
	readonly #sleepers = new Set<Sleeper>();

	private constructor(startMs: number) {
		super();
		this.#now = startMs;
	}

	override readMonotonic(): number {
		return this.#now;
	}

	override readBoot(): number {
		return this.#now + this.#suspendedMs;
	}

	override readWall(): number {
		return this.#now + this.#wallOffset;
	}

	override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const wakeEarly = (): void => {
				this.#sleepers.delete(sleeper);
				resolve();
			};

			const sleeper: Sleeper = {
				wakeAt: this.#now + ms,
				wake() {
					signal?.removeEventListener('abort', wakeEarly);
					resolve();
				},
			};
			this.#sleepers.add(sleeper);
			signal?.addEventListener('abort', wakeEarly, {once: true});
		});
	}

	/** Shifts the wall clock by `ms` milliseconds and leaves the monotonic clock alone. */
	jumpWall(ms: number): void {
		this.#wallOffset += ms;
	}

	/** Adds a suspension of `ms` milliseconds, which the monotonic clock does not count. */
	addSuspension(ms: number): void {
		this.#suspendedMs += ms;
		this.#wallOffset += ms;
	}

	/** Moves time on by `ms` milliseconds and wakes the sleepers in order. */
	async advance(ms: number): Promise<void> {
		const end = this.#now + ms;
		await flushTasks();
		for (let next = this.#findNext(end); next !== undefined; next = this.#findNext(end)) {
			this.#now = Math.max(this.#now, next.wakeAt);
			this.#sleepers.delete(next);
			next.wake();
			await flushTasks();
		}

		this.#now = end;
	}

	#findNext(end: number): Sleeper | undefined {
		let first: Sleeper | undefined;
		for (const sleeper of this.#sleepers) {
			if (sleeper.wakeAt <= end && (first === undefined || sleeper.wakeAt < first.wakeAt)) {
				first = sleeper;
			}
		}

		return first;
	}
}

async function flushTasks(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}
