/**
 * Clocks: the only source of time, replaceable in tests and simulations.
 */
/** A source of time. */
export abstract class Clock {
	/** Returns the milliseconds since an arbitrary start; never decreases. */
	abstract readMonotonic(): number;

	/** Returns the milliseconds since the Unix epoch; may jump. */
	abstract readWall(): number;

	/** Like `readMonotonic`, but includes the time for which the machine was suspended. A forward jump of the wall clock is included too. */
	readBootTime(): number {
		return this.readMonotonic();
	}

	/** Calls `run` after `ms` milliseconds unless the returned function, which cancels the timer, is called before. */
	abstract startTimer(ms: number, run: () => void): () => void;

	/** Resolves after `ms` milliseconds, or early when `signal` aborts. */
	abstract sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** Drift between the wall and the monotonic clock that is attributed to slewing rather than a suspension, in milliseconds. */
const suspensionToleranceMs = 20;

/** The clock of the operating system. */
export class SystemClock extends Clock {
	static create(): SystemClock {
		return new SystemClock();
	}

	#suspendedMs = 0;
	#lastOffset = Number.NEGATIVE_INFINITY;

	override readMonotonic(): number {
		return performance.now();
	}

	override readBootTime(): number {
		const now = performance.now();
		const offset = Date.now() - now;
		if (offset - this.#lastOffset > suspensionToleranceMs && this.#lastOffset !== Number.NEGATIVE_INFINITY) {
			this.#suspendedMs += offset - this.#lastOffset;
		}

		this.#lastOffset = offset;
		return now + this.#suspendedMs;
	}

	override readWall(): number {
		return Date.now();
	}

	override startTimer(ms: number, run: () => void): () => void {
		const timer = setTimeout(run, ms);
		return () => {
			clearTimeout(timer);
		};
	}

	override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const wake = (): void => {
				clearTimeout(timer);
				signal?.removeEventListener('abort', wake);
				resolve();
			};

			const timer = setTimeout(wake, ms);
			signal?.addEventListener('abort', wake, {once: true});
		});
	}
}

type Timer = {readonly wakeAt: number; readonly wake: () => void};

/** A clock that advances only on request, for tests and simulations. */
export class ManualClock extends Clock {
	static create(startMs = 0): ManualClock {
		return new ManualClock(startMs);
	}

	#now: number;
	#wallOffset = 0;
	#suspendedMs = 0;
	readonly #timers = new Set<Timer>();

	private constructor(startMs: number) {
		super();
		this.#now = startMs;
	}

	override readMonotonic(): number {
		return this.#now;
	}

	override readBootTime(): number {
		return this.#now + this.#suspendedMs;
	}

	override readWall(): number {
		return this.#now + this.#wallOffset;
	}

	override startTimer(ms: number, run: () => void): () => void {
		const timer: Timer = {wakeAt: this.#now + ms, wake: run};
		this.#timers.add(timer);
		return () => {
			this.#timers.delete(timer);
		};
	}

	override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const wakeEarly = (): void => {
				this.#timers.delete(timer);
				resolve();
			};

			const timer: Timer = {
				wakeAt: this.#now + ms,
				wake() {
					signal?.removeEventListener('abort', wakeEarly);
					resolve();
				},
			};
			this.#timers.add(timer);
			signal?.addEventListener('abort', wakeEarly, {once: true});
		});
	}

	/** Number of timers that have not fired. */
	get pendingTimerCount(): number {
		return this.#timers.size;
	}

	/** Shifts the wall clock by `ms` milliseconds; the monotonic clock does not change. */
	jumpWall(ms: number): void {
		this.#wallOffset += ms;
	}

	/** Simulates a suspension of `ms` milliseconds, which the monotonic clock does not include. */
	addSuspension(ms: number): void {
		this.#suspendedMs += ms;
		this.#wallOffset += ms;
	}

	/** Advances time by `ms` milliseconds and fires the due timers in order. */
	async advance(ms: number): Promise<void> {
		const end = this.#now + ms;
		await flushTasks();
		for (let next = this.#findNextTimer(end); next !== undefined; next = this.#findNextTimer(end)) {
			this.#now = Math.max(this.#now, next.wakeAt);
			this.#timers.delete(next);
			next.wake();
			await flushTasks();
		}

		this.#now = end;
	}

	#findNextTimer(end: number): Timer | undefined {
		let earliest: Timer | undefined;
		for (const timer of this.#timers) {
			if (timer.wakeAt <= end && (earliest === undefined || timer.wakeAt < earliest.wakeAt)) {
				earliest = timer;
			}
		}

		return earliest;
	}
}

async function flushTasks(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}
