/**
 * Abstract clients of workers, the worker registry, the placement policy and VM control.
 */
import {
	type JobId, type PoolName, type VmId, type ZoneName,
} from '@tamarackwind/core';
import {type Resources} from '@tamarackwind/scheduling';
import {type RunKey, type WorkerIncarnation} from './jobs.js';

/** A worker as listed by the registry. */
export type WorkerRecord = WorkerIncarnation & {
	readonly pool: PoolName;
	/** Host and port of its control API. */
	readonly address: string;
	readonly zone: ZoneName;
	readonly isDraining: boolean;
	/** Minimum time until a draining worker shuts down, in milliseconds. */
	readonly remainingMs?: number;
	readonly capacity: Resources;
	/** Kind and rack of the VM. */
	readonly labels: readonly string[];
};

/** Parameters of a run's start. */
export type StartOrder = {
	readonly key: RunKey;
	readonly payload: string;
	/** End of the lease of all runs on the worker, on the worker's clock in milliseconds. */
	readonly leaseUntil: number;
	readonly fencingToken: number;
	readonly checkpoint?: string;
	/** Ticket with which the queue's placement policy allows the start. */
	readonly ticket?: string;
};

/** Reason for which a worker refused a start; the run has not begun. */
export type StartRefusal = 'fenced' | 'superseded' | 'expired' | 'no-room' | 'no-ticket' | 'unhealthy' | 'other-life' | 'invalid';

/** Outcome of a start whose response arrived. */
export type StartOutcome = {readonly status: 'started'} | {readonly status: 'refused'; readonly reason: StartRefusal};

/** Outcome of any other order whose response arrived. */
export type OrderOutcome = 'done' | 'refused' | 'other-life';

/** How a run ended. */
export type RunEnding = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** An active run as listed by a worker. */
export type ListedRun = {
	readonly key: RunKey;
	/** Latest checkpoint; empty when there is none. */
	readonly checkpoint: string;
	readonly percent: number;
	/** Tail latency in milliseconds for a serving task; CPU in use for any other. */
	readonly load: number;
};

/** An ended run as listed by a worker. */
export type ListedEnd = {
	/** Sequence number of the end within the worker's incarnation. */
	readonly sequence: number;
	readonly key: RunKey;
	readonly ending: RunEnding;
	readonly checkpoint: string;
};

/** A worker's listing of its runs. */
export type WorkerListing = {
	readonly status: 'listed';
	readonly startedAt: number | undefined;
	/** Reading of the worker's monotonic clock, in milliseconds. */
	readonly clock: number;
	readonly running: readonly ListedRun[];
	readonly ends: readonly ListedEnd[];
	/** Whether all ends that are not acknowledged are listed; a worker lists a limited number, the oldest first. */
	readonly areEndsComplete: boolean;
};

export type LeaseRenewal = {
	readonly fencingToken: number;
	/** Sequence number up to which ends are acknowledged; the worker may drop them. */
	readonly acknowledgedEnds: number;
	/** End of the lease of all runs on the worker, on the worker's clock in milliseconds; without it the lease is not renewed. */
	readonly leaseUntil?: number;
	/** Maximum time for which the worker holds the call open until a run ends, in milliseconds. */
	readonly waitMs?: number;
};

export type LeaseRenewalOutcome = WorkerListing | {readonly status: 'fenced'} | {readonly status: 'other-life'};

/**
 * Sends orders to workers. Every method throws a `VerdictError` when no response arrived: `not-run` when the order can't have reached
 * the worker, otherwise `may-have-run`, in which case it may take effect even seconds later.
 */
export abstract class WorkerControl {
	/** Number of orders to one worker that can be open at a time beside a listing; further ones would wait for a connection. */
	abstract getOrderLimit(): number;

	/** Starts a run. */
	abstract startRun(worker: WorkerRecord, order: StartOrder): Promise<StartOutcome>;

	/** Stops a run; if the run has not arrived yet, the worker refuses its start from then on. */
	abstract stopRun(worker: WorkerRecord, order: {readonly key: RunKey; readonly fencingToken: number}): Promise<OrderOutcome>;

	/** Renews the lease of all runs on a worker and lists the runs. */
	abstract renewLease(worker: WorkerRecord, order: LeaseRenewal): Promise<LeaseRenewalOutcome>;

	/** Throttles a run to a percentage of its full speed. */
	abstract throttleRun(worker: WorkerRecord, order: {readonly key: RunKey; readonly percent: number; readonly fencingToken: number}): Promise<OrderOutcome>;

	/** Releases the connections to all workers except the given ones. */
	abstract releaseExcept(workers: readonly WorkerRecord[]): Promise<void>;

	abstract close(): Promise<void>;
}

/** Client of the registry of live workers. */
export abstract class WorkerRegistry {
	/** Lists the workers as soon as the list has changed or after `waitMs`; invalid entries are skipped. */
	abstract watchWorkers(waitMs: number): Promise<WorkerRecord[]>;
}

/** Client of an external placement policy. */
export abstract class PlacementAdvisor {
	/** Requests tickets that allow workers to run a step; resolves to the tickets by worker. */
	abstract requestTickets(step: {readonly job: JobId; readonly occurrence: number; readonly step: number}, workers: readonly VmId[]): Promise<PlacementAdvice>;
}

export type PlacementAdvice = {
	readonly tickets: ReadonlyMap<VmId, string>;
	/** Validity of the tickets, in milliseconds. */
	readonly validMs: number;
};

/** A VM as listed by VM control. */
export type FleetVm = {
	readonly id: VmId;
	readonly pool: PoolName;
	readonly state: 'up' | 'moving' | 'upkeep' | 'down';
	readonly zone: ZoneName;
	readonly labels: readonly string[];
	readonly capacity: Resources;
	/** Worker on the VM while it is up. */
	readonly worker?: VmId;
};

/** Holder and fencing token of an order; a VM that gets interleaved orders of several holders refuses them or ends up in a wrong state. */
export type OrderFence = {readonly holder: string; readonly fencingToken: number};

export type FleetOrderOutcome = 'accepted' | 'busy' | 'refused';

/** Client of VM control. Methods throw a `VerdictError` when no response arrived. */
export abstract class FleetControl {
	abstract listVms(): Promise<FleetVm[]>;
	/** Moves a VM to another pool; all runs on it end immediately. */
	abstract moveVm(vm: VmId, pool: PoolName, fence: OrderFence): Promise<FleetOrderOutcome>;
	/** Starts the maintenance of a VM; all runs on it end immediately. */
	abstract maintainVm(vm: VmId, wave: string, fence: OrderFence): Promise<FleetOrderOutcome>;
}
