import {type StepSpec} from '@tamarackwind/scheduling';
import test from 'ava';
import {createStep, EmulatedSystem, StandingCheck} from '../src/index.js';

const calmMs = 15_000;

/** Creates a long-running step whose tasks need the given CPU, in thousandths of a core. */
function createLastingStep(cpu: number, step: Partial<StepSpec> = {}): StepSpec {
	return createStep({
		isLongRunning: true, antiAffinity: 1, resources: {cpu, memory: 1000, gpu: 0}, ...step,
	});
}

type Case = {
	readonly name: string;
	/** Step of the job that arrives while the wave cannot go on. */
	readonly step: StepSpec;
	readonly durationMs: number;
};

const cases: readonly Case[] = [
	{name: 'a long-running job', step: createLastingStep(3000), durationMs: 1000},
	{name: 'a job', step: createStep({resources: {cpu: 3000, memory: 1000, gpu: 0}}), durationMs: 1000},
];

for (const {name, step, durationMs} of cases) {
	test(`${name} does not stand beside a worker that a wave has cordoned and cannot drain (issue 50)`, async t => {
		const system = await EmulatedSystem.create({seed: 5, pools: [['north', 3]]});
		const {clock, fleet} = system;
		const vms = fleet.vms.map(({id}) => id);
		await clock.run(4000);
		const spread = system.submit([createLastingStep(2000, {count: 3, mayMiss: 1})], durationMs);
		await clock.run(1500);
		await spread;
		// One task of the step has no worker any more, so that its budget lets no other be evicted.
		fleet.removeVm(vms[2]!);
		await clock.run(2500);
		const filler = system.submit([createLastingStep(5000)], durationMs);
		await clock.run(1500);
		await filler;
		void system.startWave('wave-1', vms.slice(0, 2).filter(vm => fleet.countRunsOn(vm) === 1), 1);
		await clock.run(2500);
		const check = StandingCheck.create({system, isCalmRequired: false});
		const submitted = system.submit([step], durationMs);
		await clock.run(calmMs);
		const id = await submitted;
		check.close();
		t.deepEqual(check.violations.filter(violation => violation.includes(id)), []);
		t.true(step.isLongRunning ? fleet.countRunning(id) === 1 : fleet.hasBeenDone(`${id}.0.0.0`));
		t.deepEqual(fleet.violations, []);
	});
}
