/**
 * Borrowers: an entry's side of a pool, which queues requests and starts them on the slots that the home entry lends.
 */
import {type Clock, type EntryId, type VmId} from '@tamarackwind/core';
import {
	type LentSlot, type PoolDemand, type ReturnedSlot, type SlotLoan,
} from '@tamarackwind/peer';
import {type VmRecord} from '@tamarackwind/clients';
import {type ResolvedPool} from '@tamarackwind/settings';
import {RequestQueue, type RequestFlow, type Waiter} from './request-queues.js';
import {UsageHistory} from './usages.js';
import {SlotGrant, type DispatchOutcome, type SlotRequest} from './schedulers.js';

export type BorrowerOptions = {
	readonly clock: Clock;
	readonly pool: ResolvedPool;
	readonly sendDemand: (to: EntryId, demand: PoolDemand) => void;
	/** Gives the worker of a lent slot, or `undefined` when it may get no new work. */
	readonly findWorker: (pool: ResolvedPool, vmId: string) => VmRecord | undefined;
	/** Called when a request starts, with the time it waited. */
	readonly onStart: (request: SlotRequest, waitedMs: number) => void;
	readonly onOutcome: (vmId: VmId, request: SlotRequest, outcome: DispatchOutcome) => void;
};

/** Time between two demands that follow each other at once, in milliseconds. */
const demandGapMs = 2;
/** Time after which a demand is sent in full while requests wait. */
const waitingSyncMs = 250;
/** Time after which a demand is sent in full while slots are held. */
const holdingSyncMs = 1000;
/** Time for which a waiting request is left without a sign of the home entry. */
const silenceLimitMs = 750;
/** Slot time for which an entry may start further requests of the same flow on a slot. */
const quantumMs = 100;
const holdSmoothing = 0.05;
/** Longest time for which the slot of a failed request is kept back, in milliseconds. */
const maxCoolingMs = 1000;
/** Requests of a flow from which on the home entry need not hear of each new one at once. */
const backlogSize = 8;

type Held = {
	readonly slot: LentSlot;
	readonly vm: VmRecord;
	readonly flow: RequestFlow<SlotGrant>;
	readonly home: EntryId;
	readonly startedAt: number;
};

class LentGrant extends SlotGrant {
	override readonly vm: VmRecord;
	#end: ((outcome: DispatchOutcome) => void) | undefined;

	constructor(vm: VmRecord, end: (outcome: DispatchOutcome) => void) {
		super();
		this.vm = vm;
		this.#end = end;
	}

	override release(outcome: DispatchOutcome): void {
		const end = this.#end;
		this.#end = undefined;
		end?.(outcome);
	}
}

/** Queues the requests of one pool at this entry. */
export class Borrower {
	static create(options: BorrowerOptions): Borrower {
		return new Borrower(options);
	}

	readonly queue: RequestQueue<SlotGrant>;
	readonly #options: BorrowerOptions;
	readonly #usages: UsageHistory;
	readonly #held = new Map<number, Held>();
	readonly #loanSequences = new Map<EntryId, number>();
	readonly #sentAt = new Map<number, number>();
	#pool: ResolvedPool;
	#returned: ReturnedSlot[] = [];
	#meanHoldMs = 0;
	#home: EntryId | undefined;
	#heardAt = 0;
	#sequence = 0;
	#syncedAt = Number.NEGATIVE_INFINITY;
	#mustSync = true;
	#isIdleTold = true;
	#flushedAt = Number.NEGATIVE_INFINITY;
	#isFlushing = false;
	#hasNews = false;

	private constructor(options: BorrowerOptions) {
		this.#options = options;
		this.#pool = options.pool;
		this.queue = RequestQueue.create(options.clock);
		this.#usages = UsageHistory.create(options.clock);
	}

	/** Requests in flight. */
	get heldCount(): number {
		return this.#held.size;
	}

	get home(): EntryId | undefined {
		return this.#home;
	}

	setPool(pool: ResolvedPool): void {
		this.#pool = pool;
	}

