/**
 * Checks of the fleet's promises against what really happened.
 */
import {type PoolName, type VmId} from '@tamarackwind/core';
import {isWithinBudget, type VmRow} from '@tamarackwind/fleet';
import {type Budget} from '@tamarackwind/settings';

export type FleetCheckerOptions = {
	readonly budgets: ReadonlyMap<PoolName, Budget>;
	/** Tells whether a VM has been down for so long that any planner must know. */
	readonly isKnownDown: (vmId: VmId) => boolean;
};

type InFlight = Map<VmId, Map<PoolName, number>>;

/** Keeps every violation that it has seen. */
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
		const taken = [...rows.values()].filter(row => row.state !== 'serving' && this.#rows.get(row.vmId)?.state === 'serving');
		for (const [pool, budget] of this.#options.budgets) {
			const members = [...rows.values()].filter(row => row.pool === pool);
			const planned = members.filter(row => row.state !== 'serving');
			const out = members.filter(row => row.state !== 'serving' || this.#options.isKnownDown(row.vmId));
			if (!isWithinBudget(budget, members.length, planned)) {
				this.violations.push(`pool ${pool}: ${planned.length} of ${members.length} VMs taken out break the budget`);
			}

			if (taken.some(row => row.pool === pool) && !isWithinBudget(budget, members.length, out)) {
				this.violations.push(`pool ${pool}: took out ${taken.map(row => row.vmId).join(', ')} with ${out.length} of ${members.length} VMs out or down`);
			}
		}

		for (const row of rows.values()) {
			const before = this.#rows.get(row.vmId);
			if (before !== undefined && before.pool !== row.pool && this.countInFlight(row.vmId) > 0) {
				this.violations.push(`VM ${row.vmId} moved from ${before.pool} to ${row.pool} with work in flight`);
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

	/** Checks that a planned reboot cuts no work. */
	checkReboot(vmId: VmId): void {
		if (this.countInFlight(vmId) > 0) {
			this.violations.push(`VM ${vmId} was rebooted with work in flight`);
		}
	}
}
