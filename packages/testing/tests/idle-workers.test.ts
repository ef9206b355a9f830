import {type VmId} from '@tamarackwind/core';
import test from 'ava';
import {createStep, EmulatedSystem, StandingCheck} from '../src/index.js';

type Case = {
	readonly name: string;
	readonly apply: (system: EmulatedSystem, vm: VmId, durationMs: number) => void;
	/** Time from the submission of the jobs to the outage, in milliseconds; negative if it comes first. */
	readonly delayMs: number;
	readonly outageMs: number;
};

const vms = 6;
const calmMs = 12_000;

const cases: readonly Case[] = [
	{
		name: 'could not be reached while they had nothing to do', delayMs: -200, outageMs: 5000, apply({fleet}, vm, durationMs) {
			fleet.cutPath(vm, durationMs);
		},
	},
	{
		name: 'turned calls away while they had nothing to do', delayMs: -200, outageMs: 5000, apply({fleet}, vm, durationMs) {
			fleet.shedCalls(vm, durationMs);
		},
	},
	{
		name: 'answered no call while they had nothing to do', delayMs: -200, outageMs: 5000, apply({fleet}, vm, durationMs) {
			fleet.setSilent(vm, durationMs);
		},
	},
	{
		name: 'could not be reached until the leases of their runs had lapsed', delayMs: 3000, outageMs: 30_000, apply({fleet}, vm, durationMs) {
			fleet.cutPath(vm, durationMs);
		},
	},
];

for (const {name, apply, delayMs, outageMs} of cases) {
	test(`jobs do not stand beside workers that ${name}, and are up again (issue 50)`, async t => {
		const system = await EmulatedSystem.create({seed: 7, pools: [['north', vms]]});
		const {clock, fleet} = system;
		await clock.run(4000);
		const check = StandingCheck.create({system});
		const applyOutage = (): void => {
			for (const {id} of fleet.vms) {
				apply(system, id, outageMs);
			}

			check.recordDisturbance(clock.readMonotonic() + outageMs);
		};

		clock.schedule(Math.max(0, delayMs), applyOutage);
		await clock.run(Math.max(1, -delayMs));
		const submitted = Promise.all([
			system.submit([createStep({count: 3, after: []}), createStep({count: 3, after: [0]})], 4000),
			system.submit([createStep({count: vms, antiAffinity: 1, isLongRunning: true})], 800),
		]);
		await clock.run(Math.max(0, delayMs) + outageMs + calmMs);
		const [batch, lasting] = await submitted;
		check.close();
		const state = system.getState(batch);
		await clock.run(1000);
		t.deepEqual(check.violations, []);
		t.is(await state, 'succeeded');
		t.is(fleet.countRunning(lasting), vms);
		t.deepEqual(fleet.violations, []);
	});
}
