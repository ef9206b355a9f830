/**
 * When a holder may order something of a VM: orders of two holders for one VM must lie apart. Each order is written ahead, so that
 * the next holder knows which VMs may have been ordered just before it, however the earlier one ended.
 */
import {
	readErrorMessage, type Clock, type VmId,
} from '@tamarackwind/core';
import {type Check, type RowKey, type TableService} from '@tamarackwind/clients';
import {z} from 'zod';
import {type DecisionLog} from './decision-logs.js';

export type FleetOrdersOptions = {
	readonly clock: Clock;
	readonly tables: TableService;
	readonly log: DecisionLog;
	/** Where the orders are written ahead, beside the lease of the duty. */
	readonly row: RowKey;
	/** Condition that the duty is still held; `undefined` when it is not. */
	readonly getCheck: () => Check | undefined;
	/** Least time between orders of two holders for one VM, in milliseconds. */
	readonly fleetLeaseMs: number;
	/** Tells whether orders may be given now. */
	readonly canOrder: () => boolean;
};

/** Value of the row: the VMs that were ordered lately. */
const rowSchema = z.object({vms: z.array(z.string().transform(id => id as VmId))});

/** Orders of one holder for VMs. */
export class FleetOrders {
	static create(options: FleetOrdersOptions): FleetOrders {
		return new FleetOrders(options);
	}

	readonly #options: FleetOrdersOptions;
	/** When each VM was ordered last by this holder, on the monotonic clock. */
	readonly #orderedAt = new Map<VmId, number>();
	/** VMs that an earlier holder may have ordered until this one took the duty. */
	#inherited: ReadonlySet<VmId> | undefined;
	#loadedAt = 0;

	private constructor(options: FleetOrdersOptions) {
		this.#options = options;
	}

	/** Reads which VMs an earlier holder ordered lately; call it once the duty is held, when nobody else can add to them. */
	async load(): Promise<void> {
		const {tables, row, clock} = this.#options;
		const known = await tables.getRow(row);
		this.#inherited = new Set(known === undefined ? [] : rowSchema.parse(known.value).vms);
		this.#loadedAt = clock.readMonotonic();
	}

	/** Tells whether any VM may be ordered. */
	get isOpen(): boolean {
		return this.#inherited !== undefined && this.#options.canOrder();
	}

	/** Tells whether something may be ordered of a VM. */
	isOrderable(vm: VmId): boolean {
		return this.isOpen && !(this.#inherited!.has(vm) && this.#isRecent(this.#loadedAt));
	}

	/** Writes ahead that VMs are about to be ordered; resolves to whether the orders may be sent. */
	async noteOrders(vms: readonly VmId[]): Promise<boolean> {
		const {clock, tables, row, getCheck, log} = this.#options;
		const check = getCheck();
		if (check === undefined || !vms.every(vm => this.isOrderable(vm))) {
			return false;
		}

		for (const vm of vms) {
			this.#orderedAt.set(vm, clock.readMonotonic());
		}

		try {
			const outcome = await tables.commit({checks: [check], writes: [{...row, value: {vms: this.#listRecent()}}]});
			return outcome.status === 'committed' && this.isOpen;
		} catch (error) {
			log.warn('orders not written ahead', {vms, error: readErrorMessage(error)});
			return false;
		}
	}

	#listRecent(): VmId[] {
		const inherited = this.#isRecent(this.#loadedAt) ? this.#inherited! : [];
		return [...new Set([...inherited, ...[...this.#orderedAt].filter(([, at]) => this.#isRecent(at)).map(([vm]) => vm)])];
	}

	#isRecent(at: number): boolean {
		return this.#options.clock.readMonotonic() - at <= this.#options.fleetLeaseMs;
	}
}
