/**
 * Loops: a named task that repeats until it is closed.
 */
import {type Clock} from './clocks.js';

export type LoopOptions = {
	readonly clock: Clock;
	/** Pause between two turns, in milliseconds. */
	readonly intervalMs: number;
	/** One turn; `signal` aborts when the loop is closed. */
	readonly run: (signal: AbortSignal) => Promise<void>;
	/** Called with whatever a turn threw; the loop goes on. */
	readonly onError: (error: unknown) => void;
};

/**
 * Runs a task again and again, one turn at a time.
 *
 * @example
 * const loop = Loop.create({clock, intervalMs: 500, run: async () => poll(), onError: error => count(error)});
 * await loop.close();
 */
export class Loop {
	static create(options: LoopOptions): Loop {
		return new Loop(options);
	}

	readonly #controller = new AbortController();
	readonly #done: Promise<void>;

	private constructor(options: LoopOptions) {
		this.#done = this.#run(options);
	}

	/** Stops the loop and waits for the turn in progress. */
	async close(): Promise<void> {
		this.#controller.abort();
		await this.#done;
	}

	async #run({clock, intervalMs, run, onError}: LoopOptions): Promise<void> {
		const {signal} = this.#controller;
		while (!signal.aborted) {
			try {
				await run(signal);
			} catch (error) {
				onError(error);
			}

			await clock.sleep(intervalMs, signal);
		}
	}
}
