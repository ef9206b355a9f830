/**
 * The waves and moves that a planner works on, read again whenever the fleet version has changed.
 */
import {type VmId} from '@tamarackwind/core';
import {type Row, type RowKey, type TableService} from '@tamarackwind/clients';
import {type FleetState} from './mirrors.js';
import {
	fleetTables, isMoveActive, isWaveActive, type HoldRow, type MoveRow, type WaveRow, type WaveTargetsRow,
} from './rows.js';
import {type WavePlan} from './waves.js';

/** Finished waves and moves that are kept for operators. */
const finishedLimit = 100;

/** Rows that one plan goes by. */
export type FleetWork = {
	readonly waves: readonly WavePlan[];
	readonly moves: readonly MoveRow[];
	/** Rows of waves and moves that finished long ago. */
	readonly expired: readonly RowKey[];
};

/** Reads waves, moves and holds. */
export class WorkReader {
	static create(tables: TableService): WorkReader {
		return new WorkReader(tables);
	}

	readonly #tables: TableService;
	readonly #targets = new Map<string, readonly VmId[]>();
	#read: {readonly rowVersion: number; readonly work: FleetWork} | undefined;

	private constructor(tables: TableService) {
		this.#tables = tables;
	}

	/** Reads the work as of a state of the fleet or later. */
	async readWork({rowVersion}: FleetState): Promise<FleetWork> {
		if (this.#read?.rowVersion !== rowVersion) {
			this.#read = {rowVersion, work: await this.#readRows()};
		}

		return this.#read.work;
	}

	/** Reads which VMs hold long-lived kernels. */
	async readHeldVms(): Promise<Set<VmId>> {
		const rows = await this.#tables.listRows(fleetTables.holds) as Array<Row<HoldRow>>;
		return new Set(rows.map(row => row.value.vmId));
	}

	async #readRows(): Promise<FleetWork> {
		const waves = (await this.#tables.listRows(fleetTables.waves) as Array<Row<WaveRow>>).map(row => row.value);
		const moves = (await this.#tables.listRows(fleetTables.moves) as Array<Row<MoveRow>>).map(row => row.value);
		const active = waves.filter(wave => isWaveActive(wave)).toSorted((a, b) => a.createdAt - b.createdAt);
		const plans = await Promise.all(active.map(async wave => ({wave, targets: await this.#readTargets(wave)})));
		return {
			waves: plans,
			moves: moves.filter(move => isMoveActive(move)).toSorted((a, b) => a.createdAt - b.createdAt),
			expired: [
				...listExpired(waves.filter(wave => !isWaveActive(wave))).flatMap(({waveId}) => [
					{table: fleetTables.waves, key: waveId}, {table: fleetTables.waveTargets, key: waveId},
				]),
				...listExpired(moves.filter(move => !isMoveActive(move))).map(({moveId}) => ({table: fleetTables.moves, key: moveId})),
			],
		};
	}

	async #readTargets({waveId}: WaveRow): Promise<readonly VmId[]> {
		const known = this.#targets.get(waveId);
		if (known !== undefined) {
			return known;
		}

		const row = await this.#tables.getRow({table: fleetTables.waveTargets, key: waveId});
		const {vmIds} = row!.value as WaveTargetsRow;
		this.#targets.set(waveId, vmIds);
		return vmIds;
	}
}

function listExpired<T extends {readonly finishedAt?: number}>(finished: readonly T[]): T[] {
	return finished.toSorted((a, b) => (b.finishedAt ?? 0) - (a.finishedAt ?? 0)).slice(finishedLimit);
}
