/**
 * Maintenance waves: drain, reboot, healthy again, next.
 */
import {type VmId, type WaveId} from '@tamarackwind/core';
import {match} from 'ts-pattern';
import {
	putWave, restoreVm, takeOutVm, type PlanContext,
} from './plans.js';
import {type VmRow, type WaveRow} from './rows.js';

/** A wave with the VMs that it was declared for. */
export type WavePlan = {readonly wave: WaveRow; readonly targets: readonly VmId[]};

function isWorkOf(row: VmRow, waveId: WaveId): boolean {
	return row.work?.kind === 'wave' && row.work.id === waveId;
}

/** Tells whether a wave is done with a VM; a VM that left the fleet counts as done. */
export function isDoneWith(row: VmRow | undefined, waveId: WaveId): boolean {
	return row === undefined || (row.doneWaves?.includes(waveId) ?? false);
}

/** Gives the row of a VM that a wave is done with. */
export function addDoneWave(row: VmRow, waveId: WaveId): readonly WaveId[] {
	return [...row.doneWaves ?? [], waveId];
}

/** Moves every wave on by what has happened, and takes out as many VMs as the budgets allow. */
export function planWaves(ctx: PlanContext, waves: readonly WavePlan[]): void {
	for (const plan of waves) {
		advanceVms(ctx, plan.wave);
		const wave = advanceState(ctx, plan);
		if (wave.state === 'running') {
			takeNextVms(ctx, wave, plan.targets);
		}

		putWave(ctx, plan.wave, finishWave(ctx, wave, plan.targets));
	}
}

function advanceVms(ctx: PlanContext, wave: WaveRow): void {
	for (const row of ctx.snapshot.listBusy().filter(busy => isWorkOf(busy, wave.waveId))) {
		if (row.state === 'draining') {
			advanceDraining(ctx, wave, row);
		} else if (wave.action === 'reboot' && ctx.isBack(row)) {
			restoreVm(ctx, row, {doneWaves: addDoneWave(row, wave.waveId)});
		} else if (wave.action === 'drain' && wave.state === 'cancelling') {
			restoreVm(ctx, row);
		}
	}
}

function advanceDraining(ctx: PlanContext, wave: WaveRow, row: VmRow): void {
	if (wave.state === 'cancelling') {
		restoreVm(ctx, row);
	} else if (ctx.isDrained(row)) {
		const isHeld = ctx.heldVms.has(row.vmId) && !wave.includesHeld;
		if (isHeld) {
			restoreVm(ctx, row);
		} else {
			ctx.snapshot.putRow({...row, state: 'out', since: ctx.now});
		}
	}
}

function advanceState(ctx: PlanContext, {wave}: WavePlan): WaveRow {
	const notBack = wave.action === 'drain'
		? []
		: ctx.snapshot.listBusy()
			.filter(row => isWorkOf(row, wave.waveId) && row.state === 'out' && ctx.readAge(row) > wave.returnTimeoutMs)
			.map(row => row.vmId);
	const isOverLimit = notBack.length >= wave.maxNotBack;
	const isLate = wave.deadline !== undefined && ctx.now >= wave.deadline;
	const state = match(wave.state)
		.with('running', 'stopped', () => isLate ? 'expired' as const : (isOverLimit ? 'stopped' as const : 'running' as const))
		.otherwise(unchanged => unchanged);
	return {...wave, notBack, state};
}

function takeNextVms(ctx: PlanContext, wave: WaveRow, targets: readonly VmId[]): void {
	for (const vmId of targets) {
		const row = ctx.snapshot.getRow(vmId);
		const isNext = row?.state === 'serving' && row.reservedBy === undefined && !isDoneWith(row, wave.waveId);
		if (isNext && (wave.includesHeld || !ctx.heldVms.has(vmId))) {
			takeOutVm(ctx, row, {kind: 'wave', id: wave.waveId});
		}
	}
}

function finishWave(ctx: PlanContext, wave: WaveRow, targets: readonly VmId[]): WaveRow {
	const hasBusy = ctx.snapshot.listBusy().some(row => isWorkOf(row, wave.waveId));
	const doneCount = targets.filter(vmId => isDoneWith(ctx.snapshot.getRow(vmId), wave.waveId)).length;
	const state = match({hasBusy, wave, isComplete: doneCount === targets.length})
		.with({hasBusy: true}, () => undefined)
		.with({isComplete: true}, () => 'done' as const)
		.with({wave: {state: 'cancelling'}}, {wave: {state: 'expired'}}, () => 'cancelled' as const)
		.otherwise(() => undefined);
	if (state === undefined) {
		return wave;
	}

	clearDoneMarks(ctx, wave.waveId, targets);
	return {
		...wave, state, doneCount, finishedAt: ctx.now,
	};
}

function clearDoneMarks({snapshot}: PlanContext, waveId: WaveId, targets: readonly VmId[]): void {
	for (const vmId of targets) {
		const row = snapshot.getRow(vmId);
		if (row?.doneWaves?.includes(waveId)) {
			const rest = row.doneWaves.filter(id => id !== waveId);
			snapshot.putRow({...row, doneWaves: rest.length === 0 ? undefined : rest});
		}
	}
}
