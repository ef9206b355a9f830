/**
 * Plans moves of VMs between pools: a VM drains in the old pool, changes its row, and serves in the new pool.
 */
import {type MoveId, type VmId} from '@tamarackwind/core';
import {
	putMove, restoreVm, tryDrainVm, type PlanContext,
} from './plan-contexts.js';
import {type MoveRow, type VmRow} from './rows.js';
import {countDomains, pickVmKeepingSpread, type DomainCounts} from './spreads.js';

function isVmOfMove(row: VmRow, moveId: MoveId): boolean {
	return row.work?.kind === 'move' && row.work.id === moveId;
}

/** Updates every move to the current state of its VMs and drains further VMs as the budgets allow. */
export function planMoves(ctx: PlanContext, moves: readonly MoveRow[], rows: Iterable<VmRow>): void {
	const domains = moves.length === 0 ? {zones: 0, racks: 0} : countDomains(rows);
	for (const previous of moves) {
		const move = advanceVms(ctx, previous);
		if (move.state === 'running') {
			drainNextVms(ctx, move, domains);
		}

		putMove(ctx, previous, finishMove(ctx, move, domains));
	}
}

/** Lists the VMs that a move is draining. */
function listVmsOfMove({snapshot}: PlanContext, moveId: MoveId): VmRow[] {
	return snapshot.listVmsInOperation().filter(row => isVmOfMove(row, moveId));
}

function advanceVms(ctx: PlanContext, move: MoveRow): MoveRow {
	const done: VmId[] = [];
	for (const row of listVmsOfMove(ctx, move.moveId)) {
		if (move.state === 'cancelling') {
			restoreVm(ctx, row, {reservedBy: undefined});
		} else if (ctx.isDrained(row)) {
			done.push(...finishVm(ctx, move, row));
		}
	}

	return {...move, done: [...move.done, ...done]};
}

/** Assigns a drained VM to its new pool, or returns it to service in its old pool if it holds a long-lived kernel by now. */
function finishVm(ctx: PlanContext, move: MoveRow, row: VmRow): VmId[] {
	if (ctx.heldVms.has(row.vmId)) {
		restoreVm(ctx, row);
		return [];
	}

	const isLent = move.cause === 'need';
	restoreVm(ctx, row, {pool: move.to, home: isLent ? row.home : move.to, reservedBy: undefined});
	return [row.vmId];
}

function drainNextVms(ctx: PlanContext, move: MoveRow, domains: DomainCounts): void {
	for (let remaining = move.count - move.done.length - listVmsOfMove(ctx, move.moveId).length; remaining > 0; remaining--) {
		const row = pickNextVm(ctx, move, domains);
		if (row === undefined || !tryDrainVm(ctx, row, {kind: 'move', id: move.moveId, to: move.to})) {
			return;
		}
	}
}

function pickNextVm({snapshot, pools, heldVms}: PlanContext, move: MoveRow, domains: DomainCounts): VmRow | undefined {
	const from = snapshot.listMembers(move.from);
	const pool = pools.get(move.from);
	if (pool === undefined || !pools.has(move.to)) {
		return undefined;
	}

	const candidates = from.filter(row => (row.reservedBy === undefined || row.reservedBy === move.moveId)
		&& !heldVms.has(row.vmId) && snapshot.isDrainAllowed(row, pool.budget));
	if (move.vmIds.length > 0) {
		return candidates.find(row => move.vmIds.includes(row.vmId));
	}

	// VMs that other moves are draining count for their target pool. A spare pool needs no spread, since it runs no work of its own.
	const arriving = snapshot.listVmsInOperation().filter(row => row.work?.kind === 'move' && row.work.to === move.to);
	const sourceMembers = pool.isSpare ? [] : from.filter(row => row.work?.kind !== 'move');
	const targetMembers = pools.get(move.to)!.isSpare ? [] : [...snapshot.listMembers(move.to), ...arriving];
	const pickFrom = (rows: readonly VmRow[]): VmRow | undefined => pickVmKeepingSpread(rows, sourceMembers, targetMembers, domains);
	if (move.cause === 'return') {
		const borrowedVms = candidates.filter(row => row.home === move.to);
		return pickFrom(borrowedVms) ?? borrowedVms[0];
	}

	return pickFrom(candidates);
}

function finishMove(ctx: PlanContext, move: MoveRow, domains: DomainCounts): MoveRow {
	const hasNoVms = listVmsOfMove(ctx, move.moveId).length === 0;
	if (!hasNoVms) {
		return move;
	}

	if (move.state === 'cancelling') {
		clearReservations(ctx, move);
		return {...move, state: 'cancelled', finishedAt: ctx.now};
	}

	if (move.cause === 'need' && isBlockedBySpread(ctx, move, domains)) {
		return {...move, state: 'cancelled', finishedAt: ctx.now};
	}

	return isComplete(ctx, move) ? {...move, state: 'done', finishedAt: ctx.now} : move;
}

/** Reports whether no VM can move without worsening the spread over zones, regardless of the budget. */
function isBlockedBySpread({snapshot, pools}: PlanContext, move: MoveRow, domains: DomainCounts): boolean {
	const from = snapshot.listMembers(move.from);
	return move.done.length < move.count && pickVmKeepingSpread(from, pools.get(move.from)?.isSpare ? [] : from, snapshot.listMembers(move.to), domains) === undefined;
}

/** Reports whether a move has moved every VM that it can. Named VMs that left the fleet count as moved. */
function isComplete({snapshot}: PlanContext, move: MoveRow): boolean {
	const missing = move.vmIds.filter(vmId => snapshot.getRow(vmId) === undefined && !move.done.includes(vmId));
	return move.done.length + missing.length >= move.count;
}

function clearReservations({snapshot}: PlanContext, move: MoveRow): void {
	for (const vmId of move.vmIds) {
		const row = snapshot.getRow(vmId);
		if (row?.reservedBy === move.moveId) {
			snapshot.putRow({...row, reservedBy: undefined});
		}
	}
}
