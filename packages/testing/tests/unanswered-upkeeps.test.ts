import test from 'ava';
import {playWave, type VmOrderFault} from '../src/index.js';

const vms = 4;
const faultsMs = [600, 1200, 2500, 8000];

type Case = {
	readonly fault: VmOrderFault;
	readonly faultMs: number;
	readonly cap: number;
	/** Whether the list of the VMs does not answer meanwhile, once the wave has begun. */
	readonly isListDown?: boolean;
	readonly killedAtMs?: number;
};

const cases: readonly Case[] = [
	...faultsMs.flatMap(faultMs => [2, 3].map((cap): Case => ({fault: 'unanswered', faultMs, cap}))),
	...(['late', 'lost'] as const).flatMap(fault => faultsMs.map((faultMs): Case => ({fault, faultMs, cap: 2}))),
	{
		fault: 'unanswered', faultMs: 2500, cap: 2, isListDown: true,
	},
	{
		fault: 'unanswered', faultMs: 2500, cap: 2, killedAtMs: 1500,
	},
];

// Guards against an order without an answer whose VM still counts as up for the next order, which takes a second one down beyond the budget (review/7).
for (const {fault, faultMs, cap, isListDown = false, killedAtMs} of cases) {
	const title = `upkeeps are ${fault} for ${faultMs} ms, cap ${cap}${isListDown ? ', the list is down' : ''}${killedAtMs === undefined ? '' : ', the holder is killed'}`;
	for (const seed of [1, 2]) {
		test(`a wave keeps the budget of a lasting step and ends: ${title}, seed ${seed}`, async t => {
			t.deepEqual(await playWave({
				seed, vms, cap, waveAtMs: 0, killedAtMs, disturb({fleet, clock}) {
					fleet.isSilentWhenDown = true;
					fleet.vmOrderFault = fault;
					clock.schedule(400, () => {
						fleet.isVmListDown = isListDown;
					});
					clock.schedule(faultMs, () => {
						fleet.vmOrderFault = undefined;
						fleet.isVmListDown = false;
					});
				},
			}), {state: 'succeeded', maintenances: vms, violations: []});
		});
	}
}
