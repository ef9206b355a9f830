/**
 * VMs that are about to leave their pools and get no new work.
 */
import {type Clock, type PoolName, type VmId} from '@tamarackwind/core';
import {type PeerBus} from '@tamarackwind/peer';
import {type VmRecord} from '@tamarackwind/clients';

export type LeavingVmsOptions = {
	readonly clock: Clock;
	readonly bus: PeerBus;
	/** Time after which the platform's list is believed again, in milliseconds. */
	readonly markTtlMs?: number;
};

const defaultMarkTtlMs = 60_000;

function buildKey(pool: string, vmId: string): string {
	return `${pool}\n${vmId}`;
}

type Mark = {readonly incarnation: string; readonly expiresAt: number};

/** Merges what the platform's list, the peers and the answers say about leaving VMs. */
export class LeavingVms {
	static create(options: LeavingVmsOptions): LeavingVms {
		return new LeavingVms(options);
	}

	readonly #options: LeavingVmsOptions;
	readonly #marks = new Map<string, Mark>();
	readonly #listed = new Map<PoolName, Map<string, VmRecord>>();

	private constructor(options: LeavingVmsOptions) {
		this.#options = options;
		options.bus.subscribe('leavingVms', (_from, {leavingVms}) => {
			for (const {vmId, incarnation, pool} of leavingVms.vms) {
				this.#mark(pool, vmId, incarnation);
			}
		});
	}

	/** Tells whether a VM may get no new work of a pool. */
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

	/** Marks a VM as leaving, and tells the peers, wherever the platform still lists it. */
	noteLeaving(vmId: VmId): void {
		for (const [pool, workers] of this.#listed) {
			const vm = workers.get(vmId);
			if (vm !== undefined && !this.isLeaving(pool, vm)) {
				this.#mark(pool, vmId, vm.incarnation);
				this.#sendLeaving(pool, [vm]);
			}
		}
	}

	/** Compares the platform's list of a pool with the one before, and tells the peers of VMs that have gone from it. */
	noteListing(pool: PoolName, workers: readonly VmRecord[]): void {
		const before = this.#listed.get(pool) ?? new Map<string, VmRecord>();
		const now = new Map(workers.map(vm => [vm.vmId, vm]));
		this.#listed.set(pool, now);
		for (const vmId of now.keys()) {
			if (!before.has(vmId) && before.size > 0) {
				this.#marks.delete(buildKey(pool, vmId));
			}
		}

		const gone = [...before.values()].filter(vm => !now.has(vm.vmId));
		if (gone.length > 0) {
			this.#sendLeaving(pool, gone);
		}
	}

	#mark(pool: string, vmId: string, incarnation: string): void {
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
