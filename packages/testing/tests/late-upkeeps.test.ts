import {type StepSpec} from '@tamarackwind/scheduling';
import test from 'ava';
import {createStep, EmulatedSystem} from '../src/index.js';

const sampleMs = 50;
const observedMs = 15_000;

/** Creates a long-running step of which one task fills most of a worker. */
function createLastingStep(count: number): StepSpec {
	return createStep({
		count, isLongRunning: true, antiAffinity: 1, resources: {cpu: 7500, memory: 1000, gpu: 0},
	});
}

type Case = {
	readonly name: string;
	/** Time for which orders get no answer and are carried out 3 s late, in milliseconds. */
	readonly faultMs: number;
	/** Number of tasks that wait for the room of the VMs of the wave. */
	readonly waitingTasks: number;
};

const cases: readonly Case[] = [
	{name: 'no task waits for room, orders are late for 2 s', faultMs: 2000, waitingTasks: 0},
	{name: 'tasks wait for room, orders are late for 1.2 s', faultMs: 1200, waitingTasks: 2},
	{name: 'tasks wait for room, orders are late for 2 s', faultMs: 2000, waitingTasks: 2},
	{name: 'tasks wait for room, orders are late for 2.5 s', faultMs: 2500, waitingTasks: 2},
];

// Guards against an upkeep above the cap of its wave: the VM of an order without an answer is left to its tasks, and may still go down beside the next one.
for (const {name, faultMs, waitingTasks} of cases) {
	test(`no more VMs of a wave are down than its cap: ${name}`, async t => {
		const system = await EmulatedSystem.create({seed: 5, pools: [['north', 3]]});
		const {clock, fleet} = system;
		const vms = fleet.vms.map(({id}) => id);
		await clock.run(4000);
		void system.submit([createLastingStep(1)], 1000);
		await clock.run(2500);
		fleet.vmOrderFault = 'late';
		clock.schedule(faultMs, () => {
			fleet.vmOrderFault = undefined;
		});
		void system.startWave('wave-1', vms.filter(vm => fleet.countRunsOn(vm) === 0), 1);
		await clock.run(300);
		if (waitingTasks > 0) {
			void system.submit([createLastingStep(waitingTasks)], 1000);
		}

		let maxDown = 0;
		for (let ms = 0; ms < observedMs; ms += sampleMs) {
			await clock.run(sampleMs);
			maxDown = Math.max(maxDown, fleet.listVms().filter(({state}) => state === 'upkeep').length);
		}

		t.is(maxDown, 1);
	});
}
