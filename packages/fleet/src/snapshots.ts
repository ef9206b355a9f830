/**
 * The state of the fleet in one planning turn, with the changes that the plan makes.
 */
import {type PoolName, type VmId} from '@tamarackwind/core';
import {type VmRecord, type Write} from '@tamarackwind/clients';
import {type Budget} from '@tamarackwind/settings';
import {isWithinBudget} from './budgets.js';
import {type VmRow} from './rows.js';

export type FleetSnapshotOptions = {
	readonly rows: ReadonlyMap<VmId, VmRow>;
	/** VMs of the platform's list; empty if the list is unknown or too old. */
	readonly records: ReadonlyMap<string, VmRecord>;
	/** VMs that do not respond to probes although the platform's list shows them as live. */
	readonly silentVms: ReadonlySet<VmId>;
};

/** Rows of the fleet, overlaid with the changes of a plan. */
export class FleetSnapshot {
	static create(options: FleetSnapshotOptions): FleetSnapshot {
		return new FleetSnapshot(options);
	}

	/** Changed VM rows; `undefined` deletes a row. */
	readonly changes = new Map<VmId, VmRow | undefined>();
	/** Rows of other tables to write in the same transaction. */
	readonly writes: Write[] = [];
	readonly #options: FleetSnapshotOptions;
	readonly #vmIdsByPool = new Map<PoolName, Set<VmId>>();
	readonly #vmIdsInOperation = new Set<VmId>();

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

	/** Lists the VMs that a wave or move is draining or has taken out. */
	listVmsInOperation(): VmRow[] {
		return [...this.#vmIdsInOperation].map(vmId => this.getRow(vmId)!);
	}

	/** Reports whether a VM is out of service: draining, taken out, not live in the platform's list, or not responding to probes. */
	isUnavailable(row: VmRow): boolean {
		return row.state !== 'serving' || this.getRecord(row.vmId)?.state !== 'live' || this.#options.silentVms.has(row.vmId);
	}

	/** Reports whether a serving VM can drain without exceeding the budget of its pool. */
	isDrainAllowed(row: VmRow, budget: Budget): boolean {
		const members = this.listMembers(row.pool);
		const unavailableVms = members.filter(member => member.vmId === row.vmId || this.isUnavailable(member));
		return row.state === 'serving' && row.work === undefined && isWithinBudget(budget, members.length, unavailableVms);
	}

	/** Replaces a VM row. */
	putRow(row: VmRow): void {
		const previous = this.getRow(row.vmId);
		if (previous !== undefined && previous.pool !== row.pool) {
			this.#vmIdsByPool.get(previous.pool)?.delete(row.vmId);
		}

		this.changes.set(row.vmId, row);
		this.#recordRow(row);
	}

	/** Deletes a VM row. */
	removeRow({vmId, pool}: VmRow): void {
		this.changes.set(vmId, undefined);
		this.#vmIdsByPool.get(pool)?.delete(vmId);
		this.#vmIdsInOperation.delete(vmId);
	}

	/** Adds a write of another table to the plan. */
	addWrite(write: Write): void {
		this.writes.push(write);
	}

	#recordRow(row: VmRow): void {
		const members = this.#vmIdsByPool.get(row.pool) ?? new Set();
		this.#vmIdsByPool.set(row.pool, members.add(row.vmId));
		if (row.work === undefined) {
			this.#vmIdsInOperation.delete(row.vmId);
		} else {
			this.#vmIdsInOperation.add(row.vmId);
		}
	}
}
