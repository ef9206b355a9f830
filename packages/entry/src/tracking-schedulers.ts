/**
 * Counts the requests of this entry that are in flight or wait for a slot.
 */
import {
	Scheduler, SlotGrant, type DispatchOutcome, type SlotRequest,
} from '@tamarackwind/admission';
import {type CallerId, type PoolName, type VmId} from '@tamarackwind/core';
import {type ResolvedPool} from '@tamarackwind/settings';

/** Scheduler that delegates to another scheduler and counts the slots that it grants. */
export class TrackingScheduler extends Scheduler {
	static create(inner: Scheduler): TrackingScheduler {
		return new TrackingScheduler(inner);
	}

	readonly #inner: Scheduler;
	readonly #inFlight = new Map<string, number>();
	readonly #slots = new Map<PoolName, number>();

	private constructor(inner: Scheduler) {
		super();
		this.#inner = inner;
	}

	/** Returns the number of requests in flight on a VM. */
	countInFlight(vmId: VmId): number {
		return this.#inFlight.get(vmId) ?? 0;
	}

	/** Returns the number of slots in use or requested, by pool. */
	countSlots(): ReadonlyMap<PoolName, number> {
		return this.#slots;
	}

	override async acquireSlot(request: SlotRequest): Promise<SlotGrant> {
		const pool = request.pool.name;
		addCount(this.#slots, pool, 1);
		try {
			const grant = await this.#inner.acquireSlot(request);
			addCount(this.#inFlight, grant.vm.vmId, 1);
			return new TrackedGrant(grant, () => {
				addCount(this.#slots, pool, -1);
				addCount(this.#inFlight, grant.vm.vmId, -1);
			});
		} catch (error) {
			addCount(this.#slots, pool, -1);
			throw error;
		}
	}

	override suggestRetryAfter(pool: ResolvedPool, caller: CallerId): number {
		return this.#inner.suggestRetryAfter(pool, caller);
	}

	override markLeaving(vmId: VmId): void {
		this.#inner.markLeaving(vmId);
	}

	override async close(): Promise<void> {
		await this.#inner.close();
	}
}

class TrackedGrant extends SlotGrant {
	readonly #inner: SlotGrant;
	readonly #onRelease: () => void;
	#isReleased = false;

	constructor(inner: SlotGrant, onRelease: () => void) {
		super();
		this.#inner = inner;
		this.#onRelease = onRelease;
	}

	override get vm(): SlotGrant['vm'] {
		return this.#inner.vm;
	}

	override release(outcome: DispatchOutcome): void {
		if (!this.#isReleased) {
			this.#isReleased = true;
			this.#onRelease();
			this.#inner.release(outcome);
		}
	}
}

function addCount<Key extends string>(counts: Map<Key, number>, key: Key, change: number): void {
	const count = (counts.get(key) ?? 0) + change;
	if (count === 0) {
		counts.delete(key);
	} else {
		counts.set(key, count);
	}
}
