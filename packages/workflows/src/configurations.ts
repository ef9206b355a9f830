/**
 * Types of the operator's declarations: queues, pools and waves.
 */
import {type ServiceName, type VmId} from '@tamarackwind/core';
import {type QueuePolicy} from '@tamarackwind/scheduling';
import {type ClientAccount} from './accounts.js';

/** A queue: the host and path at which its jobs are submitted, and the pool that runs them. */
export type Queue = {
	readonly name: string;
	readonly host: string;
	readonly pathPrefix: string;
	readonly service: ServiceName;
	/** Maximum response time for a client's request, in milliseconds. */
	readonly timeoutMs: number;
	readonly policy: QueuePolicy;
	/** Whether requests need no key of an account; has no meaning without accounts. */
	readonly isOpen?: boolean;
};

/** A pool of VMs; its name is also the name of its service. */
export type Pool = {
	readonly name: ServiceName;
	/** Whether the pool holds spare VMs, which are switched off. */
	readonly isSpare: boolean;
};

/** Limits on requests; those of connections have defaults of their own where the configuration names none. */
export type RequestLimits = {
	/** Maximum size of a body, in bytes. */
	readonly maxBodyBytes: number;
	/** Maximum size of the header fields, in bytes. */
	readonly maxHeaderBytes?: number;
	/** Maximum time until the end of the header fields, in milliseconds. */
	readonly headerTimeoutMs?: number;
	/** Maximum time of a connection without a request, in milliseconds. */
	readonly idleTimeoutMs?: number;
};

/** One version of the declared queues, pools and limits. */
export type Configuration = {
	readonly version: number;
	readonly queues: readonly Queue[];
	readonly pools: readonly Pool[];
	readonly limits: RequestLimits;
	/** Client accounts; `undefined` where requests are not authenticated. */
	readonly accounts?: readonly ClientAccount[];
};

/** A wave of VM maintenance that the operator has requested. */
export type WaveRequest = {
	readonly id: string;
	readonly vms: readonly VmId[];
	readonly durationMs: number;
	/** Maximum number of VMs that the wave may take down at once. */
	readonly cap: number;
};
