/**
 * Drain reports: each entry reports which draining VMs still run work that it dispatched.
 */
import {
	Loop, type Clock, type EntryId, type VmId,
} from '@tamarackwind/core';
import {type Row, type TableService} from '@tamarackwind/clients';
import {type FleetState} from './mirrors.js';
import {fleetTables, type VmRow} from './rows.js';

/** Value of an entry's row. */
export type DrainRow = {
	/** Highest fleet version at which one of the draining VMs that the entry knows started to drain; 0 if none drains. */
	readonly version: number;
	/** Draining VMs on which the entry has work in flight, as of that version. */
	readonly busyVms: readonly VmId[];
};

export type DrainReporterOptions = {
	readonly clock: Clock;
	readonly tables: TableService;
	readonly entryId: EntryId;
	/** Returns the fleet state that the entry uses to dispatch work. */
	readonly readState: () => FleetState | undefined;
	readonly countInFlight: (vmId: VmId) => number;
	readonly onError: (error: unknown) => void;
};

const reportIntervalMs = 250;

/** Writes this entry's row once at the start, and whenever it changes while VMs drain. */
export class DrainReporter {
	static create(options: DrainReporterOptions): DrainReporter {
		return new DrainReporter(options);
	}

	readonly #options: DrainReporterOptions;
	readonly #loop: Loop;
	#reported: DrainRow | undefined;

	private constructor(options: DrainReporterOptions) {
		this.#options = options;
		this.#loop = Loop.create({
			clock: options.clock, intervalMs: reportIntervalMs, run: async () => this.#runTurn(), onError: options.onError,
		});
	}

	/** Stops reporting and deletes the row. Call it only when no work is in flight. */
	async close(): Promise<void> {
		await this.#loop.close();
		try {
			await this.#options.tables.commit({checks: [], writes: [this.#key]});
		} catch (error) {
			this.#options.onError(error);
		}
	}

	get #key(): {table: string; key: string} {
		return {table: fleetTables.drains, key: this.#options.entryId};
	}

	async #runTurn(): Promise<void> {
		const state = this.#options.readState();
		if (state === undefined) {
			return;
		}

		const draining = [...state.vms.values()].filter(row => row.state === 'draining');
		const row: DrainRow = {
			version: Math.max(0, ...draining.map(vm => vm.drainVersion ?? 0)),
			busyVms: draining.filter(vm => this.#options.countInFlight(vm.vmId) > 0).map(vm => vm.vmId).toSorted(),
		};
		if (draining.length === 0 && this.#reported !== undefined) {
			return;
		}

		if (JSON.stringify(row) !== JSON.stringify(this.#reported)) {
			await this.#options.tables.commit({checks: [], writes: [{...this.#key, value: row}]});
			this.#reported = row;
		}
	}
}

/** Determines which draining VMs run no work of any entry. */
export abstract class DrainSource {
	/** Reads the reports of the entries. */
	abstract refresh(): Promise<void>;

	/** Reports whether every entry has reported that it runs no work on a VM. */
	abstract isReportedIdle(row: VmRow): boolean;
}

/** Reads the rows of the entries. A VM counts as busy while a live entry has no row. */
export class TableDrainSource extends DrainSource {
	/** Creates a source; `listEntries` returns the entries that are known to be live. */
	static create(tables: TableService, listEntries: () => readonly EntryId[]): TableDrainSource {
		return new TableDrainSource(tables, listEntries);
	}

	readonly #tables: TableService;
	readonly #listEntries: () => readonly EntryId[];
	#rows = new Map<string, DrainRow>();

	private constructor(tables: TableService, listEntries: () => readonly EntryId[]) {
		super();
		this.#tables = tables;
		this.#listEntries = listEntries;
	}

	override async refresh(): Promise<void> {
		const rows = await this.#tables.listRows(fleetTables.drains) as Array<Row<DrainRow>>;
		this.#rows = new Map(rows.map(row => [row.key, row.value]));
	}

	override isReportedIdle({vmId, drainVersion = 0}: VmRow): boolean {
		const isComplete = this.#listEntries().every(entryId => this.#rows.has(entryId));
		return isComplete && [...this.#rows.values()].every(row => row.version >= drainVersion && !row.busyVms.includes(vmId));
	}
}
