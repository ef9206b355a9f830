import {type JobSpec} from '@tamarackwind/jobs';
import {type VmRecord} from '@tamarackwind/clients';
import test from 'ava';
import {JobSimulation} from '../src/index.js';

const minuteMs = 60_000;
/** Longer than the time for which a job that no worker can hold waits for a change of the fleet. */
const limitMs = 120 * minuteMs;

type Case = {
	readonly name: string;
	readonly workers: number;
	/** Changes the record of the only worker that can hold the job. */
	readonly change: (vm: VmRecord) => VmRecord;
	readonly spec: Partial<JobSpec>;
	/** Number of workers that leave after the failure. */
	readonly leaving?: number;
};

const cases: readonly Case[] = [
	{
		name: 'the only one in the zone that the job names', workers: 2, change: vm => ({...vm, zone: 'zone-x'}), spec: {zones: ['zone-x']},
	},
	{
		name: 'the only one with enough cores', workers: 2, change: vm => ({...vm, cores: 640}), spec: {cores: 480},
	},
	{
		name: 'the only one that stays', workers: 2, change: vm => ({...vm, cores: 64}), spec: {}, leaving: 1,
	},
];

// Guards against jobs that wait without an end, since the only worker that can hold them is excluded after one failure and nothing ends the exclusion.
for (const {name, workers, change, spec, leaving = 0} of cases) {
	test(`a job that has failed once on a worker which is ${name} runs again or ends`, async t => {
		const simulation = JobSimulation.create({seed: 1, workers});
		simulation.vms = simulation.vms.map((vm, index) => index === 0 ? change(vm) : vm);
		const [{vmId}] = simulation.vms as [VmRecord];
		for (const vm of simulation.vms) {
			simulation.tasks.setFaults(vm.vmId, {failsAll: true});
		}

		const {jobId} = await simulation.submit({kind: 'build', zones: undefined, ...spec});
		const readJob = async () => simulation.client.getJob(jobId);
		t.true(await simulation.runUntil(async () => (await readJob()).failedVms.length > 0, 5 * minuteMs));
		const failedVm = (await readJob()).failedVms[0]!;
		for (const vm of simulation.vms) {
			simulation.tasks.setFaults(vm.vmId, {});
		}

		if (leaving > 0) {
			simulation.vms = simulation.vms.filter(vm => vm.vmId === failedVm);
		} else {
			t.is(failedVm, vmId);
		}

		const hasEnded = await simulation.runUntil(async () => ['finished', 'failed', 'unplaceable'].includes((await readJob()).state), limitMs);
		t.true(hasEnded, `${(await readJob()).state}: ${(await readJob()).reason}`);
	});
}
