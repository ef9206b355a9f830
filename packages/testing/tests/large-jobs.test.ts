import {type JobId} from '@tamarackwind/core';
import {type StepSpec} from '@tamarackwind/scheduling';
import test from 'ava';
import {createStep, EmulatedSystem, type SubmitOptions} from '../src/index.js';

const warmUpMs = 4000;
const bystanderCount = 6;
const bystanderIntervalMs = 300;
/** Time within which a job beside the large one must be done, in milliseconds. */
const bystanderMs = 14_000;
const pools = [['north', 6], ['spare', 0]] as const;

type LargeJob = {
	readonly name: string;
	readonly steps: readonly StepSpec[];
	readonly taskMs: number;
	readonly finishMs: number;
	readonly options?: SubmitOptions;
};

const small = {resources: {cpu: 10, memory: 1, gpu: 0}, estimatedMs: 400};

const jobs: readonly LargeJob[] = [
	{
		name: '2,000 tasks', steps: [createStep({...small, count: 2000})], taskMs: 400, finishMs: 15_000,
	},
	{
		name: 'two steps of 1,500 tasks', steps: [createStep({...small, count: 1500}), createStep({...small, count: 1500, after: [0]})], taskMs: 400, finishMs: 15_000,
	},
	{
		name: '3,000 tasks with checkpoints', steps: [createStep({...small, count: 3000, isCheckpointing: true})], taskMs: 3000, finishMs: 20_000,
	},
	{
		name: 'a gang of 200 tasks', steps: [createStep({...small, count: 200, isGang: true}), createStep({...small, count: 100, after: [0]})], taskMs: 600, finishMs: 25_000,
	},
	{
		name: '1,500 repetitions', steps: [createStep({...small})], taskMs: 200, finishMs: 20_000, options: {schedule: {repetitions: 1500, firstAt: 0, intervalMs: 2}},
	},
];

type Disturbance = {readonly name: string; readonly apply: (system: EmulatedSystem) => void};

const disturbances: readonly Disturbance[] = [
	{name: '', apply() {}},
	{
		name: ', under takeovers', apply(system) {
			for (const at of [250, 3500]) {
				system.clock.schedule(at, () => {
					system.killEntry(system.holder ?? system.entries[0]!);
					system.startEntry();
				});
			}
		},
	},
	{
		name: ', beside lost answers of the store', apply({entries, clock}) {
			for (const {tables} of entries) {
				tables.faults.lostResponseRate = 0.2;
				clock.schedule(4000, () => {
					tables.faults.lostResponseRate = 0;
				});
			}
		},
	},
];

async function submitAll(system: EmulatedSystem, {steps, taskMs, options}: LargeJob, count: number): Promise<JobId[]> {
	const large = system.submit(steps, taskMs, options);
	const others = Array.from({length: count}, async (_, index) => {
		await system.clock.sleep((index + 1) * bystanderIntervalMs);
		return system.submit([createStep({count: 2, ...small})], 200);
	});
	return Promise.all([large, ...others]);
}

// Guards against a job whose progress does not fit into a row of the store, and which stops all jobs of its service (review/2).
for (const job of jobs) {
	for (const {name, apply} of disturbances) {
		test(`a job with ${job.name} is done${name}, and so are the jobs beside it`, async t => {
			const system = await EmulatedSystem.create({seed: 31, pools});
			const {clock, fleet} = system;
			await clock.run(warmUpMs);
			const submitted = submitAll(system, job, bystanderCount);
			apply(system);
			await clock.run((bystanderCount * bystanderIntervalMs) + Math.max(job.finishMs, bystanderMs));
			const ids = await submitted;
			const states = Promise.all(ids.map(async id => system.getState(id)));
			await clock.run(500);
			t.deepEqual(await states, ids.map(() => 'succeeded'));
			t.deepEqual(fleet.violations, []);
			t.is(system.tables.rejections, 0, 'the store rejects no transaction');
		});
	}
}
