/**
 * Lends the slots of a pool to the entries; runs on the home entry of the pool.
 */
import {
	type CallerId, type Clock, type EntryId, type RandomSource,
} from '@tamarackwind/core';
import {
	type FlowDemand, type HeldSlot, type LentSlot, type PoolDemand, type SlotLoan,
} from '@tamarackwind/peer';
import {type VmRecord} from '@tamarackwind/clients';
import {type ResolvedPool, type WorkClass} from '@tamarackwind/settings';
import {ShareTracker, type WaitingFlow} from './shares.js';

/** Time within which the borrower must use a lent slot, in milliseconds. */
export const loanAcceptTimeoutMs = 1000;
/** Time without a message after which the slots of an entry are reclaimed, in milliseconds. */
export const entryTimeoutMs = 3000;
/**
 * Time for which a new broker keeps aside the share of an entry that has not reported to it, in milliseconds: the timeout after
 * which such an entry no longer counts an earlier home entry as live.
 */
const reportTimeoutMs = 2000;

/** Provides a broker with the workers of a pool and their health. */
export abstract class WorkerDirectory {
	/** Lists the workers that accept new work, without those set aside. */
	abstract listUsable(pool: ResolvedPool): readonly VmRecord[];

	/** Reports whether a usable worker fails most of its work; such a worker is chosen last. */
	abstract isFailing(vmId: string): boolean;

	/** Lists the workers that are set aside and due for a probe by one request. */
	abstract listProbes(pool: ResolvedPool, isIdempotent: boolean): readonly VmRecord[];

	/** Records the start of a probe. */
	abstract beginProbe(vmId: string): void;
}

export type BrokerOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly workers: WorkerDirectory;
	/** First slot id and first loan sequence; must be higher for each new broker of an entry. */
	readonly firstSlotId: number;
	/** Time for which a new broker lends nothing while the entries report the slots that they hold. */
	readonly recoveryMs: number;
	/** Lists the live entries, including this one. */
	readonly listEntries: () => readonly EntryId[];
	/**
	 * Returns how many of the `total` slots of the pool may be in use at once, while `unreported` live entries may still use
	 * their own shares.
	 */
	readonly limitSlots: (total: number, unreported: number) => number;
	/** Sends a loan to a borrower. */
	readonly sendLoan: (to: EntryId, loan: SlotLoan) => void;
};

type EntryFlow = WaitingFlow & {
	readonly entry: BorrowingEntry;
	readonly demand: FlowDemand;
	/** Sequences of the loans to this flow that its demand does not reflect yet. */
	readonly unacknowledgedLoans: number[];
};

type ActiveLoan = {
	readonly vmId: string;
	readonly workClass: WorkClass;
	readonly caller: CallerId;
	readonly startedAt: number;
	readonly loanSequence: number;
};

type BorrowingEntry = {
	readonly entryId: EntryId;
	flows: Map<number, EntryFlow>;
	/** Average slots in use at the entry, by class and caller. */
	readonly averageSlots: Map<string, number>;
	readonly loans: Map<number, ActiveLoan>;
	lastSeenAt: number;
	demandSequence: number;
	loanSequence: number;
	mustAcknowledge: boolean;
};

/** Estimates when the next request of a flow was queued, assuming a constant arrival rate between the first request and the demand. */
function estimateWaitingSince({demand, waitingSince, unacknowledgedLoans}: EntryFlow): number {
	return waitingSince + (demand.waitedMs * unacknowledgedLoans.length / Math.max(1, demand.queued));
}

type SlotsByEntry = Map<BorrowingEntry, LentSlot[]>;

/** Distributes the slots of one pool according to the demand of all entries. */
export class Broker {
	static create(options: BrokerOptions): Broker {
		return new Broker(options);
	}

	readonly #options: BrokerOptions;
	readonly #shares: ShareTracker;
	readonly #entries = new Map<EntryId, BorrowingEntry>();
	readonly #slotsInUse = new Map<string, number>();
	/** Entries that have reported all slots that they hold. */
	readonly #reportedEntries = new Set<EntryId>();
	readonly #createdAt: number;
	#nextSlotId: number;
	/** Highest loan sequence so far; an entry that reconnects never receives a lower one. */
	#loanSequence: number;

