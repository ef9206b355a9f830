/**
 * When a holder may order something of a VM: orders of two holders for one VM must lie apart.
 */
import {type Clock, type VmId} from '@tamarackwind/core';

/** What a holder that gives the duty up tells the next one. */
export type FleetHandover = {
	/** VMs that were ordered so lately that the next holder has to wait before it orders something of them. */
	readonly recentVms: readonly VmId[];
};

export type FleetOrdersOptions = {
	readonly clock: Clock;
	/** Least time between orders of two holders for one VM, in milliseconds. */
	readonly fleetLeaseMs: number;
	/** What the earlier holder left; `undefined` when any VM may have been ordered until just now. */
	readonly handover: FleetHandover | undefined;
	/** Tells whether the duty is held. */
	readonly canOrder: () => boolean;
};

/** Orders of one holder for VMs. */
export class FleetOrders {
	static create(options: FleetOrdersOptions): FleetOrders {
		return new FleetOrders(options);
	}

	readonly #options: FleetOrdersOptions;
	readonly #createdAt: number;
	/** When each VM was ordered last by this holder, or may have been by an earlier one, on the monotonic clock. */
	readonly #orderedAt: Map<VmId, number>;

	private constructor(options: FleetOrdersOptions) {
		this.#options = options;
		this.#createdAt = options.clock.readMonotonic();
		this.#orderedAt = new Map(options.handover?.recentVms.map(vm => [vm, this.#createdAt]));
	}

	/** Tells whether any VM may be ordered. */
	get isOpen(): boolean {
		const {handover, canOrder} = this.#options;
		return canOrder() && (handover !== undefined || !this.#isRecent(this.#createdAt));
	}

	/** Tells whether something may be ordered of a VM. */
	isOrderable(vm: VmId): boolean {
		const {handover} = this.#options;
		const isInherited = handover?.recentVms.includes(vm) === true && this.#orderedAt.get(vm) === this.#createdAt;
		return this.isOpen && !(isInherited && this.#isRecent(this.#createdAt));
	}

	/** Notes an order before it is sent. */
	noteOrder(vm: VmId): void {
		this.#orderedAt.set(vm, this.#options.clock.readMonotonic());
	}

	/** What the next holder has to know; `undefined` when an earlier holder may have ordered any VM just now. */
	describeHandover(): FleetHandover | undefined {
		if (this.#options.handover === undefined && this.#isRecent(this.#createdAt)) {
			return undefined;
		}

		return {recentVms: [...this.#orderedAt].filter(([, at]) => this.#isRecent(at)).map(([vm]) => vm)};
	}

	#isRecent(at: number): boolean {
		return this.#options.clock.readMonotonic() - at <= this.#options.fleetLeaseMs;
	}
}