	/** Takes the entry that lends from now on, and tells it everything. */
	setHome(home: EntryId): void {
		if (home === this.#home) {
			return;
		}

		if (this.#returned.length > 0) {
			this.#flush(false);
		}

		this.#home = home;
		this.#heardAt = this.#options.clock.readMonotonic();
		this.#mustSync = true;
		if (!this.#isIdle()) {
			this.#scheduleFlush();
		}
	}

	/** Tells whether requests wait and the home entry has given no sign for long. */
	isHomeSilent(): boolean {
		const now = this.#options.clock.readMonotonic();
		return this.queue.size > 0 && now - this.#heardAt > silenceLimitMs;
	}

	/** Asks another entry for a sign, without asking for slots. */
	probeHome(home: EntryId): void {
		this.#options.sendDemand(home, {...this.#buildDemand(home, true), flows: [], returned: []});
	}

	enqueue(flow: RequestFlow<SlotGrant>, waiter: Waiter<SlotGrant>): void {
		if (this.queue.size === 0) {
			this.#heardAt = this.#options.clock.readMonotonic();
		}

		this.queue.addWaiter(flow, waiter);
		if (flow.waiters.length <= backlogSize) {
			this.#scheduleFlush();
		} else {
			this.#hasNews = true;
		}
	}

	/** Removes a request that no longer waits. */
	cancel(flow: RequestFlow<SlotGrant>, waiter: Waiter<SlotGrant>): void {
		this.queue.removeWaiter(flow, waiter);
		this.#scheduleFlush();
	}

	/** Starts requests on lent slots and gives back those that it can't use. */
	receiveLoan(from: EntryId, loan: SlotLoan): void {
		this.#loanSequences.set(from, loan.sequence);
		if (from === this.#home) {
			this.#heardAt = this.#options.clock.readMonotonic();
		}

		const isFresh = from === this.#home && this.#isFresh(loan);
		for (const slot of loan.slots) {
			if (!isFresh || !this.#startOn(slot, from)) {
				this.#sendReturn(slot.slotId, 0, from);
			}
		}

		if (this.#returned.length > 0) {
			this.#scheduleFlush();
		}
	}

	/** Renews what is held and waited for; call it several times a second. */
	renew(): void {
		this.#usages.trim();
		const intervalMs = this.queue.size > 0 ? waitingSyncMs : holdingSyncMs;
		const isDue = this.#options.clock.readMonotonic() - this.#syncedAt >= intervalMs;
		if (isDue && (!this.#isIdle() || !this.#isIdleTold)) {
			this.#flush(true);
		} else if (this.#hasNews) {
			this.#flush(false);
		}
	}

	#isIdle(): boolean {
		return this.queue.size === 0 && this.#held.size === 0;
	}

	#isFresh({demandSequence, termMs}: SlotLoan): boolean {
		for (const sequence of this.#sentAt.keys()) {
			if (sequence < demandSequence) {
				this.#sentAt.delete(sequence);
			}
		}

