/**
 * The fleet at one moment, as a plan changes it.
 */
import {type PoolName, type VmId} from '@tamarackwind/core';
import {type VmRecord, type Write} from '@tamarackwind/clients';
import {type Budget} from '@tamarackwind/settings';
import {isWithinBudget} from './budgets.js';
import {type VmRow} from './rows.js';

export type FleetSnapshotOptions = {
	readonly rows: ReadonlyMap<VmId, VmRow>;
	/** The platform's list, as far as it is known. */
	readonly records: ReadonlyMap<string, VmRecord>;
	/** VMs that do not answer although the list shows them as live. */
	readonly silentVms: ReadonlySet<VmId>;
};

/** Rows of the fleet with the changes of a plan laid over them. */
export class FleetSnapshot {
	static create(options: FleetSnapshotOptions): FleetSnapshot {
		return new FleetSnapshot(options);
	}

	/** Changed VM rows; one without a value is removed. */
	readonly changes = new Map<VmId, VmRow | undefined>();
	/** Further rows to write with the changes. */
	readonly writes: Write[] = [];
	readonly #options: FleetSnapshotOptions;
	readonly #vmIdsByPool = new Map<PoolName, Set<VmId>>();
	readonly #busyVmIds = new Set<VmId>();

	private constructor(options: FleetSnapshotOptions) {
		this.#options = options;
		for (const row of options.rows.values()) {
			this.#recordRow(row);
		}
	}

	getRow(vmId: VmId): VmRow | undefined {
		return this.changes.has(vmId) ? this.changes.get(vmId) : this.#options.rows.get(vmId);
	}

	getRecord(vmId: VmId): VmRecord | undefined {
		return this.#options.records.get(vmId);
	}

	/** Lists the VMs of a pool. */
	listMembers(pool: PoolName): VmRow[] {
		return [...this.#vmIdsByPool.get(pool) ?? []].map(vmId => this.getRow(vmId)!);
	}

	/** Lists the pools that have VMs. */
	listPools(): PoolName[] {
		return [...this.#vmIdsByPool.keys()];
	}

	/** Lists the VMs that a wave or move has taken out. */
	listBusy(): VmRow[] {
		return [...this.#busyVmIds].map(vmId => this.getRow(vmId)!);
	}

	/** Tells whether a VM does not serve: taken out, failed, leaving, silent or unknown to the list. */
	isOut(row: VmRow): boolean {
		return row.state !== 'serving' || this.getRecord(row.vmId)?.state !== 'live' || this.#options.silentVms.has(row.vmId);
	}

	/** Tells whether a pool keeps its budget when a serving VM is taken out as well. */
	isTakeable(row: VmRow, budget: Budget): boolean {
		const members = this.listMembers(row.pool);
		const out = members.filter(member => member.vmId === row.vmId || this.isOut(member));
		return row.state === 'serving' && row.work === undefined && isWithinBudget(budget, members.length, out);
	}

	/** Changes a VM row. */
	putRow(row: VmRow): void {
		const before = this.getRow(row.vmId);
		if (before !== undefined && before.pool !== row.pool) {
			this.#vmIdsByPool.get(before.pool)?.delete(row.vmId);
		}

		this.changes.set(row.vmId, row);
		this.#recordRow(row);
	}

	/** Removes a VM. */
	removeRow({vmId, pool}: VmRow): void {
		this.changes.set(vmId, undefined);
		this.#vmIdsByPool.get(pool)?.delete(vmId);
		this.#busyVmIds.delete(vmId);
	}

	/** Adds a row of another table to what is written. */
	addWrite(write: Write): void {
		this.writes.push(write);
	}

	#recordRow(row: VmRow): void {
		const members = this.#vmIdsByPool.get(row.pool) ?? new Set();
		this.#vmIdsByPool.set(row.pool, members.add(row.vmId));
		if (row.work === undefined) {
			this.#busyVmIds.delete(row.vmId);
		} else {
			this.#busyVmIds.add(row.vmId);
		}
	}
}
