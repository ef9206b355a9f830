import {type StepSpec} from '@tamarackwind/scheduling';
import test from 'ava';
import {createStep, EmulatedSystem, sparePool} from '../src/index.js';

/** Time in which the VMs that no pool needs have moved to the spare pool, in milliseconds. */
const warmUpMs = 8000;
/** Time in which a pool used to take all VMs that others lend, in milliseconds. */
const observedMs = 120_000;
const vmCpu = 8000;

function countVms({fleet}: EmulatedSystem): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {pool} of fleet.listVms()) {
		counts[pool] = (counts[pool] ?? 0) + 1;
	}

	return counts;
}

type Case = {readonly name: string; readonly step: StepSpec};

const cases: readonly Case[] = [
	{name: 'a task larger than any VM', step: createStep({resources: {cpu: 100_000, memory: 1000, gpu: 0}})},
	{
		name: 'a long-running step of tasks larger than any VM', step: createStep({
			isLongRunning: true, antiAffinity: 1, count: 12, resources: {cpu: vmCpu + 1, memory: 1000, gpu: 0},
		}),
	},
	{name: 'a gang larger than the fleet', step: createStep({isGang: true, count: 400})},
	{name: 'a gang of tasks of a whole VM that is larger than the fleet', step: createStep({isGang: true, count: 25, resources: {cpu: vmCpu, memory: 1000, gpu: 0}})},
	{name: 'a task that needs a label which no VM has', step: createStep({requirement: 'b', count: 100})},
];

// Guards against a pool that takes VM after VM from others for tasks that no number of VMs could run (issue 50).
for (const {name, step} of cases) {
	for (const spareVms of [0, 6]) {
		test(`a pool gets no VM for ${name}, of a fleet with ${spareVms} spare VMs`, async t => {
			const system = await EmulatedSystem.create({seed: 7, pools: [['north', 5], ['south', 6], ['west', 6], [sparePool, spareVms]]});
			const {clock, fleet} = system;
			await clock.run(warmUpMs);
			const expected = countVms(system);
			void system.submit([step], 800, {pool: 'north'});
			for (let ms = 0; ms < observedMs; ms += 1000) {
				await clock.run(1000);
				t.deepEqual(countVms(system), expected);
			}

			const [north] = system.holder!.scheduler.pools;
			t.is(north!.waits.summaries.get('fleet-too-small')?.tasks, step.count);
			const submitted = system.submit([createStep({
				count: 5, isLongRunning: true, antiAffinity: 1, resources: {cpu: 6000, memory: 100, gpu: 0},
			})], 1000, {pool: 'south'});
			await clock.run(1000);
			t.is(fleet.countRunning(await submitted), 5);
			t.deepEqual(fleet.violations, []);
		});
	}
}

// Guards against a gang that gets no VMs although it fits the fleet, and against a judgement that outlasts a change of the fleet.
for (const isShrunk of [false, true]) {
	test(`a gang that is larger than its pool gets VMs${isShrunk ? ' once the fleet has room for it' : ''}`, async t => {
		const system = await EmulatedSystem.create({seed: 7, pools: [['north', 5], ['west', 14]]});
		const {clock, fleet} = system;
		await clock.run(warmUpMs);
		const setShare = (share: number): void => {
			for (const {id} of fleet.listVms()) {
				fleet.resizeVm(id, share);
			}
		};

		setShare(isShrunk ? 0.5 : 1);
		await clock.run(2000);
		const submitted = system.submit([createStep({isGang: true, count: 12, resources: {cpu: vmCpu, memory: 1000, gpu: 0}})], 60_000, {pool: 'north'});
		await clock.run(20_000);
		t.is(fleet.countRunning(await submitted), isShrunk ? 0 : 12);
		setShare(1);
		await clock.run(20_000);
		t.is(fleet.countRunning(await submitted), 12);
		t.deepEqual(fleet.violations, []);
	});
}
