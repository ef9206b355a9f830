/**
 * Requests that wait at this entry for slots of one pool, by flow: one caller, class and set of workers already met.
 */
import {type CallerId, type Clock} from '@tamarackwind/core';
import {type FlowDemand} from '@tamarackwind/peer';
import {type SlotRequest} from './schedulers.js';
import {type UsageHistory} from './usages.js';

/** A request in the queue. */
export type Waiter<T> = {
	readonly request: SlotRequest;
	readonly since: number;
	readonly accept: (value: T) => void;
	readonly refuse: (error: Error) => void;
};

/** Requests of one caller and class that met the same workers. */
export type RequestFlow<T> = {
	readonly id: number;
	readonly key: string;
	/** Class and caller, by which use is averaged. */
	readonly usageKey: string;
	readonly waiters: Array<Waiter<T>>;
	isDirty: boolean;
	/** Mean time between two starts while requests wait, in milliseconds; 0 before the second start. */
	meanGapMs: number;
	starts: number;
	lastStartAt: number;
};

/** Starts after which the gaps of a flow are trusted. */
const minStarts = 3;
const gapSmoothing = 0.1;
/** Time after which an idle flow is forgotten, in milliseconds. */
const idleFlowMs = 30_000;

/** The flows of one pool. */
export class RequestQueue<T> {
	static create<T>(clock: Clock): RequestQueue<T> {
		return new RequestQueue<T>(clock);
	}

	readonly #clock: Clock;
	readonly #flows = new Map<string, RequestFlow<T>>();
	readonly #byId = new Map<number, RequestFlow<T>>();
	#nextId = 1;
	#size = 0;
	#gap = {meanMs: 0, starts: 0, lastAt: 0};

	private constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Requests that wait. */
	get size(): number {
		return this.#size;
	}

	getFlow(id: number): RequestFlow<T> | undefined {
		return this.#byId.get(id);
	}

	/** Finds the flow of a request, a new one when there is none. */
	ensureFlow({caller, workClass, triedVms}: SlotRequest): RequestFlow<T> {
		const key = [workClass, caller.id, ...[...triedVms].toSorted()].join(' ');
		const known = this.#flows.get(key);
		if (known !== undefined) {
			return known;
		}

		const flow: RequestFlow<T> = {
			id: this.#nextId++, key, usageKey: `${workClass} ${caller.id}`, waiters: [], isDirty: false, meanGapMs: 0, starts: 0, lastStartAt: this.#clock.readMonotonic(),
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
			this.#gap.lastAt = this.#clock.readMonotonic();
		}

		flow.waiters.push(waiter);
		flow.isDirty = true;
		this.#size++;
	}

	/** Takes the first request of a flow that `isEligible`, to be started now. */
	takeWaiter(flow: RequestFlow<T>, isEligible: (waiter: Waiter<T>) => boolean): Waiter<T> | undefined {
		const index = flow.waiters.findIndex(waiter => isEligible(waiter));
		if (index === -1) {
			return undefined;
		}

		this.#noteStart(flow);
		return this.#removeAt(flow, index);
	}

	/** Removes a request that is refused. */
	removeWaiter(flow: RequestFlow<T>, waiter: Waiter<T>): void {
		const index = flow.waiters.indexOf(waiter);
		if (index !== -1) {
			this.#removeAt(flow, index);
		}
	}

	/** Removes the requests that can't start any more, and forgets flows that are idle. */
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
		if (flow.starts >= minStarts) {
			return ahead * Math.max(flow.meanGapMs, (now - flow.lastStartAt) / 2);
		}

		return this.#gap.starts < minStarts ? 0 : ahead * this.#gap.meanMs * this.#countBacklogged();
	}

	/** Estimates the longest wait of a caller's next request over its classes, in milliseconds. */
	estimateCallerWaitMs(caller: CallerId): number {
		const waits = [...this.#flows.values()]
			.filter(({waiters}) => waiters[0]?.request.caller.id === caller)
			.map(flow => this.estimateWaitMs(flow));
		return Math.max(0, ...waits);
	}

	/** Lists the flows as demand, only those that changed unless `isComplete`. */
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

	/** Lists every request that waits. */
	listWaiters(): Array<Waiter<T>> {
		return [...this.#flows.values()].flatMap(flow => flow.waiters);
	}

	#removeAt(flow: RequestFlow<T>, index: number): Waiter<T> {
		const [waiter] = flow.waiters.splice(index, 1);
		flow.isDirty = true;
		this.#size--;
		return waiter!;
	}

	#noteStart(flow: RequestFlow<T>): void {
		const now = this.#clock.readMonotonic();
		const gap = now - flow.lastStartAt;
		flow.meanGapMs = flow.starts === 0 ? gap : flow.meanGapMs + ((gap - flow.meanGapMs) * gapSmoothing);
		flow.starts++;
		flow.lastStartAt = now;
		const poolGap = now - this.#gap.lastAt;
		this.#gap = {
			meanMs: this.#gap.starts === 0 ? poolGap : this.#gap.meanMs + ((poolGap - this.#gap.meanMs) * gapSmoothing),
			starts: this.#gap.starts + 1,
			lastAt: now,
		};
	}

	#countBacklogged(): number {
		let count = 0;
		for (const flow of this.#flows.values()) {
			count += flow.waiters.length > 0 ? 1 : 0;
		}

		return count;
	}
}

/** Rounds to a thousandth, so that small changes are not news. */
function toReported(slots: number): number {
	return Math.fround(Math.round(slots * 1000) / 1000);
}

function buildDemand<T>({id, usageKey, waiters}: RequestFlow<T>, now: number, usages: UsageHistory): FlowDemand {
	const [first] = waiters;
	return {
		flow: id,
		caller: first?.request.caller.id ?? '',
		workClass: first?.request.workClass ?? '',
		queued: waiters.length,
		waitedMs: first === undefined ? 0 : Math.round(now - first.since),
		triedVms: first === undefined ? [] : [...first.request.triedVms],
		isIdempotent: waiters.some(({request}) => request.isIdempotent !== false),
		weight: first?.request.caller.weight ?? 1,
		usualSlots: first === undefined ? 0 : toReported(usages.readSlots(usageKey)),
	};
}