		const sentAt = this.#sentAt.get(demandSequence);
		return sentAt !== undefined && this.#options.clock.readMonotonic() - sentAt <= termMs;
	}

	#startOn(slot: LentSlot, home: EntryId): boolean {
		const vm = this.#options.findWorker(this.#pool, slot.vmId);
		const flow = this.queue.getFlow(slot.flow);
		if (vm === undefined || flow === undefined) {
			return false;
		}

		return this.#startNext({
			slot, vm, flow, home, startedAt: this.#options.clock.readMonotonic(),
		});
	}

	#startNext(held: Held): boolean {
		const now = this.#options.clock.readMonotonic();
		const {slot, vm, flow} = held;
		const waiter = this.queue.takeWaiter(flow, ({request}) => request.startBy > now && (!slot.isProbe || request.isIdempotent !== false))
			?? (slot.isProbe ? this.queue.takeWaiter(flow, ({request}) => request.startBy > now) : undefined);
		if (waiter === undefined) {
			return false;
		}

		this.#held.set(slot.slotId, held);
		this.#options.onStart(waiter.request, now - waiter.since);
		waiter.accept(new LentGrant(vm, outcome => {
			this.#finish(held, waiter.request, now, outcome);
		}));
		return true;
	}

	#finish(held: Held, request: SlotRequest, requestAt: number, outcome: DispatchOutcome): void {
		const {slot, vm, startedAt, home} = held;
		this.#options.onOutcome(vm.vmId as VmId, request, outcome);
		const now = this.#options.clock.readMonotonic();
		const usedMs = now - startedAt;
		this.#usages.addUse(held.flow.usageKey, now - requestAt);
		if (this.#isReusable(held, outcome, usedMs) && this.#startNext(held)) {
			return;
		}

		void this.#releaseSlot(held, outcome, now - requestAt);
	}

	/** Gives a slot back; one whose request failed only after the usual time, so that fast failures attract no work. */
	async #releaseSlot({slot, startedAt, home}: Held, outcome: DispatchOutcome, requestMs: number): Promise<void> {
		const {clock} = this.#options;
		if (outcome === 'answered') {
			this.#meanHoldMs += (requestMs - this.#meanHoldMs) * holdSmoothing;
		} else if (outcome !== 'caller-gone' && requestMs < this.#meanHoldMs) {
			await clock.sleep(Math.min(maxCoolingMs, this.#meanHoldMs - requestMs));
		}

		const usedMs = clock.readMonotonic() - startedAt;
		this.#held.delete(slot.slotId);
		this.#sendReturn(slot.slotId, Math.round(usedMs), home);
		this.#scheduleFlush();
	}

	#isReusable({slot, vm, home}: Held, outcome: DispatchOutcome, usedMs: number): boolean {
		return outcome === 'answered'
			&& !slot.isProbe
			&& usedMs < quantumMs
			&& home === this.#home
			&& this.#options.findWorker(this.#pool, vm.vmId) !== undefined;
	}

	#sendReturn(slotId: number, usedMs: number, home: EntryId): void {
		if (home === this.#home) {
			this.#returned.push({slotId, usedMs});
		} else {
			this.#options.sendDemand(home, {...this.#buildDemand(home, false), returned: [{slotId, usedMs}], flows: []});
		}
	}

	#scheduleFlush(): void {
		if (!this.#isFlushing) {
			this.#isFlushing = true;
			void this.#flushSoon();
		}
	}

	async #flushSoon(): Promise<void> {
		const {clock} = this.#options;
		const waitMs = this.#flushedAt + demandGapMs - clock.readMonotonic();
		await (waitMs > 0 ? clock.sleep(waitMs) : undefined);
		this.#isFlushing = false;
		this.#flush(this.#mustSync);
	}

	#flush(isComplete: boolean): void {
		if (this.#home === undefined) {
			return;
		}

		const now = this.#options.clock.readMonotonic();
		this.#flushedAt = now;
		this.#hasNews = false;
		this.#isIdleTold = isComplete && this.#isIdle();
		if (isComplete) {
			this.#syncedAt = now;
			this.#mustSync = false;
		}

		const demand = {...this.#buildDemand(this.#home, isComplete), flows: this.queue.collectDemand(isComplete, this.#usages), returned: this.#returned};
		this.#returned = [];
		this.#options.sendDemand(this.#home, demand);
	}

	#buildDemand(home: EntryId, isComplete: boolean): PoolDemand {
		const now = this.#options.clock.readMonotonic();
		this.#sequence++;
		this.#sentAt.set(this.#sequence, now);
		return {
			pool: this.#pool.name,
			flows: [],
			held: isComplete ? this.#listHeld(now) : [],
			returned: [],
			isComplete,
			sequence: this.#sequence,
			loanSequence: this.#loanSequences.get(home) ?? 0,
		};
	}

	#listHeld(now: number): PoolDemand['held'] {
		return [...this.#held.values()].map(({slot, vm, flow, startedAt}) => {
			const [workClass, caller] = flow.key.split(' ');
			return {
				slotId: slot.slotId, vmId: vm.vmId, caller: caller!, workClass: workClass!, heldMs: Math.round(now - startedAt),
			};
		});
	}
}
