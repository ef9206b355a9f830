/**
 * Index of queues by host and path prefix, so that a request costs the same however many queues there are.
 */
import {type Queue} from './configurations.js';

/** The queues of one host by their prefixes, and the lengths of these, longest first. */
type HostQueues = {readonly byPrefix: Map<string, Queue>; lengths: number[]};

/** Finds the queue of a request: the one with the longest matching path prefix among the queues of its host. */
export class QueueIndex {
	/** Creates an index; of two queues with the same host and prefix, the first counts. */
	static create(queues: readonly Queue[]): QueueIndex {
		const index = new QueueIndex();
		for (const queue of queues) {
			index.#add(queue);
		}

		for (const hostQueues of index.#hosts.values()) {
			hostQueues.lengths = [...new Set([...hostQueues.byPrefix.keys()].map(prefix => prefix.length))].toSorted((a, b) => b - a);
		}

		return index;
	}

	readonly #hosts = new Map<string, HostQueues>();

	private constructor() {}

	/**
	 * @example
	 * QueueIndex.create(configuration.queues).findQueue('league.example', '/redraw/5c0e7a21d94b36f8')?.name; // 'redraw'
	 */
	findQueue(host: string, path: string): Queue | undefined {
		const queues = this.#hosts.get(host);
		for (const length of queues?.lengths ?? []) {
			const queue = length > path.length ? undefined : queues!.byPrefix.get(path.slice(0, length));
			if (queue !== undefined) {
				return queue;
			}
		}

		return undefined;
	}

	#add(queue: Queue): void {
		const queues = this.#hosts.get(queue.host) ?? {byPrefix: new Map<string, Queue>(), lengths: []};
		this.#hosts.set(queue.host, queues);
		if (!queues.byPrefix.has(queue.pathPrefix)) {
			queues.byPrefix.set(queue.pathPrefix, queue);
		}
	}
}
