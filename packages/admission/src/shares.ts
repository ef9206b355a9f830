/**
 * Fair sharing of a pool: ranks the classes and callers that wait for the next slot.
 */
import {type CallerId, type Clock} from '@tamarackwind/core';
import {workClasses, type PoolValues, type WorkClass} from '@tamarackwind/settings';

/** Waiting requests of one caller and class. */
export type WaitingFlow = {
	readonly workClass: WorkClass;
	readonly caller: CallerId;
	/** Weight of the caller relative to other callers of the class. */
	readonly weight: number;
	/** Monotonic time at which the first of them was queued, in milliseconds. */
	readonly waitingSince: number;
};

/** Current slots of the pool. */
export type Capacity = {readonly total: number; readonly free: number};

type CallerUsage = {
	inUse: number;
	virtualTime: number;
	weight: number;
	lastUsedAt: number;
	/** Average slots used over the last minutes. */
	averageSlots: number;
	/** Unused slot time within the average usage of the caller, in milliseconds. */
	creditMs: number;
	creditAt: number;
};

type ClassUsage = {
	inUse: number;
	/** Sum of the start times of the slots in use. */
	startSum: number;
	virtualTime: number;
	meanHoldMs: number;
	/** Most slots in use at once within `peakRetentionMs`. */
	peak: number;
	peakAt: number;
	readonly callers: Map<CallerId, CallerUsage>;
};

const initialHoldMs = 100;
const holdSmoothing = 0.05;
/** Time for which the peak usage of a class is retained. */
const peakRetentionMs = 60_000;
/** Horizon within which expected releases reduce the reserve, in milliseconds. */
const releaseHorizonMs = 2000;
/** Slots reserved for a class with a floor that has had no recent usage. */
const minReservedSlots = 1;
/** Time after which the usage of an idle caller is evicted. */
const callerRetentionMs = 60_000;
/** Multiple of its average usage up to which a caller earns credit. */
const creditHeadroom = 2;
/** Time over which a caller can accumulate credit. */
const creditWindowMs = 10_000;

function createClassUsage(): ClassUsage {
	return {
		inUse: 0, startSum: 0, virtualTime: 0, meanHoldMs: initialHoldMs, peak: 0, peakAt: 0, callers: new Map(),
	};
}

/**
 * Tracks the slots in use by class and caller, and ranks waiting flows. Classes below their floors rank first, then the
 * class with the lowest usage for its weight. Within a class, callers within their average usage rank first, then the
 * caller with the lowest usage for its weight; ties go to the caller that used the least slot time.
 */
export class ShareTracker {
	static create(clock: Clock): ShareTracker {
		return new ShareTracker(clock);
	}

	readonly #clock: Clock;
	readonly #classes: Record<WorkClass, ClassUsage> = {urgent: createClassUsage(), interactive: createClassUsage(), batch: createClassUsage()};

	private constructor(clock: Clock) {
		this.#clock = clock;
	}

	getInUse(workClass: WorkClass): number {
		return this.#classes[workClass].inUse;
	}

	/** Sets the average slots of a caller, summed over the entries. */
	setAverageSlots(workClass: WorkClass, caller: CallerId, averageSlots: number): void {
		const classUsage = this.#classes[workClass];
		const callerUsage = this.#ensureCaller(classUsage, caller);
		if (callerUsage.averageSlots !== averageSlots) {
			this.#updateCredit(classUsage, callerUsage);
			callerUsage.averageSlots = averageSlots;
		}
	}

	/** Counts a slot that was acquired `heldMs` milliseconds ago. */
	beginUse(workClass: WorkClass, caller: CallerId, weight: number, heldMs = 0): void {
		const now = this.#clock.readMonotonic();
		const classUsage = this.#classes[workClass];
		classUsage.inUse++;
		classUsage.startSum += now - heldMs;
		if (classUsage.inUse >= classUsage.peak || now - classUsage.peakAt > peakRetentionMs) {
			classUsage.peak = classUsage.inUse;
			classUsage.peakAt = now;
		}

		const callerUsage = this.#ensureCaller(classUsage, caller);
		callerUsage.weight = weight;
		const start = Math.max(callerUsage.virtualTime, classUsage.virtualTime);
		classUsage.virtualTime = start;
		callerUsage.virtualTime = start + (classUsage.meanHoldMs / weight);
		callerUsage.inUse++;
		callerUsage.lastUsedAt = now;
		callerUsage.creditMs -= classUsage.meanHoldMs;
	}

