/**
 * Brokers: the home entry's side of a pool, which lends the pool's slots to the entries.
 */
import {
	type CallerId, type Clock, type EntryId, type RandomSource,
} from '@tamarackwind/core';
import {
	type FlowDemand, type HeldSlot, type LentSlot, type PoolDemand, type SlotLoan,
} from '@tamarackwind/peer';
import {type VmRecord} from '@tamarackwind/clients';
import {type ResolvedPool, type WorkClass} from '@tamarackwind/settings';
import {ShareLedger, type Claimant} from './shares.js';

/** Time within which a lent slot must be taken up, in milliseconds. */
export const loanTermMs = 1000;
/** Time after which the slots of an entry that is no longer heard are lent again, in milliseconds. */
export const holdTermMs = 3000;

/** Judges the workers of a pool for a broker. */
export abstract class WorkerChoice {
	/** Lists the workers that may get new work, without those set aside. */
	abstract listUsable(pool: ResolvedPool): readonly VmRecord[];

	/** Tells whether a usable worker fails most of its work; it is chosen last. */
	abstract isFailing(vmId: string): boolean;

	/** Lists the workers set aside that may be probed by one request. */
	abstract listProbes(pool: ResolvedPool, isIdempotent: boolean): readonly VmRecord[];

	/** Marks that a probe of a worker has started. */
	abstract beginProbe(vmId: string): void;
}

export type BrokerOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly workers: WorkerChoice;
	/** First id of a lent slot and first sequence of a loan; grows with each broker of an entry. */
	readonly firstSlotId: number;
	/** Time for which a new broker only listens, so that entries can tell what they hold. */
	readonly listenMs: number;
	/** Counts the slots that may be in use in sum, of the `total` of the pool. */
	readonly limitSlots: (total: number) => number;
	/** Sends a loan to a borrower. */
	readonly sendLoan: (to: EntryId, loan: SlotLoan) => void;
};

type Flow = Claimant & {
	readonly member: Member;
	readonly demand: FlowDemand;
	/** Sequences of the loans to this flow that its demand does not reflect yet. */
	readonly unseenLoans: number[];
};

type Lent = {
	readonly vmId: string;
	readonly workClass: WorkClass;
	readonly caller: CallerId;
	readonly startedAt: number;
	readonly loanSequence: number;
};

type Member = {
	readonly entryId: EntryId;
	flows: Map<number, Flow>;
	/** Slots that callers used at the entry on average, by class and caller. */
	readonly usualSlots: Map<string, number>;
	readonly lent: Map<number, Lent>;
	heardAt: number;
	demandSequence: number;
	loanSequence: number;
	mustAcknowledge: boolean;
};

/** Estimates since when the next request of a flow waits: those behind the first came evenly until the demand was sent. */
function estimateWaitingSince({demand, waitingSince, unseenLoans}: Flow): number {
	return waitingSince + (demand.waitedMs * unseenLoans.length / Math.max(1, demand.queued));
}

type Round = Map<Member, LentSlot[]>;

/** Lends the slots of one pool by the demand of all entries. */
export class Broker {
	static create(options: BrokerOptions): Broker {
		return new Broker(options);
	}

	readonly #options: BrokerOptions;
	readonly #ledger: ShareLedger;
	readonly #members = new Map<EntryId, Member>();
	readonly #inUse = new Map<string, number>();
	readonly #listenUntil: number;
	#nextSlotId: number;
	/** Last sequence of any loan; an entry that comes back never sees a lower one. */
	#loanSequence: number;

	private constructor(options: BrokerOptions) {
		this.#options = options;
		this.#ledger = ShareLedger.create(options.clock);
		this.#listenUntil = options.clock.readMonotonic() + options.listenMs;
		this.#nextSlotId = options.firstSlotId;
		this.#loanSequence = options.firstSlotId;
	}

	/** Slots lent at this moment. */
	countLent(): number {
		let count = 0;
		for (const member of this.#members.values()) {
			count += member.lent.size;
		}

		return count;
	}

	/** Takes what an entry asks for and gives back; call `lendSlots` after it. */
	receiveDemand(from: EntryId, demand: PoolDemand): void {
		const member = this.#getMember(from);
		if (demand.sequence <= member.demandSequence && !demand.isComplete) {
			return;
		}

		member.heardAt = this.#options.clock.readMonotonic();
		member.demandSequence = demand.sequence;
		for (const {slotId, usedMs} of demand.returned) {
			this.#endLoan(member, slotId, usedMs);
		}

		this.#updateFlows(member, demand);
		if (demand.isComplete) {
			this.#updateHeld(member, demand);
			member.mustAcknowledge = true;
		}
	}

