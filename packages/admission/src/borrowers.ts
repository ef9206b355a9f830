/**
 * Queues the requests of a pool at an entry and starts them on slots borrowed from the pool's home entry.
 */
import {type Clock, type EntryId, type VmId} from '@tamarackwind/core';
import {
	type LentSlot, type PoolDemand, type ReturnedSlot, type SlotLoan,
} from '@tamarackwind/peer';
import {type VmRecord} from '@tamarackwind/clients';
import {type ResolvedPool} from '@tamarackwind/settings';
import {RequestQueue, type RequestFlow, type Waiter} from './request-queues.js';
import {UsageHistory} from './usage-histories.js';
import {SlotGrant, type DispatchOutcome, type SlotRequest} from './schedulers.js';

export type BorrowerOptions = {
	readonly clock: Clock;
	readonly pool: ResolvedPool;
	readonly sendDemand: (to: EntryId, demand: PoolDemand) => void;
	/** Returns the worker of a lent slot, or `undefined` if it accepts no new work. */
	readonly findWorker: (pool: ResolvedPool, vmId: string) => VmRecord | undefined;
	/** Called when a request starts, with its waiting time. */
	readonly onStart: (request: SlotRequest, waitedMs: number) => void;
	readonly onOutcome: (vmId: VmId, request: SlotRequest, outcome: DispatchOutcome) => void;
};

/** Shortest time between two demands, in milliseconds. */
const minDemandIntervalMs = 2;
/** Interval between complete demands while requests wait. */
const waitingSyncIntervalMs = 250;
/** Interval between complete demands while slots are held. */
const holdingSyncIntervalMs = 1000;
/** Time without a message from the home entry, while requests wait, after which it counts as unresponsive. */
const homeTimeoutMs = 750;
/** Time since the start on a slot within which the entry may reuse the slot for the next request of the same flow. */
const slotReuseMs = 100;
const holdSmoothing = 0.05;
/** Longest delay before the slot of a failed request is returned, in milliseconds. */
const maxReturnDelayMs = 1000;
/** Queue length of a flow above which new requests are reported with the next periodic demand instead of at once. */
const maxImmediateReports = 8;

type OccupiedSlot = {
	readonly slot: LentSlot;
	readonly vm: VmRecord;
	readonly flow: RequestFlow<SlotGrant>;
	readonly home: EntryId;
	readonly startedAt: number;
};

class LentSlotGrant extends SlotGrant {
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
	readonly #held = new Map<number, OccupiedSlot>();
	readonly #loanSequences = new Map<EntryId, number>();
	readonly #sentAt = new Map<number, number>();
	#pool: ResolvedPool;
	#returnedSlots: ReturnedSlot[] = [];
	#meanHoldMs = 0;
	#home: EntryId | undefined;
	#homeSeenAt = 0;
	#sequence = 0;
	#syncedAt = Number.NEGATIVE_INFINITY;
	#mustSync = true;
	#isIdleReported = true;
	#flushedAt = Number.NEGATIVE_INFINITY;
	#isFlushing = false;
	#hasUnsentDemand = false;

	private constructor(options: BorrowerOptions) {
		this.#options = options;
		this.#pool = options.pool;
		this.queue = RequestQueue.create(options.clock);
		this.#usages = UsageHistory.create(options.clock);
	}

	/** Number of slots held by requests in flight. */
	get heldSlotCount(): number {
		return this.#held.size;
	}

	get home(): EntryId | undefined {
		return this.#home;
	}

	setPool(pool: ResolvedPool): void {
		this.#pool = pool;
	}

	/** Switches to another home entry and schedules a complete demand to it. */
	setHome(home: EntryId): void {
		if (home === this.#home) {
			return;
		}

		if (this.#returnedSlots.length > 0) {
			this.#flush(false);
		}

		this.#home = home;
		this.#homeSeenAt = this.#options.clock.readMonotonic();
		this.scheduleSync();
	}

	/** Schedules a complete demand to the home entry, also when no request waits: the home entry keeps slots aside until it arrives. */
	scheduleSync(): void {
		this.#mustSync = true;
		this.#scheduleFlush();
	}

	/** Reports whether requests wait and the home entry has sent nothing for `homeTimeoutMs`. */
	isHomeUnresponsive(): boolean {
		const now = this.#options.clock.readMonotonic();
		return this.queue.size > 0 && now - this.#homeSeenAt > homeTimeoutMs;
	}

	/** Sends a demand without flows to another entry, which responds if it is the home entry. */
	probeHome(home: EntryId): void {
		this.#options.sendDemand(home, {...this.#buildDemand(home, true), flows: [], returned: []});
	}

	enqueue(flow: RequestFlow<SlotGrant>, waiter: Waiter<SlotGrant>): void {
		if (this.queue.size === 0) {
			this.#homeSeenAt = this.#options.clock.readMonotonic();
		}

		this.queue.addWaiter(flow, waiter);
		if (flow.waiters.length <= maxImmediateReports) {
			this.#scheduleFlush();
		} else {
			this.#hasUnsentDemand = true;
		}
	}

	/** Removes a request whose caller disconnected. */
	cancel(flow: RequestFlow<SlotGrant>, waiter: Waiter<SlotGrant>): void {
		this.queue.removeWaiter(flow, waiter);
		this.#scheduleFlush();
	}

