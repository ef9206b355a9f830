/**
 * A copy of the VM rows that follows the table service by deltas.
 */
import {type VmId} from '@tamarackwind/core';
import {absentVersion, type Row, type TableService} from '@tamarackwind/clients';
import {
	currentFleetKey, fleetTables, formatChangeKey, type CurrentFleet, type FleetChangeRow, type VmRow,
} from './rows.js';

const changePageSize = 200;

/** The VM rows as of `version`, or in part later; never changes. */
export type FleetState = {
	/** Fleet version; 0 before the first change. */
	readonly version: number;
	/** Version of the row that names the fleet version, for the check of the next change. */
	readonly rowVersion: number;
	readonly vms: ReadonlyMap<VmId, VmRow>;
};

/** Follows the VM rows. */
export class FleetMirror {
	static create(tables: TableService): FleetMirror {
		return new FleetMirror(tables);
	}

	readonly #tables: TableService;
	#state: FleetState | undefined;
	#refreshing: Promise<FleetState> | undefined;

	private constructor(tables: TableService) {
		this.#tables = tables;
	}

	/** The rows as last read, once they were. */
	get state(): FleetState | undefined {
		return this.#state;
	}

	/** Takes rows that another entry has read, unless these are as new. */
	acceptState(state: FleetState): void {
		if (state.version > (this.#state?.version ?? -1)) {
			this.#state = state;
		}
	}

	/** Reads what has changed and gives the rows; a call during another shares its outcome. */
	async refresh(): Promise<FleetState> {
		this.#refreshing ??= this.#read();
		try {
			return await this.#refreshing;
		} finally {
			this.#refreshing = undefined;
		}
	}

	async #read(): Promise<FleetState> {
		const row = await this.#tables.getRow(currentFleetKey) as Row<CurrentFleet> | undefined;
		const version = row?.value.version ?? 0;
		const rowVersion = row?.version ?? absentVersion;
		const before = this.#state;
		if (before?.rowVersion !== rowVersion) {
			const changed = before === undefined ? undefined : await this.#listChangedVms(before.version, version);
			const vms = before === undefined || changed === undefined ? await this.#readAll() : await this.#readSome(before.vms, changed);
			this.acceptState({version, rowVersion, vms});
		}

		return this.#state!;
	}

	/** Lists the VMs that changed between two versions, or gives `undefined` when the log does not reach back. */
	async #listChangedVms(from: number, to: number): Promise<Set<VmId> | undefined> {
		const rows = await this.#tables.scanRows(fleetTables.changes, {after: formatChangeKey(from), limit: changePageSize});
		const isComplete = rows[0]?.key === formatChangeKey(from + 1) && rows.some(row => row.key === formatChangeKey(to));
		return isComplete ? new Set(rows.flatMap(row => (row.value as FleetChangeRow).vmIds)) : undefined;
	}

	async #readAll(): Promise<Map<VmId, VmRow>> {
		const rows = await this.#tables.listRows(fleetTables.vms) as Array<Row<VmRow>>;
		return new Map(rows.map(row => [row.value.vmId, row.value]));
	}

	async #readSome(before: ReadonlyMap<VmId, VmRow>, vmIds: ReadonlySet<VmId>): Promise<Map<VmId, VmRow>> {
		const vms = new Map(before);
		const ids = [...vmIds];
		const rows = ids.length === 0 ? [] : await this.#tables.getRows(ids.map(key => ({table: fleetTables.vms, key})));
		for (const [index, vmId] of ids.entries()) {
			const row = rows[index];
			if (row === undefined) {
				vms.delete(vmId);
			} else {
				vms.set(vmId, row.value as VmRow);
			}
		}

		return vms;
	}
}
