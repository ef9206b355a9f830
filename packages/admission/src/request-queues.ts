/**
 * Queue of the requests that wait at this entry for slots of one pool, grouped by caller, class and workers already tried.
 */
import {type CallerId, type Clock} from '@tamarackwind/core';
import {type FlowDemand} from '@tamarackwind/peer';
import {type SlotRequest} from './schedulers.js';
import {type UsageHistory} from './usage-histories.js';

/** A request in the queue. */
export type Waiter<T> = {
	readonly request: SlotRequest;
	readonly enqueuedAt: number;
	readonly accept: (value: T) => void;
	readonly refuse: (error: Error) => void;
};

/** Queue of the requests of one caller and class that have tried the same workers. */
export type RequestFlow<T> = {
	readonly id: number;
	readonly key: string;
	/** Class and caller; key of the usage history. */
	readonly usageKey: string;
	readonly waiters: Array<Waiter<T>>;
	isDirty: boolean;
	/** Mean time between two starts while requests wait, in milliseconds; 0 before the second start. */
	meanStartIntervalMs: number;
	starts: number;
	lastStartAt: number;
};

/** Minimum number of starts from which the waiting time is estimated. */
const minStartsToEstimate = 3;
const startIntervalSmoothing = 0.1;
/** Time after which an idle flow is evicted, in milliseconds. */
const idleFlowMs = 30_000;

/** Flows of one pool. */
export class RequestQueue<T> {
	static create<T>(clock: Clock): RequestQueue<T> {
		return new RequestQueue<T>(clock);
	}

	readonly #clock: Clock;
	readonly #flows = new Map<string, RequestFlow<T>>();
	readonly #byId = new Map<number, RequestFlow<T>>();
	#nextId = 1;
	#size = 0;
	#poolStarts = {meanMs: 0, starts: 0, lastAt: 0};

	private constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Number of waiting requests. */
	get size(): number {
		return this.#size;
	}

	getFlow(id: number): RequestFlow<T> | undefined {
		return this.#byId.get(id);
	}

	/** Returns the flow of a request; creates it if there is none. */
	ensureFlow({caller, workClass, triedVms}: SlotRequest): RequestFlow<T> {
		const key = [workClass, caller.id, ...[...triedVms].toSorted()].join(' ');
		const known = this.#flows.get(key);
		if (known !== undefined) {
			return known;
		}

		const flow: RequestFlow<T> = {
			id: this.#nextId++, key, usageKey: `${workClass} ${caller.id}`, waiters: [], isDirty: false, meanStartIntervalMs: 0, starts: 0, lastStartAt: this.#clock.readMonotonic(),
		};
		this.#flows.set(key, flow);
		this.#byId.set(flow.id, flow);
		return flow;
	}

	addWaiter(flow: RequestFlow<T>, waiter: Waiter<T>): void {
		if (flow.waiters.length === 0) {
			flow.lastStartAt = this.#clock.readMonotonic();
		}

		if (this.#size === 0) {
			this.#poolStarts.lastAt = this.#clock.readMonotonic();
		}

		flow.waiters.push(waiter);
		flow.isDirty = true;
		this.#size++;
	}

	/** Removes and returns the first request of a flow that `isEligible` accepts, and records its start. */
	takeWaiter(flow: RequestFlow<T>, isEligible: (waiter: Waiter<T>) => boolean): Waiter<T> | undefined {
		const index = flow.waiters.findIndex(waiter => isEligible(waiter));
		if (index === -1) {
			return undefined;
		}

		this.#recordStart(flow);
		return this.#removeAt(flow, index);
	}

	/** Removes a request that was refused or cancelled. */
	removeWaiter(flow: RequestFlow<T>, waiter: Waiter<T>): void {
		const index = flow.waiters.indexOf(waiter);
		if (index !== -1) {
			this.#removeAt(flow, index);
		}
	}

