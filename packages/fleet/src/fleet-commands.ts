/**
 * Commands of operators: start and control waves and moves, and release VMs.
 */
import {
	VerdictError, createIssuesError, type Clock, type Issue, type MoveId, type OperatorId, type PoolName, type VmId, type WaveId,
} from '@tamarackwind/core';
import {
	type Check, type Row, type TableService, type Write,
} from '@tamarackwind/clients';
import {type ResolvedPool} from '@tamarackwind/settings';
import {type FleetState} from './mirrors.js';
import {
	fleetTables, isMoveActive, isWaveActive, type MoveRow, type VmRow, type WaveAction, type WaveRow, type WaveState,
} from './rows.js';
import {computeSkewChange, countDomains} from './spreads.js';
import {type FleetChange, type FleetStore} from './stores.js';
import {appendDoneWave} from './waves.js';

/** Selects the VMs that match every given list. */
export type VmSelector = {
	readonly pools?: readonly string[];
	readonly zones?: readonly string[];
	readonly racks?: readonly string[];
	readonly vms?: readonly string[];
};

export type WaveSpec = {
	/** Chosen by the client, so that a repeated call creates no second wave. */
	readonly waveId: WaveId;
	readonly selector: VmSelector;
	readonly action: WaveAction;
	readonly maxNotBack: number;
	readonly returnTimeoutMs: number;
	readonly deadline?: number;
	readonly includesHeld: boolean;
};

export type MoveSpec = {
	/** Chosen by the client, so that a repeated call creates no second move. */
	readonly moveId: MoveId;
	readonly from: PoolName;
	readonly to: PoolName;
	/** Number of VMs to move, which the planner chooses by spread. Mutually exclusive with `vms`. */
	readonly count?: number;
	readonly vms?: readonly VmId[];
	/** Whether named VMs may move even if that worsens the spread over zones. */
	readonly allowsWorseSpread?: boolean;
};

/** An operator's action on the fleet, as the audit trail records it. */
export type FleetAction = {
	readonly operator: OperatorId;
	/** Name of the action, for example `wave.start`. */
	readonly action: string;
	/** Id of the wave, move or VM. */
	readonly subject: string;
	readonly detail: unknown;
};

/** Checks and writes that the audit trail adds to the transaction of an action. */
export type AuditRows = {readonly checks: readonly Check[]; readonly writes: readonly Write[]};

export type FleetCommandsOptions = {
	readonly clock: Clock;
	readonly tables: TableService;
	readonly store: FleetStore;
	readonly readPools: () => ReadonlyMap<PoolName, ResolvedPool>;
	/** Builds the audit rows of an action. */
	readonly auditAction: (action: FleetAction) => Promise<AuditRows>;
};

type CommandDecision<T> = {readonly value: T; readonly change?: FleetChange; readonly action?: FleetAction};

const maxAttempts = 20;
const retryDelayMs = 20;

/**
 * Executes operators' commands. Each command is one transaction that checks the fleet version it was based on.
 *
 * @throws {IssuesError} when a command is invalid or names something that does not exist.
 * @throws {VerdictError} with code `conflict` when a command conflicts with the current state of a wave, move or VM.
 */
export class FleetCommands {
	static create(options: FleetCommandsOptions): FleetCommands {
		return new FleetCommands(options);
	}

	readonly #options: FleetCommandsOptions;

	private constructor(options: FleetCommandsOptions) {
		this.#options = options;
	}

