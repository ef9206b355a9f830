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

const faults: readonly VmOrderFault[] = ['busy', 'lost', 'refused'];

// Guards against the cordon of a drained VM that is renewed as long as its order is not carried out, while accepted work waits for that room.
for (const fault of faults) {
	test(`a long-running task does not stand beside a drained VM of a wave whose orders are ${fault} while the list answers`, async t => {
		const system = await EmulatedSystem.create({seed: 5, pools: [['north', 3]]});
		const {clock, fleet} = system;
		const vms = fleet.vms.map(({id}) => id);
		await clock.run(4000);
		const full = system.submit([createLastingStep(7500, {count: 2})], 1000);
		await clock.run(2500);
		await full;
		fleet.vmOrderFault = fault;
		void system.startWave('wave-1', vms.filter(vm => fleet.countRunsOn(vm) === 0), 1);
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
