/**
 * Limits the orders that are open at one worker at a time, so that the time limit of an order begins when it is sent, not when it is made.
 */
import PQueue from 'p-queue';

/** Priority of an order; higher ones are sent first. */
export const orderPriorities = {start: 0, stop: 1} as const;

export type OrderQueueOptions = {
	/** Number of orders that are open at a time. */
	readonly maxOpen: number;
};

/** Sends the orders to one worker by priority, and those of one priority in the order in which they were made. */
export class OrderQueue {
	static create(options: OrderQueueOptions): OrderQueue {
		return new OrderQueue(options);
	}

	readonly #queue: PQueue;

	private constructor({maxOpen}: OrderQueueOptions) {
		this.#queue = new PQueue({concurrency: maxOpen});
	}

	/** Number of orders that have not been sent yet. */
	get waitingCount(): number {
		return this.#queue.size;
	}

	/** Sends an order once fewer than the limit are open; resolves to its outcome. */
	async send<T>(kind: keyof typeof orderPriorities, order: () => Promise<T>): Promise<T> {
		return this.#queue.add(order, {priority: orderPriorities[kind]});
	}
}
