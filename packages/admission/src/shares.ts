/**
 * Shares of a pool: which class and which caller gets the next slot.
 */
import {type CallerId, type Clock} from '@tamarackwind/core';
import {workClasses, type PoolValues, type WorkClass} from '@tamarackwind/settings';

/** Requests of one caller and class that wait. */
export type Claimant = {
	readonly workClass: WorkClass;
	readonly caller: CallerId;
	/** Share of the caller against others of the class. */
	readonly weight: number;
	/** Monotonic time since which the first of them waits, in milliseconds. */
	readonly waitingSince: number;
};

/** Slots of the pool at this moment. */
export type Capacity = {readonly total: number; readonly free: number};

type CallerUse = {
	inUse: number;
	virtualTime: number;
	weight: number;
	usedAt: number;
	/** Slots used on average over the last minutes. */
	usualSlots: number;
	/** Slot time within its usual use that the caller has not used yet, in milliseconds. */
	creditMs: number;
	creditAt: number;
};

type ClassUse = {
	inUse: number;
	/** Sum of the start times of the slots in use. */
	startSum: number;
	virtualTime: number;
	meanHoldMs: number;
	/** Most slots in use lately. */
	peak: number;
	peakAt: number;
	readonly callers: Map<CallerId, CallerUse>;
};

const initialHoldMs = 100;
const holdSmoothing = 0.05;
/** Time for which the peak use of a class is remembered. */
const peakMemoryMs = 60_000;
/** Time within which slots that come free by themselves need no reserve. */
const turnoverHorizonMs = 2000;
/** Slots that a class with a floor may expect at once though it was not seen lately. */
const minExpected = 1;
/** Time after which the use of an idle caller is forgotten. */
const callerMemoryMs = 60_000;
/** Use above the usual one that still counts as usual. */
const usualHeadroom = 2;
/** Time for which unused credit is saved up. */
const creditMemoryMs = 10_000;

function createClassUse(): ClassUse {
	return {
		inUse: 0, startSum: 0, virtualTime: 0, meanHoldMs: initialHoldMs, peak: 0, peakAt: 0, callers: new Map(),
	};
}

/**
 * Counts the slots in use by class and caller and orders those that wait. Classes below their floors come first, then
 * the class that uses least for its weight. Within a class callers that keep to their usual use come first, then the
 * caller that uses least for its weight, and the one that used least slot time among equals.
 */
export class ShareLedger {
	static create(clock: Clock): ShareLedger {
		return new ShareLedger(clock);
	}

	readonly #clock: Clock;
	readonly #classes: Record<WorkClass, ClassUse> = {urgent: createClassUse(), interactive: createClassUse(), batch: createClassUse()};

	private constructor(clock: Clock) {
		this.#clock = clock;
	}

	getInUse(workClass: WorkClass): number {
		return this.#classes[workClass].inUse;
	}

	/** Takes what a caller has used on average, summed over the entries. */
	setUsualSlots(workClass: WorkClass, caller: CallerId, usualSlots: number): void {
		const use = this.#classes[workClass];
		const callerUse = this.#getCaller(use, caller);
		if (callerUse.usualSlots !== usualSlots) {
			this.#updateCredit(use, callerUse);
			callerUse.usualSlots = usualSlots;
		}
	}

	/** Counts a slot that was taken `heldMs` milliseconds ago. */
	beginUse(workClass: WorkClass, caller: CallerId, weight: number, heldMs = 0): void {
		const now = this.#clock.readMonotonic();
		const use = this.#classes[workClass];
		use.inUse++;
		use.startSum += now - heldMs;
		if (use.inUse >= use.peak || now - use.peakAt > peakMemoryMs) {
			use.peak = use.inUse;
			use.peakAt = now;
		}

		const callerUse = this.#getCaller(use, caller);
		callerUse.weight = weight;
		const start = Math.max(callerUse.virtualTime, use.virtualTime);
		use.virtualTime = start;
		callerUse.virtualTime = start + (use.meanHoldMs / weight);
		callerUse.inUse++;
		callerUse.usedAt = now;
		callerUse.creditMs -= use.meanHoldMs;
	}

	/** Counts a slot that was given back after `usedMs` milliseconds. */
	endUse(workClass: WorkClass, caller: CallerId, usedMs: number): void {
		const now = this.#clock.readMonotonic();
		const use = this.#classes[workClass];
		use.inUse--;
		use.startSum -= now - usedMs;
		const callerUse = this.#getCaller(use, caller);
		callerUse.inUse--;
		callerUse.usedAt = now;
		callerUse.virtualTime += (usedMs - use.meanHoldMs) / callerUse.weight;
		callerUse.creditMs -= usedMs - use.meanHoldMs;
		use.meanHoldMs += (usedMs - use.meanHoldMs) * holdSmoothing;
	}