	/** Lends the slots that are free to those first in line. */
	lendSlots(pool: ResolvedPool, countEntryLimit: () => number): void {
		const round: Round = new Map();
		if (this.#options.clock.readMonotonic() >= this.#listenUntil) {
			this.#planRound(pool, countEntryLimit(), round);
		}

		this.#loanSequence += round.size > 0 ? 1 : 0;
		for (const member of this.#members.values()) {
			const slots = round.get(member) ?? [];
			if (slots.length > 0 || member.mustAcknowledge) {
				this.#sendLoan(member, pool, slots);
			}
		}
	}

	/** Takes back the slots of entries that were not heard for the term; call it several times a second. */
	expireMembers(): void {
		const since = this.#options.clock.readMonotonic() - holdTermMs;
		for (const member of this.#members.values()) {
			if (member.heardAt < since) {
				for (const [slotId, {startedAt}] of member.lent) {
					this.#endLoan(member, slotId, this.#options.clock.readMonotonic() - startedAt);
				}

				this.#members.delete(member.entryId);
			}
		}

		this.#ledger.trim();
	}

	#getMember(entryId: EntryId): Member {
		const known = this.#members.get(entryId);
		if (known !== undefined) {
			return known;
		}

		const member: Member = {
			entryId, flows: new Map(), usualSlots: new Map(), lent: new Map(), heardAt: 0, demandSequence: 0, loanSequence: this.#loanSequence, mustAcknowledge: false,
		};
		this.#members.set(entryId, member);
		return member;
	}

	#updateFlows(member: Member, {flows, isComplete, loanSequence}: PoolDemand): void {
		const before = member.flows;
		if (isComplete) {
			member.flows = new Map();
		}

		const now = this.#options.clock.readMonotonic();
		for (const demand of flows) {
			const unseenLoans = (before.get(demand.flow)?.unseenLoans ?? []).filter(sequence => sequence > loanSequence);
			if (demand.queued === 0 && unseenLoans.length === 0) {
				member.flows.delete(demand.flow);
				continue;
			}

			member.flows.set(demand.flow, {
				member,
				demand,
				unseenLoans,
				workClass: demand.workClass as WorkClass,
				caller: demand.caller as CallerId,
				weight: demand.weight,
				waitingSince: now - demand.waitedMs,
			});
			this.#updateUsual(member, demand);
		}
	}

	#updateUsual(member: Member, {workClass, caller, usualSlots}: FlowDemand): void {
		const key = `${workClass} ${caller}`;
		if (member.usualSlots.get(key) === usualSlots || caller === '') {
			return;
		}

		member.usualSlots.set(key, usualSlots);
		let sum = 0;
		for (const other of this.#members.values()) {
			sum += other.usualSlots.get(key) ?? 0;
		}

		this.#ledger.setUsualSlots(workClass as WorkClass, caller as CallerId, sum);
	}

	/** Adopts slots that the entry holds and this broker has not lent, and takes back what it no longer holds. */
	#updateHeld(member: Member, {held, loanSequence}: PoolDemand): void {
		const now = this.#options.clock.readMonotonic();
		const heldIds = new Set(held.map(({slotId}) => slotId));
		for (const [slotId, lent] of member.lent) {
			const isSeen = lent.loanSequence <= loanSequence || now - lent.startedAt > 2 * loanTermMs;
			if (isSeen && !heldIds.has(slotId)) {
				this.#endLoan(member, slotId, now - lent.startedAt);
			}
		}

		for (const slot of held) {
			if (!member.lent.has(slot.slotId)) {
				this.#addHeld(member, slot, now);
			}
		}
	}

	#addHeld(member: Member, {slotId, vmId, workClass, caller, heldMs}: HeldSlot, now: number): void {
		const lent: Lent = {
			vmId, workClass: workClass as WorkClass, caller: caller as CallerId, startedAt: now - heldMs, loanSequence: 0,
		};
		this.#beginLoan(member, slotId, lent, 1);
	}

	#beginLoan(member: Member, slotId: number, lent: Lent, weight: number): void {
		member.lent.set(slotId, lent);
		this.#inUse.set(lent.vmId, (this.#inUse.get(lent.vmId) ?? 0) + 1);
		this.#ledger.beginUse(lent.workClass, lent.caller, weight, this.#options.clock.readMonotonic() - lent.startedAt);
	}

	#endLoan(member: Member, slotId: number, usedMs: number): void {
		const lent = member.lent.get(slotId);
		if (lent === undefined) {
			return;
		}

		member.lent.delete(slotId);
		this.#ledger.endUse(lent.workClass, lent.caller, usedMs);
		const left = (this.#inUse.get(lent.vmId) ?? 0) - 1;
		if (left > 0) {
			this.#inUse.set(lent.vmId, left);
		} else {
			this.#inUse.delete(lent.vmId);
		}
	}

	#planRound(pool: ResolvedPool, entryLimit: number, round: Round): void {
		const usable = this.#options.workers.listUsable(pool);
		const total = usable.length * pool.slotsPerVm;
		const skipped = new Set<Flow>();
		for (;;) {
			const free = this.#countFree(pool, usable);
			if (free <= 0 && !this.#hasProbes(pool)) {
				return;
			}

			const flow = this.#placeNext(pool, {
				usable, total, free, entryLimit,
			}, skipped, round);
			if (flow === undefined) {
				return;
			}
		}
	}

	#hasProbes(pool: ResolvedPool): boolean {
		return this.#options.workers.listProbes(pool, true).length > 0;
	}

	#placeNext(pool: ResolvedPool, state: {usable: readonly VmRecord[]; total: number; free: number; entryLimit: number}, skipped: Set<Flow>, round: Round): Flow | undefined {
		for (const flow of this.#ledger.rankClaimants(this.#listWaiting(skipped), state, pool.shares)) {
			const probe = this.#options.workers.listProbes(pool, flow.demand.isIdempotent).find(vm => !this.#inUse.has(vm.vmId));
			const vm = probe ?? this.#chooseWorker(pool, state, flow);
			if (vm !== undefined) {
				this.#lend(flow, vm, probe !== undefined, round);
				return flow;
			}

			skipped.add(flow);
		}

		return undefined;
	}

	#lend(flow: Flow, vm: VmRecord, isProbe: boolean, round: Round): void {
		const {member} = flow;
		const slotId = this.#nextSlotId++;
		const loanSequence = this.#loanSequence + 1;
		const startedAt = this.#options.clock.readMonotonic();
		if (isProbe) {
			this.#options.workers.beginProbe(vm.vmId);
		}

		flow.unseenLoans.push(loanSequence);
		this.#beginLoan(member, slotId, {
			vmId: vm.vmId, workClass: flow.workClass, caller: flow.caller, startedAt, loanSequence,
		}, flow.weight);
		round.set(member, [...round.get(member) ?? [], {
			slotId, vmId: vm.vmId, flow: flow.demand.flow, isProbe,
		}]);
	}

	#sendLoan(member: Member, pool: ResolvedPool, slots: LentSlot[]): void {
		member.mustAcknowledge = false;
		if (slots.length > 0) {
			member.loanSequence = this.#loanSequence;
		}

		this.#options.sendLoan(member.entryId, {
			pool: pool.name, termMs: loanTermMs, slots, sequence: member.loanSequence, demandSequence: member.demandSequence,
		});
	}

	#countFree(pool: ResolvedPool, usable: readonly VmRecord[]): number {
		let free = 0;
		let used = 0;
		for (const {vmId} of usable) {
			const inUse = this.#inUse.get(vmId) ?? 0;
			used += inUse;
			free += Math.max(0, pool.slotsPerVm - inUse);
		}

		return Math.min(free, this.#options.limitSlots(usable.length * pool.slotsPerVm) - used);
	}

	/** Lists the flow that has waited longest at each caller and class, of those that wait for a slot. */
	#listWaiting(skipped: ReadonlySet<Flow>): Flow[] {
		const first = new Map<string, {readonly flow: Flow; readonly waitingSince: number}>();
		for (const member of this.#members.values()) {
			for (const flow of member.flows.values()) {
				if (flow.demand.queued <= flow.unseenLoans.length || skipped.has(flow)) {
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

	/** Chooses the worker with the fewest slots in use, by chance among equals; one that the request has not met when there is any. */
	#chooseWorker(pool: ResolvedPool, {usable, entryLimit}: {usable: readonly VmRecord[]; entryLimit: number}, {member, demand}: Flow): VmRecord | undefined {
		const fresh = usable.filter(vm => !demand.triedVms.includes(vm.vmId));
		const candidates = (fresh.length === 0 ? usable : fresh).filter(vm => this.#countHeldBy(member, vm.vmId) < entryLimit);
		let best: VmRecord[] = [];
		let least = Number.POSITIVE_INFINITY;
		for (const vm of candidates) {
			const inUse = this.#inUse.get(vm.vmId) ?? 0;
			const load = inUse + (this.#options.workers.isFailing(vm.vmId) ? pool.slotsPerVm : 0);
			if (inUse >= pool.slotsPerVm || load > least) {
				continue;
			}

			if (load < least) {
				least = load;
				best = [];
			}

			best.push(vm);
		}

		return this.#options.random.pickItem(best);
	}

	#countHeldBy(member: Member, vmId: string): number {
		let count = 0;
		for (const lent of member.lent.values()) {
			count += lent.vmId === vmId ? 1 : 0;
		}

		return count;
	}
}
