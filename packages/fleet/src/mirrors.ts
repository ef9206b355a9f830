/**
 * A local copy of the VM rows, kept current from the change log of the table service.
 */
import {type VmId} from '@tamarackwind/core';
import {absentVersion, type Row, type TableService} from '@tamarackwind/clients';
import {
	currentFleetKey, fleetTables, formatChangeKey, type CurrentFleet, type FleetChangeRow, type VmRow,
} from './rows.js';

const changePageSize = 200;

/** Immutable VM rows as of `version`; some rows may be newer. */
export type FleetState = {
	/** Fleet version; 0 before the first change. */
	readonly version: number;
	/** Version of the row that holds the fleet version, which the next change checks. */
	readonly rowVersion: number;
	readonly vms: ReadonlyMap<VmId, VmRow>;
};

/** Reads the VM rows and their later changes. */
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

	/** Rows as of the latest read, if any. */
	get state(): FleetState | undefined {
		return this.#state;
	}

	/** Replaces the rows with `state`, such as rows that another entry has read, if it is newer. */
	acceptState(state: FleetState): void {
		if (state.version > (this.#state?.version ?? -1)) {
			this.#state = state;
		}
	}

	/** Reads the changes and returns the rows. Concurrent calls share one read. */
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
		const previous = this.#state;
		if (previous?.rowVersion !== rowVersion) {
			const changed = previous === undefined ? undefined : await this.#listChangedVms(previous.version, version);
			const vms = previous === undefined || changed === undefined ? await this.#readAll() : await this.#readSome(previous.vms, changed);
			this.acceptState({version, rowVersion, vms});
		}

		return this.#state!;
	}

	/** Lists the VMs that changed between two versions; returns `undefined` if the log does not cover them. */
	async #listChangedVms(from: number, to: number): Promise<Set<VmId> | undefined> {
		const rows = await this.#tables.scanRows(fleetTables.changes, {after: formatChangeKey(from), limit: changePageSize});
		const isComplete = rows[0]?.key === formatChangeKey(from + 1) && rows.some(row => row.key === formatChangeKey(to));
		return isComplete ? new Set(rows.flatMap(row => (row.value as FleetChangeRow).vmIds)) : undefined;
	}

	async #readAll(): Promise<Map<VmId, VmRow>> {
		const rows = await this.#tables.listRows(fleetTables.vms) as Array<Row<VmRow>>;
		return new Map(rows.map(row => [row.value.vmId, row.value]));
	}

	async #readSome(previous: ReadonlyMap<VmId, VmRow>, vmIds: ReadonlySet<VmId>): Promise<Map<VmId, VmRow>> {
		const vms = new Map(previous);
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