	/** Removes and returns the requests past their latest start time, and evicts idle flows. */
	removeOverdue(): Array<Waiter<T>> {
		const now = this.#clock.readMonotonic();
		const overdue: Array<Waiter<T>> = [];
		for (const flow of this.#flows.values()) {
			for (const waiter of flow.waiters.filter(({request}) => request.startBy <= now)) {
				this.removeWaiter(flow, waiter);
				overdue.push(waiter);
			}

			if (flow.waiters.length === 0 && !flow.isDirty && now - flow.lastStartAt > idleFlowMs) {
				this.#flows.delete(flow.key);
				this.#byId.delete(flow.id);
			}
		}

		return overdue;
	}

	/** Estimates how long a request that joins the flow now would wait, in milliseconds. */
	estimateWaitMs(flow: RequestFlow<T>): number {
		if (flow.waiters.length === 0) {
			return 0;
		}

		const now = this.#clock.readMonotonic();
		const ahead = flow.waiters.length + 1;
		if (flow.starts >= minStartsToEstimate) {
			return (ahead * flow.meanStartIntervalMs) + (now - flow.lastStartAt);
		}

		return this.#poolStarts.starts < minStartsToEstimate ? 0 : ahead * this.#poolStarts.meanMs * this.#countBackloggedFlows();
	}

	/** Estimates the longest wait of a caller's next request over its classes, in milliseconds. */
	estimateCallerWaitMs(caller: CallerId): number {
		const waits = [...this.#flows.values()]
			.filter(({waiters}) => waiters[0]?.request.caller.id === caller)
			.map(flow => this.estimateWaitMs(flow));
		return Math.max(0, ...waits);
	}

	/** Returns the demand of the flows that changed; with `isComplete`, of every flow with waiting requests. */
	collectDemand(isComplete: boolean, usages: UsageHistory): FlowDemand[] {
		const now = this.#clock.readMonotonic();
		const demands: FlowDemand[] = [];
		for (const flow of this.#flows.values()) {
			if (flow.isDirty || (isComplete && flow.waiters.length > 0)) {
				demands.push(buildDemand(flow, now, usages));
			}

			flow.isDirty = false;
		}

		return demands;
	}

	/** Lists all waiting requests. */
	listWaiters(): Array<Waiter<T>> {
		return [...this.#flows.values()].flatMap(flow => flow.waiters);
	}

	#removeAt(flow: RequestFlow<T>, index: number): Waiter<T> {
		const [waiter] = flow.waiters.splice(index, 1);
		flow.isDirty = true;
		this.#size--;
		return waiter!;
	}

	#recordStart(flow: RequestFlow<T>): void {
		const now = this.#clock.readMonotonic();
		const intervalMs = now - flow.lastStartAt;
		flow.meanStartIntervalMs = flow.starts === 0 ? intervalMs : flow.meanStartIntervalMs + ((intervalMs - flow.meanStartIntervalMs) * startIntervalSmoothing);
		flow.starts++;
		flow.lastStartAt = now;
		const poolIntervalMs = now - this.#poolStarts.lastAt;
		this.#poolStarts = {
			meanMs: this.#poolStarts.starts === 0 ? poolIntervalMs : this.#poolStarts.meanMs + ((poolIntervalMs - this.#poolStarts.meanMs) * startIntervalSmoothing),
			starts: this.#poolStarts.starts + 1,
			lastAt: now,
		};
	}

	#countBackloggedFlows(): number {
		let count = 0;
		for (const flow of this.#flows.values()) {
			count += flow.waiters.length > 0 ? 1 : 0;
		}

		return count;
	}
}

/** Rounds to three decimals, so that small changes are not reported to the broker. */
function toReportedSlots(slots: number): number {
	return Math.fround(Math.round(slots * 1000) / 1000);
}

function buildDemand<T>({id, usageKey, waiters}: RequestFlow<T>, now: number, usages: UsageHistory): FlowDemand {
	const [first] = waiters;
	return {
		flow: id,
		caller: first?.request.caller.id ?? '',
		workClass: first?.request.workClass ?? '',
		queued: waiters.length,
		waitedMs: first === undefined ? 0 : Math.round(now - first.enqueuedAt),
		triedVms: first === undefined ? [] : [...first.request.triedVms],
		isIdempotent: waiters.some(({request}) => request.isIdempotent !== false),
		weight: first?.request.caller.weight ?? 1,
		usualSlots: first === undefined ? 0 : toReportedSlots(usages.readSlots(usageKey)),
	};
}
