/**
 * Commits changes of the fleet, each of which increments the fleet version.
 */
import {VerdictError, type RandomSource, type VmId} from '@tamarackwind/core';
import {
	type Check, type CommitOutcome, type TableService, type Transaction, type Write,
} from '@tamarackwind/clients';
import {type FleetMirror, type FleetState} from './mirrors.js';
import {
	currentFleetKey, fleetTables, formatChangeKey, type FleetChangeRow, type VmRow,
} from './rows.js';

/** Rows to write in one transaction; `undefined` deletes the row of a VM. */
export type FleetChange = {
	readonly vms: ReadonlyMap<VmId, VmRow | undefined>;
	readonly checks?: readonly Check[];
	readonly writes?: readonly Write[];
};

export type FleetStoreOptions = {
	readonly tables: TableService;
	readonly random: RandomSource;
	readonly mirror: FleetMirror;
};

/** Number of changes that the log keeps for readers that are behind. */
const changeLogLength = 1000;

/**
 * Commits changes of the fleet. Every change checks the fleet version that it was based on, so it conflicts if the rows
 * have changed since.
 */
export class FleetStore {
	static create(options: FleetStoreOptions): FleetStore {
		return new FleetStore(options);
	}

	readonly #options: FleetStoreOptions;

	private constructor(options: FleetStoreOptions) {
		this.#options = options;
	}

	/** Local copy of the rows. */
	get mirror(): FleetMirror {
		return this.#options.mirror;
	}

	/**
	 * Commits a change that is based on `state` and refreshes the mirror; resolves to whether the change took effect.
	 *
	 * @throws {VerdictError} when the outcome is unknown; a later read of the rows shows it.
	 */
	async commitChange(state: FleetState, change: FleetChange): Promise<boolean> {
		const token = this.#options.random.createToken();
		const outcome = await this.#commit(state, token, change);
		await this.mirror.refresh();
		return outcome.status === 'committed';
	}

	async #commit(state: FleetState, token: string, change: FleetChange): Promise<CommitOutcome> {
		try {
			return await this.#options.tables.commit(buildTransaction(state, token, change));
		} catch (error) {
			if (error instanceof VerdictError && error.verdict === 'may-have-run') {
				return this.#readOutcome(state.version + 1, token);
			}

			throw error;
		}
	}

	/** Reads whether a change took effect after its reply was lost. */
	async #readOutcome(version: number, token: string): Promise<CommitOutcome> {
		const row = await this.#options.tables.getRow({table: fleetTables.changes, key: formatChangeKey(version)});
		return (row?.value as FleetChangeRow | undefined)?.token === token
			? {status: 'committed', version: row!.version}
			: {status: 'conflict', conflicts: [currentFleetKey]};
	}
}

function buildTransaction(state: FleetState, token: string, {vms, checks = [], writes = []}: FleetChange): Transaction {
	const version = state.version + 1;
	const vmIds = [...vms.keys()];
	const changeRow: FleetChangeRow = {token, vmIds};
	return {
		checks: [{...currentFleetKey, version: state.rowVersion}, ...checks],
		writes: [
			{...currentFleetKey, value: {version}},
			{table: fleetTables.changes, key: formatChangeKey(version), value: changeRow},
			...(version > changeLogLength ? [{table: fleetTables.changes, key: formatChangeKey(version - changeLogLength)}] : []),
			...vmIds.map(key => ({table: fleetTables.vms, key, value: vms.get(key)})),
			...writes,
		],
	};
}
