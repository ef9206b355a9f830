/**
 * The index of queues against a search through all of them.
 */
import {type ServiceName} from '@tamarackwind/core';
import test from 'ava';
import fc from 'fast-check';
import {QueueIndex, type Queue} from '../src/index.js';

function createQueue(name: string, host: string, pathPrefix: string): Queue {
	return {
		name, host, pathPrefix, service: 'north' as ServiceName, timeoutMs: 0, policy: {
			targetLatencyMs: 0, priority: 0, maxAttempts: 1, slackFactor: 1,
		},
	};
}

/** Searches all queues; of two with the same prefix, the first counts. */
function searchQueues(queues: readonly Queue[], host: string, path: string): Queue | undefined {
	let best: Queue | undefined;
	for (const queue of queues) {
		if (queue.host === host && path.startsWith(queue.pathPrefix) && queue.pathPrefix.length > (best?.pathPrefix.length ?? -1)) {
			best = queue;
		}
	}

	return best;
}

const hosts = fc.constantFrom('a.example', 'b.example', '');
const paths = fc.array(fc.constantFrom('/', 'a', 'b', 'é', '-'), {maxLength: 6}).map(parts => parts.join(''));

// Guards against requests that are served as of another queue.
test('the index finds the same queue as a search through all of them', t => {
	fc.assert(fc.property(fc.array(fc.tuple(hosts, paths), {maxLength: 20}), hosts, paths, (prefixes, host, path) => {
		const queues = prefixes.map(([queueHost, prefix], index) => createQueue(`queue-${index}`, queueHost, prefix));
		t.is(QueueIndex.create(queues).findQueue(host, path), searchQueues(queues, host, path));
	}), {numRuns: 2000});
});