	/** Starts requests on lent slots, and returns the slots that it can't use. */
	receiveLoan(from: EntryId, loan: SlotLoan): void {
		this.#loanSequences.set(from, loan.sequence);
		if (from === this.#home) {
			this.#homeSeenAt = this.#options.clock.readMonotonic();
		}

		const isWithinTerm = from === this.#home && this.#isWithinTerm(loan);
		for (const slot of loan.slots) {
			if (!isWithinTerm || !this.#startOnSlot(slot, from)) {
				this.#sendReturn(slot.slotId, 0, from);
			}
		}

		if (this.#returnedSlots.length > 0) {
			this.#scheduleFlush();
		}
	}

	/** Sends the demands that are due and evicts old usage; call it several times a second. */
	sendDueDemands(): void {
		this.#usages.trim();
		const intervalMs = this.queue.size > 0 ? waitingSyncIntervalMs : holdingSyncIntervalMs;
		const isDue = this.#options.clock.readMonotonic() - this.#syncedAt >= intervalMs;
		if (isDue && (!this.#isIdle() || !this.#isIdleReported)) {
			this.#flush(true);
		} else if (this.#hasUnsentDemand) {
			this.#flush(false);
		}
	}

	#isIdle(): boolean {
		return this.queue.size === 0 && this.#held.size === 0;
	}

	#isWithinTerm({demandSequence, termMs}: SlotLoan): boolean {
		for (const sequence of this.#sentAt.keys()) {
			if (sequence < demandSequence) {
				this.#sentAt.delete(sequence);
			}
		}

		const sentAt = this.#sentAt.get(demandSequence);
		return sentAt !== undefined && this.#options.clock.readMonotonic() - sentAt <= termMs;
	}

	#startOnSlot(slot: LentSlot, home: EntryId): boolean {
		const vm = this.#options.findWorker(this.#pool, slot.vmId);
		const flow = this.queue.getFlow(slot.flow);
		if (vm === undefined || flow === undefined) {
			return false;
		}

		return this.#startNext({
			slot, vm, flow, home, startedAt: this.#options.clock.readMonotonic(),
		});
	}

	#startNext(held: OccupiedSlot): boolean {
		const now = this.#options.clock.readMonotonic();
		const {slot, vm, flow} = held;
		const waiter = this.queue.takeWaiter(flow, ({request}) => request.startBy > now && (!slot.isProbe || request.isIdempotent !== false))
			?? (slot.isProbe ? this.queue.takeWaiter(flow, ({request}) => request.startBy > now) : undefined);
		if (waiter === undefined) {
			return false;
		}

		this.#held.set(slot.slotId, held);
		this.#options.onStart(waiter.request, now - waiter.enqueuedAt);
		waiter.accept(new LentSlotGrant(vm, outcome => {
			this.#finish(held, waiter.request, now, outcome);
		}));
		return true;
	}

	#finish(held: OccupiedSlot, request: SlotRequest, requestStartedAt: number, outcome: DispatchOutcome): void {
		const {slot, vm, startedAt, home} = held;
		this.#options.onOutcome(vm.vmId as VmId, request, outcome);
		const now = this.#options.clock.readMonotonic();
		const usedMs = now - startedAt;
		this.#usages.addUsage(held.flow.usageKey, now - requestStartedAt);
		if (this.#isReusable(held, outcome, usedMs) && this.#startNext(held)) {
			return;
		}

		void this.#releaseSlot(held, outcome, now - requestStartedAt);
	}

	/** Returns a slot. Delays it after a failure faster than the mean request time, so that fast failures attract no work. */
	async #releaseSlot({slot, startedAt, home}: OccupiedSlot, outcome: DispatchOutcome, requestMs: number): Promise<void> {
		const {clock} = this.#options;
		if (outcome === 'answered') {
			this.#meanHoldMs += (requestMs - this.#meanHoldMs) * holdSmoothing;
		} else if (outcome !== 'caller-gone' && requestMs < this.#meanHoldMs) {
			await clock.sleep(Math.min(maxReturnDelayMs, this.#meanHoldMs - requestMs));
		}

		const usedMs = clock.readMonotonic() - startedAt;
		this.#held.delete(slot.slotId);
		this.#sendReturn(slot.slotId, Math.round(usedMs), home);
		this.#scheduleFlush();
	}

	#isReusable({slot, vm, home}: OccupiedSlot, outcome: DispatchOutcome, usedMs: number): boolean {
		return outcome === 'answered'
			&& !slot.isProbe
			&& usedMs < slotReuseMs
			&& home === this.#home
			&& this.#options.findWorker(this.#pool, vm.vmId) !== undefined;
	}

	#sendReturn(slotId: number, usedMs: number, home: EntryId): void {
		if (home === this.#home) {
			this.#returnedSlots.push({slotId, usedMs});
		} else {
			this.#options.sendDemand(home, {...this.#buildDemand(home, false), returned: [{slotId, usedMs}], flows: []});
		}
	}

	#scheduleFlush(): void {
		if (!this.#isFlushing) {
			this.#isFlushing = true;
			void this.#flushDelayed();
		}
	}

	async #flushDelayed(): Promise<void> {
		const {clock} = this.#options;
		const waitMs = this.#flushedAt + minDemandIntervalMs - clock.readMonotonic();
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
		this.#hasUnsentDemand = false;
		this.#isIdleReported = isComplete && this.#isIdle();
		if (isComplete) {
			this.#syncedAt = now;
			this.#mustSync = false;
		}

		const demand = {...this.#buildDemand(this.#home, isComplete), flows: this.queue.collectDemand(isComplete, this.#usages), returned: this.#returnedSlots};
		this.#returnedSlots = [];
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
