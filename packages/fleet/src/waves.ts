/**
 * Plans maintenance waves, which drain and reboot VMs within the availability budgets.
 */
import {type VmId, type WaveId} from '@tamarackwind/core';
import {match} from 'ts-pattern';
import {
	putWave, restoreVm, tryDrainVm, type PlanContext,
} from './plan-contexts.js';
import {type VmRow, type WaveRow} from './rows.js';

/** A wave with the VMs that it covers. */
export type WaveWithTargets = {readonly wave: WaveRow; readonly targets: readonly VmId[]};

function isVmOfWave(row: VmRow, waveId: WaveId): boolean {
	return row.work?.kind === 'wave' && row.work.id === waveId;
}

/** Reports whether a wave has finished a VM. A VM that left the fleet counts as finished. */
export function isVmDone(row: VmRow | undefined, waveId: WaveId): boolean {
	return row === undefined || (row.doneWaves?.includes(waveId) ?? false);
}

/** Returns the `doneWaves` of a VM with `waveId` appended. */
export function appendDoneWave(row: VmRow, waveId: WaveId): readonly WaveId[] {
	return [...row.doneWaves ?? [], waveId];
}

/** Updates every wave to the current state of its VMs and drains further VMs as the budgets allow. */
export function planWaves(ctx: PlanContext, waves: readonly WaveWithTargets[]): void {
	for (const waveWithTargets of waves) {
		advanceVms(ctx, waveWithTargets.wave);
		const wave = advanceState(ctx, waveWithTargets);
		if (wave.state === 'running') {
			drainNextVms(ctx, wave, waveWithTargets.targets);
		}

		putWave(ctx, waveWithTargets.wave, finishWave(ctx, wave, waveWithTargets.targets));
	}
}

function advanceVms(ctx: PlanContext, wave: WaveRow): void {
	for (const row of ctx.snapshot.listVmsInOperation().filter(row => isVmOfWave(row, wave.waveId))) {
		if (row.state === 'draining') {
			advanceDraining(ctx, wave, row);
		} else if (wave.action === 'reboot' && ctx.hasReturned(row)) {
			restoreVm(ctx, row, {doneWaves: appendDoneWave(row, wave.waveId)});
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

function advanceState(ctx: PlanContext, {wave}: WaveWithTargets): WaveRow {
	const notBack = wave.action === 'drain'
		? []
		: ctx.snapshot.listVmsInOperation()
			.filter(row => isVmOfWave(row, wave.waveId) && row.state === 'out' && ctx.readStateAgeMs(row) > wave.returnTimeoutMs)
			.map(row => row.vmId);
	const isOverLimit = notBack.length >= wave.maxNotBack;
	const isPastDeadline = wave.deadline !== undefined && ctx.now >= wave.deadline;
	const state = match(wave.state)
		.with('running', 'stopped', () => isPastDeadline ? 'expired' as const : (isOverLimit ? 'stopped' as const : 'running' as const))
		.otherwise(unchanged => unchanged);
	return {...wave, notBack, state};
}

function drainNextVms(ctx: PlanContext, wave: WaveRow, targets: readonly VmId[]): void {
	for (const vmId of targets) {
		const row = ctx.snapshot.getRow(vmId);
		const isNext = row?.state === 'serving' && row.reservedBy === undefined && !isVmDone(row, wave.waveId);
		if (isNext && (wave.includesHeld || !ctx.heldVms.has(vmId))) {
			tryDrainVm(ctx, row, {kind: 'wave', id: wave.waveId});
		}
	}
}

function finishWave(ctx: PlanContext, wave: WaveRow, targets: readonly VmId[]): WaveRow {
	const hasVmsInOperation = ctx.snapshot.listVmsInOperation().some(row => isVmOfWave(row, wave.waveId));
	const doneCount = targets.filter(vmId => isVmDone(ctx.snapshot.getRow(vmId), wave.waveId)).length;
	const state = match({hasVmsInOperation, wave, isComplete: doneCount === targets.length})
		.with({hasVmsInOperation: true}, () => undefined)
		.with({isComplete: true}, () => 'done' as const)
		.with({wave: {state: 'cancelling'}}, {wave: {state: 'expired'}}, () => 'cancelled' as const)
		.otherwise(() => undefined);
	if (state === undefined) {
		return wave;
	}

	clearDoneWave(ctx, wave.waveId, targets);
	return {
		...wave, state, doneCount, finishedAt: ctx.now,
	};
}

function clearDoneWave({snapshot}: PlanContext, waveId: WaveId, targets: readonly VmId[]): void {
	for (const vmId of targets) {
		const row = snapshot.getRow(vmId);
		if (row?.doneWaves?.includes(waveId)) {
			const remaining = row.doneWaves.filter(id => id !== waveId);
			snapshot.putRow({...row, doneWaves: remaining.length === 0 ? undefined : remaining});
		}
	}
}
