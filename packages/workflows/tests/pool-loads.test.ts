import {type JobId, type ServiceName} from '@tamarackwind/core';
import {type StepSpec} from '@tamarackwind/scheduling';
import test from 'ava';
import {ActiveJob, JobLoads, type JobLoad} from '../src/index.js';

const limits = {valueBytes: 49_152, transactionBytes: 690_000, transactionEntries: 100};
const step: StepSpec = {
	count: 4, resources: {cpu: 100, memory: 10, gpu: 0}, estimatedMs: 800, after: [], isCheckpointing: false, isGang: false, isSameRack: false, isSpeculative: false, isLongRunning: false, isFiller: false,
};

function createJob(steps: readonly StepSpec[]): ActiveJob {
	const job = ActiveJob.create({
		id: 'job-1' as JobId, service: 'north' as ServiceName, queue: 'redraw', payload: '', steps, submittedAt: 0, policy: {
			priority: 0, maxAttempts: 3, slackFactor: 2, targetLatencyMs: 600,
		},
	}, {monotonic: 0, wall: 0}, limits);
	job.openOccurrences(0);
	return job;
}

type Case = {
	readonly name: string;
	readonly steps: readonly StepSpec[];
	/** Applied after the demand was read once. */
	readonly change: (job: ActiveJob, loads: JobLoads) => void;
	readonly load: JobLoad;
	readonly waiting: ReadonlyArray<readonly [string, number]>;
};

const none: JobLoad = {
	work: 0, usedCpu: 0, waitingCpu: 0, antiAffinityVms: 0,
};

const cases: readonly Case[] = [
	{
		name: 'waiting tasks', steps: [step], change() {}, load: {...none, work: 320_000, waitingCpu: 400}, waiting: [['redraw', 1]],
	},
	{
		name: 'a step that waits for another', steps: [step, {...step, after: [0]}], change() {}, load: {...none, work: 640_000, waitingCpu: 400}, waiting: [['redraw', 1]],
	},
	{
		name: 'an assigned task', steps: [step], change({tasks}) {
			tasks[0]!.phase = 'recorded';
		}, load: {
			...none, work: 320_000, usedCpu: 100, waitingCpu: 300,
		}, waiting: [['redraw', 1]],
	},
	{
		name: 'a job that has begun', steps: [step], change(job) {
			job.tasks[0]!.phase = 'running';
			job.hasBegun = true;
		}, load: {
			...none, work: 320_000, usedCpu: 100, waitingCpu: 300,
		}, waiting: [],
	},
	{
		name: 'a done task', steps: [step], change({tasks}) {
			tasks[0]!.phase = 'done';
		}, load: {...none, work: 240_000, waitingCpu: 300}, waiting: [['redraw', 1]],
	},
	{
		name: 'a step whose predecessor is done', steps: [step, {...step, count: 2, after: [0]}], change({steps}) {
			for (const task of steps[0]!.tasks) {
				task.phase = 'done';
			}
		}, load: {...none, work: 160_000, waitingCpu: 200}, waiting: [['redraw', 1]],
	},
	{
		name: 'long-running tasks with anti-affinity', steps: [{...step, isLongRunning: true, antiAffinity: 3}], change() {}, load: {...none, waitingCpu: 400, antiAffinityVms: 2}, waiting: [['redraw', 1]],
	},
	{
		name: 'a job that has ended', steps: [step], change(job, loads) {
			loads.remove(job);
			job.tasks[0]!.phase = 'running';
		}, load: none, waiting: [],
	},
];

for (const {
	name, steps, change, load, waiting,
} of cases) {
	test(`demand of ${name}`, t => {
		const job = createJob(steps);
		const loads = JobLoads.create();
		loads.add(job);
		loads.compute();
		change(job, loads);
		t.deepEqual(loads.compute(), load);
		t.deepEqual([...loads.countWaiting()], waiting.map(([queue, count]) => [queue, count] as [string, number]));
	});
}