	async listWaves(): Promise<WaveRow[]> {
		return (await this.#options.tables.listRows(fleetTables.waves) as Array<Row<WaveRow>>).map(row => row.value);
	}

	async listMoves(): Promise<MoveRow[]> {
		return (await this.#options.tables.listRows(fleetTables.moves) as Array<Row<MoveRow>>).map(row => row.value);
	}

	/** Creates a wave, or returns the existing wave with the same id. */
	async startWave(spec: WaveSpec, operator: OperatorId): Promise<WaveRow> {
		const key = {table: fleetTables.waves, key: spec.waveId};
		return this.#commit(async state => {
			const existing = await this.#options.tables.getRow(key);
			if (existing !== undefined) {
				return {value: existing.value as WaveRow};
			}

			const vmIds = selectVms(state, this.#options.readPools(), spec.selector);
			const {selector: _, ...rest} = spec;
			const wave: WaveRow = {
				...rest, state: 'running', total: vmIds.length, notBack: [], createdBy: operator, createdAt: this.#options.clock.readWall(),
			};
			const writes = [{...key, value: wave}, {table: fleetTables.waveTargets, key: spec.waveId, value: {vmIds}}];
			return {
				value: wave,
				change: {vms: new Map(), writes},
				action: {
					operator, action: 'wave.start', subject: spec.waveId, detail: spec,
				},
			};
		});
	}

	/** Pauses, resumes or cancels a wave. */
	async setWaveState(waveId: WaveId, verb: 'pause' | 'resume' | 'cancel', operator: OperatorId): Promise<WaveRow> {
		const key = {table: fleetTables.waves, key: waveId};
		return this.#commit(async () => {
			const row = await this.#options.tables.getRow(key) as Row<WaveRow> | undefined;
			if (row === undefined) {
				throw createIssuesError([{code: 'unknown_wave', path: ['wave'], message: `wave "${waveId}" does not exist`}]);
			}

			const state = ({pause: 'paused', resume: 'running', cancel: 'cancelling'} as const satisfies Record<string, WaveState>)[verb];
			if (row.value.state === state) {
				return {value: row.value};
			}

			if (!isWaveActive(row.value) || row.value.state === 'cancelling' || (row.value.state === 'expired' && verb !== 'cancel')) {
				throw createConflictError(`wave "${waveId}" is ${row.value.state}`);
			}

			const wave: WaveRow = {...row.value, state};
			return {
				value: wave,
				change: {vms: new Map(), writes: [{...key, value: wave}]},
				action: {
					operator, action: `wave.${verb}`, subject: waveId, detail: {before: row.value.state, after: state},
				},
			};
		});
	}

	/** Creates a move and reserves the named VMs, so that no other move takes them. */
	async startMove(spec: MoveSpec, operator: OperatorId): Promise<MoveRow> {
		const key = {table: fleetTables.moves, key: spec.moveId};
		return this.#commit(async state => {
			const existing = await this.#options.tables.getRow(key);
			if (existing !== undefined) {
				return {value: existing.value as MoveRow};
			}

			const rows = this.#checkMove(spec, state);
			const move: MoveRow = {
				moveId: spec.moveId, state: 'running', cause: 'operator', from: spec.from, to: spec.to, count: spec.count ?? rows.length,
				vmIds: rows.map(row => row.vmId), done: [], createdBy: operator, createdAt: this.#options.clock.readWall(),
			};
			return {
				value: move,
				change: {vms: new Map(rows.map(row => [row.vmId, {...row, reservedBy: spec.moveId}])), writes: [{...key, value: move}]},
				action: {
					operator, action: 'move.start', subject: spec.moveId, detail: spec,
				},
			};
		});
	}

	/** Cancels a move. VMs that have already moved stay in their new pool. */
	async cancelMove(moveId: MoveId, operator: OperatorId): Promise<MoveRow> {
		const key = {table: fleetTables.moves, key: moveId};
		return this.#commit(async () => {
			const row = await this.#options.tables.getRow(key) as Row<MoveRow> | undefined;
			if (row === undefined) {
				throw createIssuesError([{code: 'unknown_move', path: ['move'], message: `move "${moveId}" does not exist`}]);
			}

			if (row.value.state === 'cancelling') {
				return {value: row.value};
			}

			if (!isMoveActive(row.value)) {
				throw createConflictError(`move "${moveId}" is ${row.value.state}`);
			}

			const move: MoveRow = {...row.value, state: 'cancelling'};
			return {
				value: move,
				change: {vms: new Map(), writes: [{...key, value: move}]},
				action: {
					operator, action: 'move.cancel', subject: moveId, detail: {done: move.done},
				},
			};
		});
	}

	/** Returns a VM from a wave to service, and marks the VM as done for the wave. */
	async releaseVm(vmId: VmId, operator: OperatorId): Promise<VmRow> {
		return this.#commit(async state => {
			const row = state.vms.get(vmId);
			if (row === undefined) {
				throw createIssuesError([{code: 'unknown_vm', path: ['vm'], message: `VM "${vmId}" does not exist`}]);
			}

			if (row.state === 'serving') {
				return {value: row};
			}

			if (row.work?.kind !== 'wave') {
				throw createConflictError(`VM "${vmId}" is being moved; cancel the move instead`);
			}

			const released: VmRow = {
				...row, state: 'serving', work: undefined, drainVersion: undefined, incarnation: undefined,
				since: this.#options.clock.readWall(), doneWaves: appendDoneWave(row, row.work.id),
			};
			return {
				value: released,
				change: {vms: new Map([[vmId, released]])},
				action: {
					operator, action: 'vm.release', subject: vmId, detail: {wave: row.work.id, before: row.state},
				},
			};
		});
	}

	#checkMove({from, to, count, vms = [], allowsWorseSpread}: MoveSpec, state: FleetState): VmRow[] {
		const pools = this.#options.readPools();
		const issues = ([['from', from], ['to', to]] as const).flatMap(([field, name]) => checkMovePool(pools, field, name));
		const members = [...state.vms.values()].filter(row => row.pool === from);
		if ((count === undefined) === (vms.length === 0)) {
			issues.push({code: 'bad_selection', path: ['count'], message: 'expected either a count or VMs'});
		}

		if (from === to) {
			issues.push({code: 'same_pool', path: ['to'], message: `VMs are in pool "${to}" already`});
		}

		if ((count ?? 0) > members.length) {
			issues.push({code: 'too_many', path: ['count'], message: `pool "${from}" has ${members.length} VMs, fewer than ${count}`});
		}

		const rows = vms.map(vmId => state.vms.get(vmId));
		for (const [index, row] of rows.entries()) {
			if (row?.pool !== from) {
				issues.push({code: 'unknown_vm', path: ['vms', index], message: `VM "${vms[index]}" is not in pool "${from}"`});
			}
		}

		if (issues.length > 0) {
			throw createIssuesError(issues);
		}

		return checkNamedVms(rows as VmRow[], state, to, allowsWorseSpread ?? false);
	}

	/** Commits the decision made on the current rows, and retries after a conflicting change. */
	async #commit<T>(decide: (state: FleetState) => Promise<CommandDecision<T>>): Promise<T> {
		const {store, clock, auditAction} = this.#options;
		for (let attempt = 0; attempt < maxAttempts; attempt++) {
			const state = await store.mirror.refresh();
			const {value, change, action} = await decide(state);
			if (change === undefined) {
				return value;
			}

			const audit = await auditAction(action!);
			const isCommitted = await store.commitChange(state, {
				vms: change.vms, checks: [...change.checks ?? [], ...audit.checks], writes: [...change.writes ?? [], ...audit.writes],
			});
			if (isCommitted) {
				return value;
			}

			await clock.sleep(retryDelayMs * (1 + attempt));
		}

		throw new VerdictError('the fleet changed too often to accept this', {verdict: 'not-run', code: 'conflict'});
	}
}

