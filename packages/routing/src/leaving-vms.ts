/**
 * VMs that are leaving their pools and get no new work.
 */
import {type Clock, type PoolName, type VmId} from '@tamarackwind/core';
import {type PeerBus} from '@tamarackwind/peer';
import {type VmRecord} from '@tamarackwind/clients';

export type LeavingVmsOptions = {
	readonly clock: Clock;
	readonly bus: PeerBus;
	/** Time after which a mark expires and the VM is usable again if the platform still lists it, in milliseconds. */
	readonly markTtlMs?: number;
};

const defaultMarkTtlMs = 60_000;

function buildKey(pool: string, vmId: string): string {
	return `${pool}\n${vmId}`;
}

type LeavingMark = {readonly incarnation: string; readonly expiresAt: number};

/** Combines the evidence of leaving VMs from the platform's list, the peers and the VMs' responses. */
export class LeavingVms {
	static create(options: LeavingVmsOptions): LeavingVms {
		return new LeavingVms(options);
	}

	readonly #options: LeavingVmsOptions;
	readonly #marks = new Map<string, LeavingMark>();
	readonly #listings = new Map<PoolName, Map<string, VmRecord>>();

	private constructor(options: LeavingVmsOptions) {
		this.#options = options;
		options.bus.subscribe('leavingVms', (_from, {leavingVms}) => {
			for (const {vmId, incarnation, pool} of leavingVms.vms) {
				this.#addMark(pool, vmId, incarnation);
			}
		});
	}

	/** Reports whether a VM is leaving a pool. */
	isLeaving(pool: PoolName, vm: VmRecord): boolean {
		const key = buildKey(pool, vm.vmId);
		const mark = this.#marks.get(key);
		if (mark === undefined) {
			return false;
		}

		if (mark.incarnation === vm.incarnation && this.#options.clock.readMonotonic() < mark.expiresAt) {
			return true;
		}

		this.#marks.delete(key);
		return false;
	}

	/** Marks a VM as leaving in every pool that still lists it, and notifies the peers. */
	markLeaving(vmId: VmId): void {
		for (const [pool, workers] of this.#listings) {
			const vm = workers.get(vmId);
			if (vm !== undefined && !this.isLeaving(pool, vm)) {
				this.#addMark(pool, vmId, vm.incarnation);
				this.#sendLeaving(pool, [vm]);
			}
		}
	}

	/** Compares the platform's list of a pool with the previous one, and notifies the peers of VMs that are no longer listed. */
	updateListing(pool: PoolName, workers: readonly VmRecord[]): void {
		const previous = this.#listings.get(pool) ?? new Map<string, VmRecord>();
		const current = new Map(workers.map(vm => [vm.vmId, vm]));
		this.#listings.set(pool, current);
		for (const vmId of current.keys()) {
			if (!previous.has(vmId) && previous.size > 0) {
				this.#marks.delete(buildKey(pool, vmId));
			}
		}

		const removedVms = [...previous.values()].filter(vm => !current.has(vm.vmId));
		if (removedVms.length > 0) {
			this.#sendLeaving(pool, removedVms);
		}
	}

	#addMark(pool: string, vmId: string, incarnation: string): void {
		const {clock, markTtlMs} = this.#options;
		this.#marks.set(buildKey(pool, vmId), {incarnation, expiresAt: clock.readMonotonic() + (markTtlMs ?? defaultMarkTtlMs)});
	}

	#sendLeaving(pool: PoolName, vms: readonly VmRecord[]): void {
		this.#options.bus.sendToAll({
			$case: 'leavingVms',
			leavingVms: {vms: vms.map(({vmId, incarnation}) => ({vmId, incarnation, pool}))},
		});
	}
}
