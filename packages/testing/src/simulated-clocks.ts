/**
 * Implements a clock for discrete-event simulation.
 */
import {Clock} from '@tamarackwind/core';

type Event = {readonly at: number; readonly order: number; readonly run: () => void; isCancelled: boolean};

function isBefore(a: Event, b: Event): boolean {
	return a.at < b.at || (a.at === b.at && a.order < b.order);
}

/** Runs events in order of time; promise callbacks that an event triggers run before the next event. */
export class SimulatedClock extends Clock {
	static create(startMs = 0): SimulatedClock {
		return new SimulatedClock(startMs);
	}

	readonly #heap: Event[] = [];
	#now: number;
	#nextOrder = 0;

	private constructor(startMs: number) {
		super();
		this.#now = startMs;
	}

	override readMonotonic(): number {
		return this.#now;
	}

	override readWall(): number {
		return this.#now;
	}

	override startTimer(ms: number, run: () => void): () => void {
		const event = this.schedule(ms, run);
		return () => {
			event.isCancelled = true;
		};
	}

	override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const event = this.schedule(ms, () => {
				signal?.removeEventListener('abort', cancel);
				resolve();
			});
			const cancel = (): void => {
				event.isCancelled = true;
				resolve();
			};

			signal?.addEventListener('abort', cancel, {once: true});
		});
	}

	/** Schedules a function to run after `ms` milliseconds of simulated time. */
	schedule(ms: number, run: () => void): Event {
		const event: Event = {
			at: this.#now + Math.max(0, ms), order: this.#nextOrder++, run, isCancelled: false,
		};
		this.#push(event);
		return event;
	}

	/** Advances simulated time by `ms` milliseconds and runs the events that are due. */
	async run(ms: number): Promise<void> {
		const end = this.#now + ms;
		await flushPromises();
		while (this.#heap.length > 0 && this.#heap[0]!.at <= end) {
			const event = this.#pop();
			this.#now = event.at;
			if (!event.isCancelled) {
				event.run();
				await flushPromises();
			}
		}

		this.#now = end;
	}

	#push(event: Event): void {
		const heap = this.#heap;
		let index = heap.push(event) - 1;
		while (index > 0) {
			const parent = (index - 1) >> 1;
			if (isBefore(heap[parent]!, event)) {
				break;
			}

			heap[index] = heap[parent]!;
			index = parent;
		}

		heap[index] = event;
	}

	#pop(): Event {
		const heap = this.#heap;
		const first = heap[0]!;
		const last = heap.pop()!;
		if (heap.length > 0) {
			this.#siftDown(last);
		}

		return first;
	}

	#siftDown(event: Event): void {
		const heap = this.#heap;
		let index = 0;
		for (;;) {
			let child = (2 * index) + 1;
			if (child >= heap.length) {
				break;
			}

			if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
				child++;
			}

			if (isBefore(event, heap[child]!)) {
				break;
			}

			heap[index] = heap[child]!;
			index = child;
		}

		heap[index] = event;
	}
}

async function flushPromises(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}
