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
	/** Capacity of the worker that stays beside the cordoned one, as a share of the full one. */
	readonly otherShare: number;
	/** Whether a filling task leaves the other worker no room. */
	readonly isFilled?: boolean;
	/** Fault of the orders to VMs; without one, a disruption budget keeps the VM from being drained. */
	readonly fault?: VmOrderFault;
};

const cases: readonly Case[] = [
	{name: 'has no room', otherShare: 1, isFilled: true},
	{name: 'is too small for it', otherShare: 0.2},
	{name: 'is too small for it and orders are not carried out', otherShare: 0.2, fault: 'busy'},
];

// Guards against cordons that are never given back because a task that only the cordoned worker could hold is told to wait for a matching worker, not for room.
for (const {name, otherShare, isFilled = false, fault} of cases) {
	test(`a long-running task does not stand beside a worker that a wave has cordoned and cannot take down, if the other worker ${name}`, async t => {
		const system = await EmulatedSystem.create({seed: 5, pools: [['north', 2]]});
		const {clock, fleet} = system;
		const [cordoned, other] = fleet.vms.map(({id}) => id);
		fleet.resizeVm(other!, otherShare);
		await clock.run(4000);
		// The budget of its step lets no task be evicted.
		const kept = system.submit([createLastingStep(2000, {mayMiss: fault === undefined ? 0 : 1})], 1000);
		await clock.run(1500);
		await kept;
		if (isFilled) {
			const filler = system.submit([createLastingStep(7000)], 1000);
			await clock.run(1500);
			await filler;
		}

		fleet.vmOrderFault = fault;
		void system.startWave('wave-1', [cordoned!], 1);
		await clock.run(2500);
		const check = StandingCheck.create({system, isCalmRequired: false});
		const submitted = system.submit([createLastingStep(2000)], 1000);
		await clock.run(calmMs);
		const id = await submitted;
		check.close();
		t.deepEqual(check.violations.filter(violation => violation.includes(id)), []);
		t.is(fleet.countRunning(id), 1);
	});
}