	/** Counts a slot that was released after `usedMs` milliseconds. */
	endUse(workClass: WorkClass, caller: CallerId, usedMs: number): void {
		const now = this.#clock.readMonotonic();
		const classUsage = this.#classes[workClass];
		classUsage.inUse--;
		classUsage.startSum -= now - usedMs;
		const callerUsage = this.#ensureCaller(classUsage, caller);
		callerUsage.inUse--;
		callerUsage.lastUsedAt = now;
		callerUsage.virtualTime += (usedMs - classUsage.meanHoldMs) / callerUsage.weight;
		callerUsage.creditMs -= usedMs - classUsage.meanHoldMs;
		classUsage.meanHoldMs += (usedMs - classUsage.meanHoldMs) * holdSmoothing;
	}

	/** Returns the flows that may get a slot now, in order of rank. */
	rankFlows<T extends WaitingFlow>(flows: readonly T[], capacity: Capacity, shares: PoolValues['shares']): T[] {
		const classes = workClasses
			.filter(workClass => flows.some(flow => flow.workClass === workClass) && this.#isAllowed(workClass, capacity, shares))
			.toSorted((a, b) => this.#computeRank(a, capacity, shares) - this.#computeRank(b, capacity, shares));
		return classes.flatMap(workClass => flows
			.filter(flow => flow.workClass === workClass)
			.map(flow => ({flow, ...this.#readCaller(flow)}))
			.toSorted((a, b) => Number(b.hasCredit) - Number(a.hasCredit) || a.load - b.load || a.virtualTime - b.virtualTime || a.flow.waitingSince - b.flow.waitingSince)
			.map(({flow}) => flow));
	}

	/** Evicts callers that have used nothing for `callerRetentionMs`. */
	trim(): void {
		const since = this.#clock.readMonotonic() - callerRetentionMs;
		for (const classUsage of Object.values(this.#classes)) {
			for (const [caller, {inUse, lastUsedAt}] of classUsage.callers) {
				if (inUse === 0 && lastUsedAt < since) {
					classUsage.callers.delete(caller);
				}
			}
		}
	}

	#ensureCaller(classUsage: ClassUsage, caller: CallerId): CallerUsage {
		const known = classUsage.callers.get(caller);
		if (known !== undefined) {
			return known;
		}

		const created: CallerUsage = {
			inUse: 0, virtualTime: classUsage.virtualTime, weight: 1, lastUsedAt: this.#clock.readMonotonic(), averageSlots: 0, creditMs: 0, creditAt: this.#clock.readMonotonic(),
		};
		classUsage.callers.set(caller, created);
		return created;
	}

	#readCaller({workClass, caller, weight}: WaitingFlow): {load: number; virtualTime: number; hasCredit: boolean} {
		const classUsage = this.#classes[workClass];
		const callerUsage = classUsage.callers.get(caller);
		return {
			hasCredit: callerUsage !== undefined && this.#updateCredit(classUsage, callerUsage) > 0,
			load: (callerUsage?.inUse ?? 0) / weight,
			virtualTime: Math.max(callerUsage?.virtualTime ?? 0, classUsage.virtualTime),
		};
	}

	/** Adds the credit earned since the last update, up to the limit. */
	#updateCredit({meanHoldMs}: ClassUsage, callerUsage: CallerUsage): number {
		const now = this.#clock.readMonotonic();
		const rate = callerUsage.averageSlots * creditHeadroom;
		const limit = rate === 0 ? 0 : meanHoldMs + (rate * creditWindowMs);
		callerUsage.creditMs = Math.min(limit, Math.max(-limit, callerUsage.creditMs + (rate * (now - callerUsage.creditAt))));
		callerUsage.creditAt = now;
		return callerUsage.creditMs;
	}

	/** Computes the rank of a class, negative while it is below its floor; lower ranks go first. */
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
			.map(other => this.#computeReserve(other, total, shares))
			.reduce((sum, reserved) => sum + reserved, 0);
		return free > Math.max(0, reserve - this.#estimateReleases());
	}

	/** Computes how many more slots to reserve for a class: up to its recent peak usage, and at most up to its floor. */
	#computeReserve(workClass: WorkClass, total: number, shares: PoolValues['shares']): number {
		const {inUse, peak, peakAt} = this.#classes[workClass];
		const isRecent = this.#clock.readMonotonic() - peakAt <= peakRetentionMs;
		const reserved = Math.min(Math.floor(shares[workClass].floor * total), isRecent ? Math.max(peak, minReservedSlots) : minReservedSlots);
		return Math.max(0, reserved - inUse);
	}

	/** Estimates the slots released within `releaseHorizonMs`. */
	#estimateReleases(): number {
		const now = this.#clock.readMonotonic();
		let releases = 0;
		for (const {inUse, startSum, meanHoldMs} of Object.values(this.#classes)) {
			const meanAge = inUse === 0 ? 0 : now - (startSum / inUse);
			releases += inUse * releaseHorizonMs / Math.max(1, meanHoldMs, meanAge);
		}

		return releases;
	}
}
