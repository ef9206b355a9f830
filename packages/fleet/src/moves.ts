/**
 * Moves of VMs between pools: drain in the old pool, change the row, serve in the new one.
 */
import {type MoveId, type VmId} from '@tamarackwind/core';
import {
	putMove, restoreVm, takeOutVm, type PlanContext,
} from './plans.js';
import {type MoveRow, type VmRow} from './rows.js';
import {countDomains, pickSpreadingVm, type DomainCounts} from './spreads.js';

function isWorkOf(row: VmRow, moveId: MoveId): boolean {
	return row.work?.kind === 'move' && row.work.id === moveId;
}

/** Moves every move on by what has happened, and takes out as many VMs as the budgets allow. */
export function planMoves(ctx: PlanContext, moves: readonly MoveRow[], rows: Iterable<VmRow>): void {
	const domains = moves.length === 0 ? {zones: 0, racks: 0} : countDomains(rows);
	for (const before of moves) {
		const move = advanceVms(ctx, before);
		if (move.state === 'running') {
			takeNextVms(ctx, move, domains);
		}

		putMove(ctx, before, finishMove(ctx, move, domains));
	}
}

/** Lists the VMs that a move has taken out and not moved yet. */
function listTaken({snapshot}: PlanContext, moveId: MoveId): VmRow[] {
	return snapshot.listBusy().filter(row => isWorkOf(row, moveId));
}

function advanceVms(ctx: PlanContext, move: MoveRow): MoveRow {
	const done: VmId[] = [];
	for (const row of listTaken(ctx, move.moveId)) {
		if (move.state === 'cancelling') {
			restoreVm(ctx, row, {reservedBy: undefined});
		} else if (ctx.isDrained(row)) {
			done.push(...finishVm(ctx, move, row));
		}
	}

	return {...move, done: [...move.done, ...done]};
}

/** Puts a drained VM into its new pool, or back when work has come that holds it. */
function finishVm(ctx: PlanContext, move: MoveRow, row: VmRow): VmId[] {
	if (ctx.heldVms.has(row.vmId)) {
		restoreVm(ctx, row);
		return [];
	}

	const isLent = move.cause === 'need';
	restoreVm(ctx, row, {pool: move.to, home: isLent ? row.home : move.to, reservedBy: undefined});
	return [row.vmId];
}

function takeNextVms(ctx: PlanContext, move: MoveRow, domains: DomainCounts): void {
	for (let left = move.count - move.done.length - listTaken(ctx, move.moveId).length; left > 0; left--) {
		const row = pickNextVm(ctx, move, domains);
		if (row === undefined || !takeOutVm(ctx, row, {kind: 'move', id: move.moveId, to: move.to})) {
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
		&& !heldVms.has(row.vmId) && snapshot.isTakeable(row, pool.budget));
	if (move.vmIds.length > 0) {
		return candidates.find(row => move.vmIds.includes(row.vmId));
	}

	// VMs that other moves have taken count where they are going; a spare pool, which runs no work of its own, needs no spread.
	const arriving = snapshot.listBusy().filter(row => row.work?.kind === 'move' && row.work.to === move.to);
	const staying = pool.isSpare ? [] : from.filter(row => row.work?.kind !== 'move');
	const joined = pools.get(move.to)!.isSpare ? [] : [...snapshot.listMembers(move.to), ...arriving];
	const pickFrom = (rows: readonly VmRow[]): VmRow | undefined => pickSpreadingVm(rows, staying, joined, domains);
	if (move.cause === 'return') {
		const lent = candidates.filter(row => row.home === move.to);
		return pickFrom(lent) ?? lent[0];
	}

	return pickFrom(candidates);
}

function finishMove(ctx: PlanContext, move: MoveRow, domains: DomainCounts): MoveRow {
	const isEmpty = listTaken(ctx, move.moveId).length === 0;
	if (!isEmpty) {
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

/** Tells whether no VM can move without worsening the spread over zones, whatever the budget. */
function isBlockedBySpread({snapshot, pools}: PlanContext, move: MoveRow, domains: DomainCounts): boolean {
	const from = snapshot.listMembers(move.from);
	return move.done.length < move.count && pickSpreadingVm(from, pools.get(move.from)?.isSpare ? [] : from, snapshot.listMembers(move.to), domains) === undefined;
}

/** Tells whether a move has moved all that it can; named VMs that left the fleet are not waited for. */
function isComplete({snapshot}: PlanContext, move: MoveRow): boolean {
	const gone = move.vmIds.filter(vmId => snapshot.getRow(vmId) === undefined && !move.done.includes(vmId));
	return move.done.length + gone.length >= move.count;
}

function clearReservations({snapshot}: PlanContext, move: MoveRow): void {
	for (const vmId of move.vmIds) {
		const row = snapshot.getRow(vmId);
		if (row?.reservedBy === move.moveId) {
			snapshot.putRow({...row, reservedBy: undefined});
		}
	}
}
