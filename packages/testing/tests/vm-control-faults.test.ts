import {type JobId} from '@tamarackwind/core';
import test, {type ExecutionContext} from 'ava';
import {
	createStep, EmulatedSystem, sparePool, type VmOrderFault,
} from '../src/index.js';

/** Number of VMs that an idle pool keeps. */
const minVms = 5;
const outageMs = 5000;
const settleMs = 10_000;
const finishMs = 14_000;
/** Duration of a task, in milliseconds: with one worker less than tasks, the job is not done within `finishMs`. */
const taskMs = 8000;

type Disturbance = {
	readonly name: string;
	readonly apply: (system: EmulatedSystem) => void;
};

const disturbances: readonly Disturbance[] = [
	{name: '', apply() {}},
	{
		name: ', and its list does not answer either', apply({fleet}) {
			fleet.isVmListDown = true;
		},
	},
	{
		name: ', and another entry takes over', apply(system) {
			system.killEntry(system.holder!);
			system.startEntry();
		},
	},
];

const faults: readonly VmOrderFault[] = ['lost', 'unanswered', 'late', 'repeated', 'refused', 'busy'];

/** Submits a job that needs as many workers as an idle pool keeps, and checks that it is done in time. */
async function checkPoolWorks(t: ExecutionContext, system: EmulatedSystem): Promise<void> {
	const submitted = system.submit([createStep({count: minVms, antiAffinity: 1, resources: {cpu: 8000, memory: 1000, gpu: 0}})], taskMs);
	await system.clock.run(finishMs);
	const state = system.getState(await submitted);
	await system.clock.run(100);
	t.is(await state, 'succeeded');
	t.deepEqual(system.fleet.violations, []);
}

// Guards against VMs that stay cordoned for good after a move without an answer (review/3).
for (const fault of faults) {
	for (const {name, apply} of disturbances) {
		test(`moves of idle VMs are ${fault} for ${outageMs} ms${name}: the VMs of the pool are in use afterwards`, async t => {
			const system = await EmulatedSystem.create({seed: 7, pools: [['north', 20], [sparePool, 1]]});
			const {fleet, clock} = system;
			fleet.vmOrderFault = fault;
			await clock.run(2500);
			apply(system);
			await clock.run(outageMs - 2500);
			fleet.vmOrderFault = undefined;
			fleet.isVmListDown = false;
			await clock.run(settleMs);
			t.is(fleet.listVms().filter(vm => vm.pool as string === 'north').length, minVms);
			await checkPoolWorks(t, system);
		});
	}
}

type WaveCase = {
	readonly name: string;
	readonly apply: (system: EmulatedSystem) => void;
	/** Ends the disturbance. */
	readonly restore: (system: EmulatedSystem) => void;
};

const waveCases: readonly WaveCase[] = [
	...faults.map(fault => ({
		name: `orders are ${fault}`,
		apply({fleet}: EmulatedSystem) {
			fleet.vmOrderFault = fault;
		},
		restore({fleet}: EmulatedSystem) {
			fleet.vmOrderFault = undefined;
		},
	})),
	{
		name: 'the VMs in maintenance are removed for good',
		apply({fleet, clock}) {
			clock.schedule(1000, () => {
				for (const {id} of fleet.listVms().filter(({state}) => state === 'upkeep')) {
					fleet.removeVm(id);
				}
			});
		},
		restore() {},
	},
	{
		name: 'the list does not answer',
		apply({fleet, clock}) {
			clock.schedule(500, () => {
				fleet.isVmListDown = true;
			});
		},
		restore({fleet}) {
			fleet.isVmListDown = false;
		},
	},
];

// Guards against VMs that a wave leaves cordoned, and against a wave that waits for VMs that never return (review/3).
for (const {name, apply, restore} of waveCases) {
	test(`a wave over a pool ends and leaves its VMs in use, when ${name} for ${outageMs} ms`, async t => {
		const system = await EmulatedSystem.create({seed: 9, pools: [['north', 7], [sparePool, 0]]});
		const {clock, fleet} = system;
		await clock.run(3000);
		void system.startWave('wave-1', fleet.vms.map(({id}) => id), 2);
		apply(system);
		await clock.run(outageMs);
		restore(system);
		await clock.run(2 * settleMs);
		const status = await system.tables.getRow({table: 'status', key: 'wave-1'});
		t.deepEqual(status?.value, {state: 'succeeded'});
		await checkPoolWorks(t, system);
	});
}

test('a VM that is removed for good during its move no longer counts as arriving (review/3)', async t => {
	const system = await EmulatedSystem.create({seed: 3, pools: [['north', minVms], [sparePool, 4]]});
	const {clock, fleet} = system;
	await clock.run(3000);
	const jobs: JobId[] = [];
	const submit = async (): Promise<void> => {
		jobs.push(await system.submit([createStep({count: 60, resources: {cpu: 4000, memory: 1000, gpu: 0}})], 2000));
	};

	void submit();
	await clock.run(1000);
	for (const {id} of fleet.listVms().filter(({state}) => state === 'moving').slice(0, 3)) {
		fleet.removeVm(id);
	}

	await clock.run(3 * finishMs);
	const state = system.getState(jobs[0]!);
	await clock.run(100);
	t.is(await state, 'succeeded');
});
