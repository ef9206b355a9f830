/**
 * Limits the orders that are open at one worker at a time, so that the time limit of an order begins when it is sent, not when it is made.
 */
import {type Clock} from '@tamarackwind/core';
import PQueue from 'p-queue';

/** Priority of an order; higher ones are sent first. */
export const orderPriorities = {start: 0, stop: 1} as const;

export type OrderQueueOptions = {
	readonly clock: Clock;
	/** Number of orders that are open at a time. */
	readonly maxOpen: number;
};

/** Response time that is assumed before the first response, in milliseconds. */
const initialResponseMs = 5;
/** Weight of the last response in the mean. */
const responseWeight = 0.1;
/** Smallest interval between two orders, in milliseconds, so that a worker that responds at once counts as limited too. */
const minIntervalMs = 1;

/** Sends the orders to one worker by priority, and those of one priority in the order in which they were made. */
export class OrderQueue {
	static create(options: OrderQueueOptions): OrderQueue {
		return new OrderQueue(options);
	}

	readonly #options: OrderQueueOptions;
	readonly #queue: PQueue;
	#responseMs = initialResponseMs;

	private constructor(options: OrderQueueOptions) {
		this.#options = options;
		this.#queue = new PQueue({concurrency: options.maxOpen});
	}

	/** Mean interval at which the worker takes orders, in milliseconds. */
	get intervalMs(): number {
		return Math.max(minIntervalMs, this.#responseMs / this.#options.maxOpen);
	}

	/** Sends an order once fewer than the limit are open; resolves to its outcome. */
	async send<T>(kind: keyof typeof orderPriorities, order: () => Promise<T>): Promise<T> {
		return this.#queue.add(async () => this.#track(order), {priority: orderPriorities[kind]});
	}

	async #track<T>(order: () => Promise<T>): Promise<T> {
		const {clock} = this.#options;
		const sentAt = clock.readMonotonic();
		try {
			return await order();
		} finally {
			this.#responseMs += (clock.readMonotonic() - sentAt - this.#responseMs) * responseWeight;
		}
	}
}
