/**
 * Abstract clients of the workers and of what surrounds them.
 */
import {
	type JobId, type PoolName, type VmId, type ZoneName,
} from '@tamarackwind/core';
import {type Resources} from '@tamarackwind/scheduling';
import {type RunKey, type WorkerLife} from './jobs.js';

/** A worker as the registry lists it. */
export type WorkerRecord = WorkerLife & {
	readonly pool: PoolName;
	/** Host and port of its control interface. */
	readonly address: string;
	readonly zone: ZoneName;
	readonly isDraining: boolean;
	/** Least time until a draining worker leaves, in milliseconds. */
	readonly remainingMs?: number;
	readonly capacity: Resources;
	/** Kind and rack of the VM. */
	readonly labels: readonly string[];
};

/** Where a start is to go and what it carries. */
export type StartOrder = {
	readonly key: RunKey;
	readonly payload: string;
	/** Lease of all that runs on the worker, on the worker's clock in milliseconds. */
	readonly leaseUntil: number;
	readonly fencingToken: number;
	readonly checkpoint?: string;
	/** Permission of the queue's placement policy. */
	readonly ticket?: string;
};

/** Why a worker refused a start without having begun it. */
export type StartRefusal = 'fenced' | 'superseded' | 'expired' | 'no-room' | 'no-ticket' | 'unhealthy' | 'other-life' | 'invalid';

/** Outcome of a start whose answer arrived. */
export type StartOutcome = {readonly status: 'started'} | {readonly status: 'refused'; readonly reason: StartRefusal};

/** Outcome of another order whose answer arrived. */
export type OrderOutcome = 'done' | 'refused' | 'other-life';

/** How a run ended. */
export type RunEnding = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** A run that a worker lists as going on. */
export type ListedRun = {
	readonly key: RunKey;
	/** Newest saved progress; empty when there is none. */
	readonly checkpoint: string;
	readonly percent: number;
	/** Tail of the response times in milliseconds for a serving task, `cpu` in use for any other. */
	readonly load: number;
};

/** A run that a worker lists as ended. */
export type ListedEnd = {
	/** Number of the end in the worker's life. */
	readonly sequence: number;
	readonly key: RunKey;
	readonly ending: RunEnding;
	readonly checkpoint: string;
};

/** What a worker tells of its runs. */
export type WorkerListing = {
	readonly status: 'listed';
	readonly bornAt: number | undefined;
	/** The worker's steady clock in milliseconds. */
	readonly clock: number;
	readonly running: readonly ListedRun[];
	readonly ends: readonly ListedEnd[];
};

export type HoldOrder = {
	readonly fencingToken: number;
	/** Ends up to this one are safe and may be forgotten. */
	readonly seenEnds: number;
	/** Lease of all that runs there, on the worker's clock in milliseconds. */
	readonly leaseUntil?: number;
	/** Longest wait for an end, in milliseconds. */
	readonly waitMs?: number;
};

export type HoldOutcome = WorkerListing | {readonly status: 'fenced'} | {readonly status: 'other-life'};

/**
 * Orders to workers. Every method throws a `VerdictError` when no answer arrived: `not-run` when the order can't have reached
 * the worker, else `may-have-run`, also seconds later.
 */
export abstract class WorkerControl {
	/** Starts a run. */
	abstract startRun(worker: WorkerRecord, order: StartOrder): Promise<StartOutcome>;

	/** Stops a run; a run that is not there yet will be refused from then on. */
	abstract stopRun(worker: WorkerRecord, order: {readonly key: RunKey; readonly fencingToken: number}): Promise<OrderOutcome>;

	/** Renews the lease of all that runs on a worker and lists it. */
	abstract holdRuns(worker: WorkerRecord, order: HoldOrder): Promise<HoldOutcome>;

	/** Lets a task work at a share of its speed, in percent. */
	abstract throttleRun(worker: WorkerRecord, order: {readonly key: RunKey; readonly percent: number; readonly fencingToken: number}): Promise<OrderOutcome>;

	/** Releases the connections to workers that are no longer listed. */
	abstract releaseExcept(workers: readonly WorkerRecord[]): Promise<void>;

	abstract close(): Promise<void>;
}

/** The list of workers that are up. */
export abstract class WorkerRegistry {
	/** Lists the workers that can be understood, as soon as the list has changed or after `waitMs`; entries that can't be read name no worker. */
	abstract watchWorkers(waitMs: number): Promise<WorkerRecord[]>;
}

/** A placement policy outside of the product. */
export abstract class PlacementAdvisor {
	/** Asks which of the workers may run a step; resolves to tickets by worker. */
	abstract requestTickets(step: {readonly job: JobId; readonly occurrence: number; readonly step: number}, workers: readonly VmId[]): Promise<PlacementAdvice>;
}

export type PlacementAdvice = {
	readonly tickets: ReadonlyMap<VmId, string>;
	/** Time for which the tickets hold, in milliseconds. */
	readonly validMs: number;
};

/** A VM of the fleet as its control lists it. */
export type FleetVm = {
	readonly id: VmId;
	readonly pool: PoolName;
	readonly state: 'up' | 'moving' | 'upkeep' | 'down';
	readonly zone: ZoneName;
	readonly labels: readonly string[];
	readonly capacity: Resources;
	/** Its worker while it is up. */
	readonly worker?: VmId;
};

/** Who orders; each VM refuses or is confused by holders that take turns. */
export type FleetFence = {readonly holder: string; readonly fencingToken: number};

export type FleetOrderOutcome = 'accepted' | 'busy' | 'refused';

/** Control of the VMs of the fleet. Methods throw a `VerdictError` when no answer arrived. */
export abstract class FleetControl {
	abstract listVms(): Promise<FleetVm[]>;
	/** Moves a VM to another pool; all that runs on it ends at once. */
	abstract moveVm(vm: VmId, pool: PoolName, fence: FleetFence): Promise<FleetOrderOutcome>;
	/** Takes a VM through its upkeep; all that runs on it ends at once. */
	abstract maintainVm(vm: VmId, wave: string, fence: FleetFence): Promise<FleetOrderOutcome>;
}