function createConflictError(message: string): VerdictError {
	return new VerdictError(message, {verdict: 'not-run', code: 'conflict'});
}

function checkMovePool(pools: ReadonlyMap<PoolName, ResolvedPool>, field: string, name: PoolName): Issue[] {
	const pool = pools.get(name);
	if (pool === undefined) {
		return [{code: 'unknown_pool', path: [field], message: `pool "${name}" does not exist`}];
	}

	return pool.size === undefined
		? []
		: [{code: 'declared_size', path: [field], message: `pool "${name}" has the declared size ${pool.size}; change its size in the settings instead`}];
}

function checkNamedVms(rows: VmRow[], state: FleetState, to: PoolName, allowsWorseSpread: boolean): VmRow[] {
	const busyVm = rows.find(row => row.reservedBy !== undefined || row.work?.kind === 'move');
	if (busyVm !== undefined) {
		throw createConflictError(`VM "${busyVm.vmId}" belongs to move "${busyVm.reservedBy ?? busyVm.work?.id}"`);
	}

	const all = [...state.vms.values()];
	const domains = countDomains(all);
	const target = all.filter(row => row.pool === to);
	let source = all.filter(row => row.pool === rows[0]?.pool);
	for (const row of rows) {
		if (!allowsWorseSpread && computeSkewChange(row, source, target, domains).zone > 0) {
			throw createIssuesError([{code: 'worse_spread', path: ['vms'], message: `moving VM "${row.vmId}" to pool "${to}" would worsen the spread over zones`}]);
		}

		source = source.filter(member => member !== row);
		target.push(row);
	}

	return rows;
}

/** Selects the VMs of a wave, ordered by zone and rack. */
function selectVms(state: FleetState, pools: ReadonlyMap<PoolName, ResolvedPool>, selector: VmSelector): VmId[] {
	const rows = [...state.vms.values()];
	const known = {
		pools: new Set<string>(pools.keys()),
		zones: new Set<string>(rows.map(row => row.zone)),
		racks: new Set<string>(rows.map(row => row.rack)),
		vms: new Set<string>(rows.map(row => row.vmId)),
	};
	const issues = (['pools', 'zones', 'racks', 'vms'] as const).flatMap(field => (selector[field] ?? [])
		.filter(name => !known[field].has(name))
		.map(name => ({code: 'unknown_name', path: ['selector', field], message: `${field.slice(0, -1)} "${name}" does not exist`})));
	if (issues.length > 0) {
		throw createIssuesError(issues);
	}

	const selected = rows.filter(row => isSelected(selector.pools, row.pool) && isSelected(selector.zones, row.zone)
		&& isSelected(selector.racks, row.rack) && isSelected(selector.vms, row.vmId));
	if (selected.length === 0) {
		throw createIssuesError([{code: 'empty_wave', path: ['selector'], message: 'no VM matches the selection'}]);
	}

	return selected
		.toSorted((a, b) => a.zone.localeCompare(b.zone) || a.rack.localeCompare(b.rack) || a.vmId.localeCompare(b.vmId))
		.map(row => row.vmId);
}

function isSelected(names: readonly string[] | undefined, name: string): boolean {
	return names === undefined || names.includes(name);
}
