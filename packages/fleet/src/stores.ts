/**
 * Changes of the fleet, one version after the other.
 */
import {VerdictError, type RandomSource, type VmId} from '@tamarackwind/core';
import {
	type Check, type CommitOutcome, type TableService, type Transaction, type Write,
} from '@tamarackwind/clients';
import {type FleetMirror, type FleetState} from './mirrors.js';
import {
	currentFleetKey, fleetTables, formatChangeKey, type FleetChangeRow, type VmRow,
} from './rows.js';

/** Rows to write in one transaction; a VM without a row is removed. */
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

/** Changes that the log keeps for readers that fell behind. */
const changeLogLength = 1000;

/**
 * Writes changes of the fleet. Every change checks the fleet version that it was decided on, so that a decision
 * rests on the rows as they are when it takes effect.
 */
export class FleetStore {
	static create(options: FleetStoreOptions): FleetStore {
		return new FleetStore(options);
	}

	readonly #options: FleetStoreOptions;

	private constructor(options: FleetStoreOptions) {
		this.#options = options;
	}

	/** The rows, for readers of the store. */
	get mirror(): FleetMirror {
		return this.#options.mirror;
	}

	/**
	 * Commits a change that was decided on `state`; resolves to whether it took effect. Afterwards the mirror holds the
	 * change.
	 *
	 * @throws {VerdictError} when the outcome can't be learned; reading the rows again shows it later.
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

	/** Learns whether a change took effect whose answer was lost. */
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
	const log: FleetChangeRow = {token, vmIds};
	return {
		checks: [{...currentFleetKey, version: state.rowVersion}, ...checks],
		writes: [
			{...currentFleetKey, value: {version}},
			{table: fleetTables.changes, key: formatChangeKey(version), value: log},
			...(version > changeLogLength ? [{table: fleetTables.changes, key: formatChangeKey(version - changeLogLength)}] : []),
			...vmIds.map(key => ({table: fleetTables.vms, key, value: vms.get(key)})),
			...writes,
		],
	};
}