	private constructor(options: BrokerOptions) {
		this.#options = options;
		this.#shares = ShareTracker.create(options.clock);
		this.#createdAt = options.clock.readMonotonic();
		this.#nextSlotId = options.firstSlotId;
		this.#loanSequence = options.firstSlotId;
	}

	countLentSlots(): number {
		let count = 0;
		for (const entry of this.#entries.values()) {
			count += entry.loans.size;
		}

		return count;
	}

	/** Applies the demand and the returned slots of an entry; call `lendSlots` afterwards. */
	receiveDemand(from: EntryId, demand: PoolDemand): void {
		const entry = this.#getEntry(from);
		if (demand.sequence <= entry.demandSequence && !demand.isComplete) {
			return;
		}

		entry.lastSeenAt = this.#options.clock.readMonotonic();
		entry.demandSequence = demand.sequence;
		for (const {slotId, usedMs} of demand.returned) {
			this.#endLoan(entry, slotId, usedMs);
		}

		this.#updateFlows(entry, demand);
		if (demand.isComplete) {
			this.#syncHeldSlots(entry, demand);
			this.#reportedEntries.add(from);
			entry.mustAcknowledge = true;
		}
	}

	/** Lends the free slots to the waiting flows in order of rank. */
	lendSlots(pool: ResolvedPool, countEntryLimit: () => number): void {
		const slotsByEntry: SlotsByEntry = new Map();
		if (this.#options.clock.readMonotonic() >= this.#createdAt + this.#options.recoveryMs) {
			this.#planLoans(pool, countEntryLimit(), slotsByEntry);
		}

		this.#loanSequence += slotsByEntry.size > 0 ? 1 : 0;
		for (const entry of this.#entries.values()) {
			const slots = slotsByEntry.get(entry) ?? [];
			if (slots.length > 0 || entry.mustAcknowledge) {
				this.#sendLoan(entry, pool, slots);
			}
		}
	}

	/** Reclaims the slots of entries that have sent nothing for `entryTimeoutMs`; call it several times a second. */
	expireEntries(): void {
		const since = this.#options.clock.readMonotonic() - entryTimeoutMs;
		for (const entry of this.#entries.values()) {
			if (entry.lastSeenAt < since) {
				for (const [slotId, {startedAt}] of entry.loans) {
					this.#endLoan(entry, slotId, this.#options.clock.readMonotonic() - startedAt);
				}

				this.#entries.delete(entry.entryId);
			}
		}

		this.#shares.trim();
	}

	#getEntry(entryId: EntryId): BorrowingEntry {
		const known = this.#entries.get(entryId);
		if (known !== undefined) {
			return known;
		}

