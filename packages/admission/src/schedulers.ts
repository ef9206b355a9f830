/**
 * Interface of the scheduler: a request acquires a slot of a worker and releases it.
 */
import {type CallerId, type VmId} from '@tamarackwind/core';
import {type VmRecord} from '@tamarackwind/clients';
import {
	type ResolvedCaller, type ResolvedPool, type ResolvedService, type WorkClass,
} from '@tamarackwind/settings';

/** A request that waits for a slot. */
export type SlotRequest = {
	readonly pool: ResolvedPool;
	readonly service: ResolvedService;
	readonly caller: ResolvedCaller;
	readonly workClass: WorkClass;
	/** Monotonic time after which the request must not start, in milliseconds. */
	readonly startBy: number;
	/** Earlier failed dispatches of this request. */
	readonly attempts: number;
	/** Workers that the request was already dispatched to. */
	readonly triedVms: ReadonlySet<VmId>;
	/** Whether the request may run again; such requests are preferred as probes of workers that are set aside. */
	readonly isIdempotent?: boolean;
	/** Aborts when the caller disconnects. */
	readonly signal: AbortSignal;
};

/**
 * Outcome of a dispatch, as evidence of the worker's health.
 *
 * - `answered`: a complete response with a status below 500.
 * - `error-answer`: a complete response with a status of 500 or above.
 * - `unsent`: the connection could not be opened.
 * - `failed`: the connection failed or the response was cut after bytes were sent.
 * - `timed-out`: the deadline passed after the dispatch.
 * - `caller-gone`: the caller disconnected; no evidence.
 */
export type DispatchOutcome = 'answered' | 'error-answer' | 'unsent' | 'failed' | 'timed-out' | 'caller-gone';

/** The right to run one request on one worker. */
export abstract class SlotGrant {
	abstract readonly vm: VmRecord;

	/** Releases the slot; further calls do nothing. */
	abstract release(outcome: DispatchOutcome): void;
}

/** Grants slots of the pools to requests. */
export abstract class Scheduler {
	/**
	 * Waits for a slot.
	 *
	 * @throws {VerdictError} `not-run`, with code `queue_full`, `start_deadline`, `no_worker`, `retry_budget` or `caller_gone`.
	 */
	abstract acquireSlot(request: SlotRequest): Promise<SlotGrant>;

	/** Returns the seconds after which a refused caller should retry. */
	abstract suggestRetryAfter(pool: ResolvedPool, caller: CallerId): number;

	/** Marks a VM as leaving, as announced in one of its responses; it gets no new work. */
	abstract markLeaving(vmId: VmId): void;

	abstract close(): Promise<void>;
}
