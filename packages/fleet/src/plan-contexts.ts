/**
 * Context of a planning turn and the row changes that waves and moves share.
 */
import {type PoolName, type VmId} from '@tamarackwind/core';
import {type ResolvedPool} from '@tamarackwind/settings';
import {
	fleetTables, type MoveRow, type VmRow, type WaveRow,
} from './rows.js';
import {type FleetSnapshot} from './snapshots.js';

/** Inputs of a planning turn. The snapshot also collects the resulting changes. */
export type PlanContext = {
	readonly snapshot: FleetSnapshot;
	readonly pools: ReadonlyMap<PoolName, ResolvedPool>;
	/** Fleet version that results when the plan is committed. */
	readonly nextVersion: number;
	/** Milliseconds since the Unix epoch. */
	readonly now: number;
	/** VMs that hold long-lived kernels. */
	readonly heldVms: ReadonlySet<VmId>;
	/** Reports whether no entry dispatches work to a draining VM and no work is in flight on it. */
	readonly isDrained: (row: VmRow) => boolean;
	/** Reports whether a VM that was taken out runs a new incarnation and responds to probes. */
	readonly hasReturned: (row: VmRow) => boolean;
	/** Returns how long the planner has observed the row in its current state, in milliseconds. */
	readonly readStateAgeMs: (row: VmRow) => number;
};

/** Starts to drain a VM if the budget of its pool allows it; returns whether it did. */
export function tryDrainVm({snapshot, pools, nextVersion, now}: PlanContext, row: VmRow, operation: NonNullable<VmRow['work']>): boolean {
	const pool = pools.get(row.pool);
	if (pool === undefined || !snapshot.isDrainAllowed(row, pool.budget)) {
		return false;
	}

	snapshot.putRow({
		...row, state: 'draining', work: operation, since: now, drainVersion: nextVersion, incarnation: snapshot.getRecord(row.vmId)?.incarnation,
	});
	return true;
}

/** Returns a VM to service. */
export function restoreVm({snapshot, now}: PlanContext, row: VmRow, change: Partial<VmRow> = {}): void {
	snapshot.putRow({
		...row, state: 'serving', work: undefined, since: now, drainVersion: undefined, incarnation: undefined, ...change,
	});
}

/** Adds a write of a wave to the plan if the wave changed. */
export function putWave(ctx: PlanContext, previous: WaveRow, next: WaveRow): void {
	if (JSON.stringify(previous) !== JSON.stringify(next)) {
		ctx.snapshot.addWrite({table: fleetTables.waves, key: next.waveId, value: next});
	}
}

/** Adds a write of a move to the plan if the move changed. */
export function putMove(ctx: PlanContext, previous: MoveRow, next: MoveRow): void {
	if (JSON.stringify(previous) !== JSON.stringify(next)) {
		ctx.snapshot.addWrite({table: fleetTables.moves, key: next.moveId, value: next});
	}
}