		const entry: BorrowingEntry = {
			entryId, flows: new Map(), averageSlots: new Map(), loans: new Map(), lastSeenAt: 0, demandSequence: 0, loanSequence: this.#loanSequence, mustAcknowledge: false,
		};
		this.#entries.set(entryId, entry);
		return entry;
	}

	#updateFlows(entry: BorrowingEntry, {flows, isComplete, loanSequence}: PoolDemand): void {
		const before = entry.flows;
		if (isComplete) {
			entry.flows = new Map();
		}

		const now = this.#options.clock.readMonotonic();
		for (const demand of flows) {
			const unacknowledgedLoans = (before.get(demand.flow)?.unacknowledgedLoans ?? []).filter(sequence => sequence > loanSequence);
			if (demand.queued === 0 && unacknowledgedLoans.length === 0) {
				entry.flows.delete(demand.flow);
				continue;
			}

			entry.flows.set(demand.flow, {
				entry,
				demand,
				unacknowledgedLoans,
				workClass: demand.workClass as WorkClass,
				caller: demand.caller as CallerId,
				weight: demand.weight,
				waitingSince: now - demand.waitedMs,
			});
			this.#updateAverageSlots(entry, demand);
		}
	}

	#updateAverageSlots(entry: BorrowingEntry, {workClass, caller, usualSlots}: FlowDemand): void {
		const key = `${workClass} ${caller}`;
		if (entry.averageSlots.get(key) === usualSlots || caller === '') {
			return;
		}

		entry.averageSlots.set(key, usualSlots);
		let sum = 0;
		for (const other of this.#entries.values()) {
			sum += other.averageSlots.get(key) ?? 0;
		}

		this.#shares.setAverageSlots(workClass as WorkClass, caller as CallerId, sum);
	}

	/** Records slots that the entry holds from an earlier broker, and ends the loans of slots that it no longer holds. */
	#syncHeldSlots(entry: BorrowingEntry, {held, loanSequence}: PoolDemand): void {
		const now = this.#options.clock.readMonotonic();
		const heldIds = new Set(held.map(({slotId}) => slotId));
		for (const [slotId, loan] of entry.loans) {
			const isAcknowledged = loan.loanSequence <= loanSequence || now - loan.startedAt > 2 * loanAcceptTimeoutMs;
			if (isAcknowledged && !heldIds.has(slotId)) {
				this.#endLoan(entry, slotId, now - loan.startedAt);
			}
		}

		for (const slot of held) {
			if (!entry.loans.has(slot.slotId)) {
				this.#addHeldSlot(entry, slot, now);
			}
		}
	}

	#addHeldSlot(entry: BorrowingEntry, {slotId, vmId, workClass, caller, heldMs}: HeldSlot, now: number): void {
		const loan: ActiveLoan = {
			vmId, workClass: workClass as WorkClass, caller: caller as CallerId, startedAt: now - heldMs, loanSequence: 0,
		};
		this.#beginLoan(entry, slotId, loan, 1);
	}

	#beginLoan(entry: BorrowingEntry, slotId: number, loan: ActiveLoan, weight: number): void {
		entry.loans.set(slotId, loan);
		this.#slotsInUse.set(loan.vmId, (this.#slotsInUse.get(loan.vmId) ?? 0) + 1);
		this.#shares.beginUse(loan.workClass, loan.caller, weight, this.#options.clock.readMonotonic() - loan.startedAt);
	}

	#endLoan(entry: BorrowingEntry, slotId: number, usedMs: number): void {
		const loan = entry.loans.get(slotId);
		if (loan === undefined) {
			return;
		}

		entry.loans.delete(slotId);
		this.#shares.endUse(loan.workClass, loan.caller, usedMs);
		const remaining = (this.#slotsInUse.get(loan.vmId) ?? 0) - 1;
		if (remaining > 0) {
			this.#slotsInUse.set(loan.vmId, remaining);
		} else {
			this.#slotsInUse.delete(loan.vmId);
		}
	}

	#planLoans(pool: ResolvedPool, entryLimit: number, slotsByEntry: SlotsByEntry): void {
		const usable = this.#options.workers.listUsable(pool);
		const total = usable.length * pool.slotsPerVm;
		const skipped = new Set<EntryFlow>();
		for (;;) {
			const free = this.#countFreeSlots(pool, usable);
			if (free <= 0 && !this.#hasProbes(pool)) {
				return;
			}

			const flow = this.#lendNext(pool, {
				usable, total, free, entryLimit,
			}, skipped, slotsByEntry);
			if (flow === undefined) {
				return;
			}
		}
	}

	#hasProbes(pool: ResolvedPool): boolean {
		return this.#options.workers.listProbes(pool, true).length > 0;
	}

	#lendNext(pool: ResolvedPool, state: {usable: readonly VmRecord[]; total: number; free: number; entryLimit: number}, skipped: Set<EntryFlow>, slotsByEntry: SlotsByEntry): EntryFlow | undefined {
		for (const flow of this.#shares.rankFlows(this.#listWaiting(skipped), state, pool.shares)) {
			const probe = this.#options.workers.listProbes(pool, flow.demand.isIdempotent).find(vm => !this.#slotsInUse.has(vm.vmId));
			const vm = probe ?? this.#chooseWorker(pool, state, flow);
			if (vm !== undefined) {
				this.#lendSlot(flow, vm, probe !== undefined, slotsByEntry);
				return flow;
			}

			skipped.add(flow);
		}

		return undefined;
	}

	#lendSlot(flow: EntryFlow, vm: VmRecord, isProbe: boolean, slotsByEntry: SlotsByEntry): void {
		const {entry} = flow;
		const slotId = this.#nextSlotId++;
		const loanSequence = this.#loanSequence + 1;
		const startedAt = this.#options.clock.readMonotonic();
		if (isProbe) {
			this.#options.workers.beginProbe(vm.vmId);
		}

		flow.unacknowledgedLoans.push(loanSequence);
		this.#beginLoan(entry, slotId, {
			vmId: vm.vmId, workClass: flow.workClass, caller: flow.caller, startedAt, loanSequence,
		}, flow.weight);
		slotsByEntry.set(entry, [...slotsByEntry.get(entry) ?? [], {
			slotId, vmId: vm.vmId, flow: flow.demand.flow, isProbe,
		}]);
	}

	#sendLoan(entry: BorrowingEntry, pool: ResolvedPool, slots: LentSlot[]): void {
		entry.mustAcknowledge = false;
		if (slots.length > 0) {
			entry.loanSequence = this.#loanSequence;
		}

		this.#options.sendLoan(entry.entryId, {
			pool: pool.name, termMs: loanAcceptTimeoutMs, slots, sequence: entry.loanSequence, demandSequence: entry.demandSequence,
		});
	}

	#countFreeSlots(pool: ResolvedPool, usable: readonly VmRecord[]): number {
		let free = 0;
		let used = 0;
		for (const {vmId} of usable) {
			const inUse = this.#slotsInUse.get(vmId) ?? 0;
			used += inUse;
			free += Math.max(0, pool.slotsPerVm - inUse);
		}

		return Math.min(free, this.#options.limitSlots(usable.length * pool.slotsPerVm, this.#countUnreported()) - used);
	}

	/** Counts the live entries that may still use slots which this broker does not know of. */
	#countUnreported(): number {
		const {clock, listEntries} = this.#options;
		return clock.readMonotonic() >= this.#createdAt + reportTimeoutMs
			? 0
			: listEntries().filter(entryId => !this.#reportedEntries.has(entryId)).length;
	}

	/** Lists the longest-waiting flow of each caller and class that still needs a slot. */
	#listWaiting(skipped: ReadonlySet<EntryFlow>): EntryFlow[] {
		const first = new Map<string, {readonly flow: EntryFlow; readonly waitingSince: number}>();
		for (const entry of this.#entries.values()) {
			for (const flow of entry.flows.values()) {
				if (flow.demand.queued <= flow.unacknowledgedLoans.length || skipped.has(flow)) {
					continue;
				}

				const key = `${flow.workClass} ${flow.caller}`;
				const waitingSince = estimateWaitingSince(flow);
				const known = first.get(key);
				if (known === undefined || waitingSince < known.waitingSince) {
					first.set(key, {flow, waitingSince});
				}
			}
		}

		return [...first.values()].map(({flow}) => flow);
	}

	/** Chooses the worker with the fewest slots in use, at random among equals; prefers workers that the request has not tried. */
	#chooseWorker(pool: ResolvedPool, {usable, entryLimit}: {usable: readonly VmRecord[]; entryLimit: number}, {entry, demand}: EntryFlow): VmRecord | undefined {
		const untried = usable.filter(vm => !demand.triedVms.includes(vm.vmId));
		const candidates = (untried.length === 0 ? usable : untried).filter(vm => this.#countHeldSlots(entry, vm.vmId) < entryLimit);
		let best: VmRecord[] = [];
		let lowestLoad = Number.POSITIVE_INFINITY;
		for (const vm of candidates) {
			const inUse = this.#slotsInUse.get(vm.vmId) ?? 0;
			const load = inUse + (this.#options.workers.isFailing(vm.vmId) ? pool.slotsPerVm : 0);
			if (inUse >= pool.slotsPerVm || load > lowestLoad) {
				continue;
			}

			if (load < lowestLoad) {
				lowestLoad = load;
				best = [];
			}

			best.push(vm);
		}

		return this.#options.random.pickItem(best);
	}

	#countHeldSlots(entry: BorrowingEntry, vmId: string): number {
		let count = 0;
		for (const loan of entry.loans.values()) {
			count += loan.vmId === vmId ? 1 : 0;
		}

		return count;
	}
}
