import {type StepSpec} from '@tamarackwind/scheduling';
import test from 'ava';
import {
	createStep, EmulatedSystem, StandingCheck, type VmOrderFault,
} from '../src/index.js';

const calmMs = 20_000;

/** Creates a long-running step whose tasks need the given CPU, in thousandths of a core. */
function createLastingStep(cpu: number, step: Partial<StepSpec> = {}): StepSpec {
	return createStep({
		isLongRunning: true, antiAffinity: 1, resources: {cpu, memory: 1000, gpu: 0}, ...step,
	});
}

type Case = {
	readonly name: string;
	readonly vms: number;
	readonly fault?: VmOrderFault;
	/** Whether a disruption budget keeps the VMs from being drained. */
	readonly isBlocked?: boolean;
};

const cases: readonly Case[] = [
	{name: 'of the only VM of its pool that is not carried out', vms: 1, fault: 'busy'},
	{name: 'of all VMs of its pool that is not carried out', vms: 3, fault: 'busy'},
	{name: 'of all VMs of its pool whose orders are lost', vms: 3, fault: 'lost'},
	{name: 'of all VMs of its pool that a disruption budget keeps from being drained', vms: 3, isBlocked: true},
];

// Guards against cordons that are never given back because the tasks of a pool without a worker that takes work are not told to wait for room.
for (const {name, vms: count, fault, isBlocked = false} of cases) {
	test(`a long-running task does not stand beside a wave ${name}`, async t => {
		const system = await EmulatedSystem.create({seed: 5, pools: [['north', count]]});
		const {clock, fleet} = system;
		const vms = fleet.vms.map(({id}) => id);
		await clock.run(4000);
		if (isBlocked) {
			const spread = system.submit([createLastingStep(2000, {count, mayMiss: 1})], 1000);
			await clock.run(1500);
			await spread;
			// One task of the step has no worker any more, so that its budget lets no other be evicted.
			fleet.removeVm(vms.pop()!);
			await clock.run(2500);
		}

		fleet.vmOrderFault = fault;
		void system.startWave('wave-1', vms, vms.length);
		await clock.run(2500);
		const check = StandingCheck.create({system, isCalmRequired: false});
		const submitted = system.submit([createLastingStep(3000)], 1000);
		await clock.run(calmMs);
		const id = await submitted;
		check.close();
		t.deepEqual(check.violations.filter(violation => violation.includes(id)), []);
		t.is(fleet.countRunning(id), 1);
	});
}