	/** Orders the claimants that may have a slot now, the first in line first. */
	rankClaimants<T extends Claimant>(claimants: readonly T[], capacity: Capacity, shares: PoolValues['shares']): T[] {
		const classes = workClasses
			.filter(workClass => claimants.some(claimant => claimant.workClass === workClass) && this.#isAllowed(workClass, capacity, shares))
			.toSorted((a, b) => this.#computeRank(a, capacity, shares) - this.#computeRank(b, capacity, shares));
		return classes.flatMap(workClass => claimants
			.filter(claimant => claimant.workClass === workClass)
			.map(claimant => ({claimant, ...this.#readCaller(claimant)}))
			.toSorted((a, b) => Number(b.isUsual) - Number(a.isUsual) || a.load - b.load || a.virtualTime - b.virtualTime || a.claimant.waitingSince - b.claimant.waitingSince)
			.map(({claimant}) => claimant));
	}

	/** Forgets callers that have used nothing for long. */
	trim(): void {
		const since = this.#clock.readMonotonic() - callerMemoryMs;
		for (const use of Object.values(this.#classes)) {
			for (const [caller, {inUse, usedAt}] of use.callers) {
				if (inUse === 0 && usedAt < since) {
					use.callers.delete(caller);
				}
			}
		}
	}

	#getCaller(use: ClassUse, caller: CallerId): CallerUse {
		const known = use.callers.get(caller);
		if (known !== undefined) {
			return known;
		}

		const created: CallerUse = {
			inUse: 0, virtualTime: use.virtualTime, weight: 1, usedAt: this.#clock.readMonotonic(), usualSlots: 0, creditMs: 0, creditAt: this.#clock.readMonotonic(),
		};
		use.callers.set(caller, created);
		return created;
	}

	#readCaller({workClass, caller, weight}: Claimant): {load: number; virtualTime: number; isUsual: boolean} {
		const use = this.#classes[workClass];
		const callerUse = use.callers.get(caller);
		return {
			isUsual: callerUse !== undefined && this.#updateCredit(use, callerUse) > 0,
			load: (callerUse?.inUse ?? 0) / weight,
			virtualTime: Math.max(callerUse?.virtualTime ?? 0, use.virtualTime),
		};
	}

	/** Adds the credit of the time that passed, up to what may be saved. */
	#updateCredit({meanHoldMs}: ClassUse, callerUse: CallerUse): number {
		const now = this.#clock.readMonotonic();
		const rate = callerUse.usualSlots * usualHeadroom;
		const limit = rate === 0 ? 0 : meanHoldMs + (rate * creditMemoryMs);
		callerUse.creditMs = Math.min(limit, Math.max(-limit, callerUse.creditMs + (rate * (now - callerUse.creditAt))));
		callerUse.creditAt = now;
		return callerUse.creditMs;
	}

	/** Below zero while the class is below its floor. */
	#computeRank(workClass: WorkClass, {total}: Capacity, shares: PoolValues['shares']): number {
		const {floor, weight} = shares[workClass];
		const {inUse} = this.#classes[workClass];
		return inUse < floor * total ? (inUse / (floor * total)) - 1 : inUse / weight;
	}

	#isAllowed(workClass: WorkClass, {total, free}: Capacity, shares: PoolValues['shares']): boolean {
		if (this.#classes[workClass].inUse < shares[workClass].floor * total) {
			return true;
		}

		const reserve = workClasses
			.filter(other => other !== workClass)
			.map(other => this.#computeExpected(other, total, shares))
			.reduce((sum, expected) => sum + expected, 0);
		return free > Math.max(0, reserve - this.#computeTurnover());
	}

	/** Slots that a class may ask for at once within its floor. */
	#computeExpected(workClass: WorkClass, total: number, shares: PoolValues['shares']): number {
		const {inUse, peak, peakAt} = this.#classes[workClass];
		const isRecent = this.#clock.readMonotonic() - peakAt <= peakMemoryMs;
		const expected = Math.min(Math.floor(shares[workClass].floor * total), isRecent ? Math.max(peak, minExpected) : minExpected);
		return Math.max(0, expected - inUse);
	}

	/** Slots that come free by themselves soon. */
	#computeTurnover(): number {
		const now = this.#clock.readMonotonic();
		let turnover = 0;
		for (const {inUse, startSum, meanHoldMs} of Object.values(this.#classes)) {
			const meanAge = inUse === 0 ? 0 : now - (startSum / inUse);
			turnover += inUse * turnoverHorizonMs / Math.max(1, meanHoldMs, meanAge);
		}

		return turnover;
	}
}
