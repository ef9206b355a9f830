/**
 * Checks the guarantees of the fleet management against the actual state of a simulation.
 */
import {type PoolName, type VmId} from '@tamarackwind/core';
import {isWithinBudget, type VmRow} from '@tamarackwind/fleet';
import {type Budget} from '@tamarackwind/settings';

export type FleetCheckerOptions = {
	readonly budgets: ReadonlyMap<PoolName, Budget>;
	/** Reports whether a VM has been down for so long that every planner must have detected it. */
	readonly isKnownDown: (vmId: VmId) => boolean;
	/** Returns the actual incarnation of a VM. */
	readonly readIncarnation: (vmId: VmId) => string;
};

type InFlight = Map<VmId, Map<PoolName, number>>;

/** Checks the commits, requests and reboots of a simulation and collects the violations. */
export class FleetChecker {
	readonly violations: string[] = [];
	readonly #options: FleetCheckerOptions;
	readonly #inFlight: InFlight = new Map();
	#rows = new Map<VmId, VmRow>();

	constructor(options: FleetCheckerOptions) {
		this.#options = options;
	}

	/** Checks the VM rows after a commit. */
	checkRows(rows: ReadonlyMap<VmId, VmRow>): void {
		const takenOut = [...rows.values()].filter(row => row.state !== 'serving' && this.#rows.get(row.vmId)?.state === 'serving');
		for (const [pool, budget] of this.#options.budgets) {
			const members = [...rows.values()].filter(row => row.pool === pool);
			const outOfService = members.filter(row => row.state !== 'serving');
			const unavailable = members.filter(row => row.state !== 'serving' || this.#options.isKnownDown(row.vmId));
			if (!isWithinBudget(budget, members.length, outOfService)) {
				this.violations.push(`pool ${pool}: ${outOfService.length} of ${members.length} VMs taken out of service exceed the budget`);
			}

			if (takenOut.some(row => row.pool === pool) && !isWithinBudget(budget, members.length, unavailable)) {
				this.violations.push(`pool ${pool}: took out ${takenOut.map(row => row.vmId).join(', ')} with ${unavailable.length} of ${members.length} VMs unavailable`);
			}
		}

		for (const row of rows.values()) {
			const previous = this.#rows.get(row.vmId);
			if (previous !== undefined && previous.pool !== row.pool && this.countInFlight(row.vmId) > 0) {
				this.violations.push(`VM ${row.vmId} moved from ${previous.pool} to ${row.pool} with work in flight`);
			}

			if (previous?.state === 'out' && row.state === 'serving' && previous.incarnation === this.#options.readIncarnation(row.vmId)) {
				this.violations.push(`VM ${row.vmId} was returned to service before it had rebooted`);
			}
		}

		this.#rows = new Map(rows);
	}

	/** Records that an entry sent work of a pool to a VM. */
	startWork(vmId: VmId, pool: PoolName): void {
		const pools = this.#inFlight.get(vmId) ?? new Map<PoolName, number>();
		this.#inFlight.set(vmId, pools.set(pool, (pools.get(pool) ?? 0) + 1));
		if (pools.size > 1) {
			this.violations.push(`VM ${vmId} got work of ${[...pools.keys()].join(' and ')} in overlap`);
		}
	}

	finishWork(vmId: VmId, pool: PoolName): void {
		const pools = this.#inFlight.get(vmId)!;
		const count = pools.get(pool)! - 1;
		if (count === 0) {
			pools.delete(pool);
		} else {
			pools.set(pool, count);
		}
	}

	countInFlight(vmId: VmId): number {
		return [...this.#inFlight.get(vmId)?.values() ?? []].reduce((sum, count) => sum + count, 0);
	}

	/** Checks that a planned reboot interrupts no work. */
	checkReboot(vmId: VmId): void {
		if (this.countInFlight(vmId) > 0) {
			this.violations.push(`VM ${vmId} was rebooted with work in flight`);
		}
	}
}
