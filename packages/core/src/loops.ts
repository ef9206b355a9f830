/**
 * Periodic tasks that run until they are closed.
 */
import {type Clock} from './clocks.js';

export type LoopOptions = {
	readonly clock: Clock;
	/** Delay between two runs, in milliseconds. */
	readonly intervalMs: number;
	/** One run of the task; `signal` aborts when the loop is closed. */
	readonly run: (signal: AbortSignal) => Promise<void>;
	/** Called with the error of a failed run; the loop continues. */
	readonly onError: (error: unknown) => void;
};

/**
 * Runs a task periodically, without overlapping runs.
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

	/** Stops the loop and waits for the run in progress. */
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
