/**
 * Decides when a holder may send orders for a VM, since orders of two holders for one VM must be separated in time. Each order is
 * recorded before it is sent, so that the next holder knows the VMs with recent orders even if the earlier holder crashed.
 */
import {
	readErrorMessage, type Clock, type VmId,
} from '@tamarackwind/core';
import {
	absentVersion, type Check, type RowKey, type TableService,
} from '@tamarackwind/clients';
import * as z from 'zod';
import {type RateLimitedLog} from './rate-limited-logs.js';

export type FleetOrdersOptions = {
	readonly clock: Clock;
	readonly tables: TableService;
	readonly log: RateLimitedLog;
	/** Row in which orders are recorded before they are sent, in the partition of the scheduler lease. */
	readonly row: RowKey;
	/** Returns the commit condition that the scheduler lease is still held; `undefined` when it is not. */
	readonly getCheck: () => Check | undefined;
	/** Minimum time between orders of different holders for one VM, in milliseconds. */
	readonly fleetLeaseMs: number;
	/** Reports whether orders may be sent now. */
	readonly canOrder: () => boolean;
};

/** Value of the row: the VMs with recent orders. */
const rowSchema = z.object({vms: z.array(z.string().transform(id => id as VmId))});

/** Tracks the VM orders of one holder. */
export class FleetOrders {
	static create(options: FleetOrdersOptions): FleetOrders {
		return new FleetOrders(options);
	}

	readonly #options: FleetOrdersOptions;
	/** VMs whose last order has no answer yet, with the time until which it may be carried out, on the monotonic clock. */
	readonly #unanswered = new Map<VmId, number>();
	/** Time at which this holder last sent an order for each VM, on the monotonic clock. */
	readonly #sentAt = new Map<VmId, number>();
	/** Time of this holder's last order for each VM, on the monotonic clock. */
	readonly #orderedAt = new Map<VmId, number>();
	/** VMs for which an earlier holder may have sent orders until this one acquired the scheduler lease; `undefined` before they are loaded. */
	#inherited: ReadonlySet<VmId> | undefined;
	#loadedAt = 0;
	/** Version of the row that this holder wrote or read last; a delayed write of an older list fails by it. */
	#rowVersion = absentVersion;
	#lastRecord: Promise<unknown> = Promise.resolve();

	private constructor(options: FleetOrdersOptions) {
		this.#options = options;
	}

	/** Loads the VMs for which an earlier holder recently sent orders; call it once the scheduler lease is held, when no other holder can add to them. */
	async load(): Promise<void> {
		const {tables, row, clock} = this.#options;
		const known = await tables.getRow(row);
		this.#inherited = new Set(known === undefined ? [] : rowSchema.parse(known.value).vms);
		this.#rowVersion = known?.version ?? absentVersion;
		this.#loadedAt = clock.readMonotonic();
	}

	/** Whether orders may be sent at all. */
	get canSendOrders(): boolean {
		return this.#inherited !== undefined && this.#options.canOrder();
	}

	/** Reports whether an order may be sent for a VM. */
	isOrderable(vm: VmId): boolean {
		return this.canSendOrders && !(this.#inherited!.has(vm) && this.#isRecent(this.#loadedAt));
	}

	/** Notes that an order for a VM is being sent, which may be carried out for `termMs` milliseconds if it gets no answer. */
	noteSent(vm: VmId, termMs: number): void {
		const now = this.#options.clock.readMonotonic();
		this.#sentAt.set(vm, now);
		this.#unanswered.set(vm, now + termMs);
	}

	/** Reports whether an order for a VM was sent at a time on the monotonic clock or later. */
	hasSentSince(vm: VmId, time: number): boolean {
		return (this.#sentAt.get(vm) ?? Number.NEGATIVE_INFINITY) >= time;
	}

	/** Notes that the last order for a VM was answered. */
	noteAnswered(vm: VmId): void {
		this.#unanswered.delete(vm);
	}

	/** Reports whether an earlier order for a VM, of this holder or of the one before, may still be carried out. */
	isPending(vm: VmId): boolean {
		return !this.isOrderable(vm) || this.#options.clock.readMonotonic() < (this.#unanswered.get(vm) ?? Number.NEGATIVE_INFINITY);
	}

	/** Records orders for VMs before they are sent; resolves to whether they may be sent. Concurrent calls are recorded one after the other. */
	async recordOrders(vms: readonly VmId[]): Promise<boolean> {
		const record = async (previous: Promise<unknown>): Promise<boolean> => {
			await previous;
			return this.#recordNow(vms);
		};

		const recorded = record(this.#lastRecord);
		this.#lastRecord = recorded;
		return recorded;
	}

	async #recordNow(vms: readonly VmId[]): Promise<boolean> {
		const {clock, tables, row, getCheck, log} = this.#options;
		const check = getCheck();
		if (check === undefined || !vms.every(vm => this.isOrderable(vm))) {
			return false;
		}

		for (const vm of vms) {
			this.#orderedAt.set(vm, clock.readMonotonic());
		}

		try {
			const outcome = await tables.commit({checks: [check, {...row, version: this.#rowVersion}], writes: [{...row, value: {vms: this.#listRecent()}}]});
			if (outcome.status === 'conflict') {
				await this.#refreshVersion();
				return false;
			}

			this.#rowVersion = outcome.version;
			return this.canSendOrders;
		} catch (error) {
			log.warn('recording orders failed', {vms, error: readErrorMessage(error)});
			return false;
		}
	}

	/** Reads the row's version after a conflict, which a write of this holder without a response may have caused. */
	async #refreshVersion(): Promise<void> {
		const {tables, row} = this.#options;
		this.#rowVersion = (await tables.getRow(row))?.version ?? absentVersion;
	}

	#listRecent(): VmId[] {
		const inherited = this.#isRecent(this.#loadedAt) ? this.#inherited! : [];
		return [...new Set([...inherited, ...[...this.#orderedAt].filter(([, at]) => this.#isRecent(at)).map(([vm]) => vm)])];
	}

	#isRecent(at: number): boolean {
		return this.#options.clock.readMonotonic() - at <= this.#options.fleetLeaseMs;
	}
}
