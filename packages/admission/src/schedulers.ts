/**
 * The interface between the data path and the decisions: a request asks for a slot and gives it back.
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
	/** Dispatches of this request that failed already. */
	readonly attempts: number;
	/** Workers that the request has met already. */
	readonly triedVms: ReadonlySet<VmId>;
	/** Whether the request may run again; such requests probe workers that are set aside. */
	readonly isIdempotent?: boolean;
	/** Aborts when the caller has gone. */
	readonly signal: AbortSignal;
};

/**
 * How a dispatch ended, as evidence on the worker.
 *
 * - `answered`: a whole answer below status 500.
 * - `error-answer`: a whole answer of status 500 or above.
 * - `unsent`: the connection could not be opened.
 * - `failed`: the connection failed or the answer was cut, after bytes were sent.
 * - `timed-out`: the deadline passed after the dispatch.
 * - `caller-gone`: the caller hung up; no evidence.
 */
export type DispatchOutcome = 'answered' | 'error-answer' | 'unsent' | 'failed' | 'timed-out' | 'caller-gone';

/** The right to run one request on one worker. */
export abstract class SlotGrant {
	abstract readonly vm: VmRecord;

	/** Gives the slot back; further calls do nothing. */
	abstract release(outcome: DispatchOutcome): void;
}

/** Hands out the slots of the pools. */
export abstract class Scheduler {
	/**
	 * Waits for a slot.
	 *
	 * @throws {VerdictError} `not-run`, with code `queue_full`, `start_deadline`, `no_worker`, `retry_budget` or `caller_gone`.
	 */
	abstract acquireSlot(request: SlotRequest): Promise<SlotGrant>;

	/** Seconds after which a refused caller may try again. */
	abstract suggestRetryAfter(pool: ResolvedPool, caller: CallerId): number;

	/** Tells whether a VM is about to leave, as an answer of it said; it gets no new work. */
	abstract noteLeaving(vmId: VmId): void;

	abstract close(): Promise<void>;
}
