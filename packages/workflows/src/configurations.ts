/**
 * What the operator has declared: queues, pools and waves.
 */
import {type ServiceName, type VmId} from '@tamarackwind/core';
import {type QueuePolicy} from '@tamarackwind/scheduling';

/** A queue: where its jobs are submitted and which pool runs them. */
export type Queue = {
	readonly name: string;
	readonly host: string;
	readonly pathPrefix: string;
	readonly service: ServiceName;
	/** Longest time for an answer to a client, in milliseconds. */
	readonly timeoutMs: number;
	readonly policy: QueuePolicy;
};

/** A pool of VMs and the service that it runs. */
export type Pool = {
	readonly name: ServiceName;
	/** VMs of a spare pool are off. */
	readonly isSpare: boolean;
};

export type RequestLimits = {readonly maxBodyBytes: number};

/** One version of the declarations. */
export type Configuration = {
	readonly version: number;
	readonly queues: readonly Queue[];
	readonly pools: readonly Pool[];
	readonly limits: RequestLimits;
};

/** A wave of upkeep that the operator asks for. */
export type WaveRequest = {
	readonly id: string;
	readonly vms: readonly VmId[];
	readonly durationMs: number;
	/** Most VMs that are down for it at once. */
	readonly cap: number;
};

/** Finds the queue of a request: the longest prefix of its path among the queues of its host. */
export function matchQueue(configuration: Configuration, host: string, path: string): Queue | undefined {
	let best: Queue | undefined;
	for (const queue of configuration.queues) {
		if (queue.host === host && path.startsWith(queue.pathPrefix) && queue.pathPrefix.length > (best?.pathPrefix.length ?? -1)) {
			best = queue;
		}
	}

	return best;
}
