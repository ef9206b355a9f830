/**
 * Reads the active waves and moves, and caches them until the fleet version changes.
 */
import {type VmId} from '@tamarackwind/core';
import {type Row, type RowKey, type TableService} from '@tamarackwind/clients';
import {type FleetState} from './mirrors.js';
import {
	fleetTables, isMoveActive, isWaveActive, type HoldRow, type MoveRow, type WaveRow, type WaveTargetsRow,
} from './rows.js';
import {type WaveWithTargets} from './waves.js';

/** Number of finished waves, and of finished moves, that are kept for operators. */
const finishedLimit = 100;

/** Active waves and moves, and the rows to delete. */
export type FleetOperations = {
	readonly waves: readonly WaveWithTargets[];
	readonly moves: readonly MoveRow[];
	/** Keys of the finished waves and moves beyond those that are kept. */
	readonly expired: readonly RowKey[];
};

/** Reads waves, moves and holds. */
export class OperationReader {
	static create(tables: TableService): OperationReader {
		return new OperationReader(tables);
	}

	readonly #tables: TableService;
	readonly #targets = new Map<string, readonly VmId[]>();
	#lastRead: {readonly rowVersion: number; readonly operations: FleetOperations} | undefined;

	private constructor(tables: TableService) {
		this.#tables = tables;
	}

	/** Reads the waves and moves as of `rowVersion` or later. */
	async readOperations({rowVersion}: FleetState): Promise<FleetOperations> {
		if (this.#lastRead?.rowVersion !== rowVersion) {
			this.#lastRead = {rowVersion, operations: await this.#readRows()};
		}

		return this.#lastRead.operations;
	}

	/** Reads which VMs hold long-lived kernels. */
	async readHeldVms(): Promise<Set<VmId>> {
		const rows = await this.#tables.listRows(fleetTables.holds) as Array<Row<HoldRow>>;
		return new Set(rows.map(row => row.value.vmId));
	}

	async #readRows(): Promise<FleetOperations> {
		const waves = (await this.#tables.listRows(fleetTables.waves) as Array<Row<WaveRow>>).map(row => row.value);
		const moves = (await this.#tables.listRows(fleetTables.moves) as Array<Row<MoveRow>>).map(row => row.value);
		const active = waves.filter(wave => isWaveActive(wave)).toSorted((a, b) => a.createdAt - b.createdAt);
		const activeWithTargets = await Promise.all(active.map(async wave => ({wave, targets: await this.#readTargets(wave)})));
		return {
			waves: activeWithTargets,
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
		const cached = this.#targets.get(waveId);
		if (cached !== undefined) {
			return cached;
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
