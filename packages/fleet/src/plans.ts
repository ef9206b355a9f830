/**
 * What a plan of the fleet goes by.
 */
import {type PoolName, type VmId} from '@tamarackwind/core';
import {type ResolvedPool} from '@tamarackwind/settings';
import {
	fleetTables, type MoveRow, type VmRow, type WaveRow,
} from './rows.js';
import {type FleetSnapshot} from './snapshots.js';

/** Inputs of a plan; the snapshot also takes its outcome. */
export type PlanContext = {
	readonly snapshot: FleetSnapshot;
	readonly pools: ReadonlyMap<PoolName, ResolvedPool>;
	/** Fleet version that the plan will have once it is committed. */
	readonly nextVersion: number;
	/** Milliseconds since the Unix epoch. */
	readonly now: number;
	/** VMs that hold long-lived kernels. */
	readonly heldVms: ReadonlySet<VmId>;
	/** Tells whether no entry sends work to a draining VM any more and none is in flight on it. */
	readonly isDrained: (row: VmRow) => boolean;
	/** Tells whether a VM that was taken out runs again and answers. */
	readonly isBack: (row: VmRow) => boolean;
	/** Milliseconds for which the planner has seen the row unchanged. */
	readonly readAge: (row: VmRow) => number;
};

/** Begins to drain a VM when its pool's budget allows; returns whether it did. */
export function takeOutVm({snapshot, pools, nextVersion, now}: PlanContext, row: VmRow, work: NonNullable<VmRow['work']>): boolean {
	const pool = pools.get(row.pool);
	if (pool === undefined || !snapshot.isTakeable(row, pool.budget)) {
		return false;
	}

	snapshot.putRow({
		...row, state: 'draining', work, since: now, drainVersion: nextVersion, incarnation: snapshot.getRecord(row.vmId)?.incarnation,
	});
	return true;
}

/** Puts a VM back to service. */
export function restoreVm({snapshot, now}: PlanContext, row: VmRow, change: Partial<VmRow> = {}): void {
	snapshot.putRow({
		...row, state: 'serving', work: undefined, since: now, drainVersion: undefined, incarnation: undefined, ...change,
	});
}

/** Writes a wave when it has changed. */
export function putWave(ctx: PlanContext, before: WaveRow, after: WaveRow): void {
	if (JSON.stringify(before) !== JSON.stringify(after)) {
		ctx.snapshot.addWrite({table: fleetTables.waves, key: after.waveId, value: after});
	}
}

/** Writes a move when it has changed. */
export function putMove(ctx: PlanContext, before: MoveRow, after: MoveRow): void {
	if (JSON.stringify(before) !== JSON.stringify(after)) {
		ctx.snapshot.addWrite({table: fleetTables.moves, key: after.moveId, value: after});
	}
}
