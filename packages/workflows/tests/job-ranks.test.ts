import {type JobId, type ServiceName} from '@tamarackwind/core';
import {
	DeadlineOrder, LeastCostOrder, rankJob, type StepSpec,
} from '@tamarackwind/scheduling';
import test from 'ava';
import {ActiveJob, type Schedule} from '../src/index.js';

const now = 10_000;
const limits = {valueBytes: 49_152, transactionBytes: 690_000, transactionEntries: 100};
const policy = {
	priority: 2, maxAttempts: 3, slackFactor: 2, targetLatencyMs: 600,
};
const step: StepSpec = {
	count: 4, resources: {cpu: 100, memory: 10, gpu: 0}, estimatedMs: 800, after: [], isCheckpointing: false, isGang: false, isSameRack: false, isSpeculative: false, isLongRunning: false, isFiller: false,
};
const twoSteps = [step, {...step, estimatedMs: 400, after: [0]}];

function createJob(steps: readonly StepSpec[] = twoSteps, schedule?: Schedule): ActiveJob {
	const job = ActiveJob.create({
		id: 'job-1' as JobId, service: 'north' as ServiceName, queue: 'north', payload: '', steps, submittedAt: now, policy, ...(schedule === undefined ? {} : {schedule}),
	}, {monotonic: now, wall: now}, limits);
	job.openOccurrences(now);
	return job;
}

type Case = {
	readonly name: string;
	readonly steps?: readonly StepSpec[];
	readonly schedule?: Schedule;
	readonly change?: (job: ActiveJob) => void;
	readonly submittedAt?: number;
	readonly remainingMs: number;
	readonly plannedMs: number;
	readonly remainingWork: number;
};

const cases: readonly Case[] = [
	{
		name: 'that waits', remainingMs: 1200, plannedMs: 1200, remainingWork: 480_000,
	},
	{
		name: 'with a task that runs', change({tasks}) {
			tasks[0]!.phase = 'running';
		}, remainingMs: 1200, plannedMs: 1200, remainingWork: 440_000,
	},
	{
		name: 'whose first step runs', change({steps}) {
			for (const task of steps[0]!.tasks) {
				task.phase = 'running';
			}
		}, remainingMs: 1200, plannedMs: 800, remainingWork: 320_000,
	},
	{
		name: 'whose first step is done', change({steps}) {
			for (const task of steps[0]!.tasks) {
				task.phase = 'done';
			}
		}, remainingMs: 400, plannedMs: 400, remainingWork: 160_000,
	},
	{
		name: 'with a long-running step, which has no end', steps: [{...step, isLongRunning: true}], remainingMs: 800, plannedMs: 800, remainingWork: 0,
	},
	{
		name: 'that is due later', schedule: {repetitions: 3, firstAt: now + 5000, intervalMs: 1000}, submittedAt: now + 5000, remainingMs: 1200, plannedMs: 1200, remainingWork: 0,
	},
];

for (const {name, steps, schedule, change, submittedAt = now, remainingMs, plannedMs, remainingWork} of cases) {
	test(`rank of a job ${name}`, t => {
		const job = createJob(steps, schedule);
		change?.(job);
		const {ranking} = job;
		t.deepEqual([ranking.submittedAt, ranking.remainingMs, ranking.plannedMs, ranking.remainingWork], [submittedAt, remainingMs, plannedMs, remainingWork]);
	});
}

// Guards against another order than before where nothing asks for one.
test('a job is ranked by its deadline unless its pool has another order', t => {
	const {ranking} = createJob();
	for (const at of [now, now + 3000, now + 9000, now + 20_000]) {
		t.deepEqual(ranking.compute(at).rank, rankJob({
			policy, isLongRunning: false, submittedAt: now, criticalPathMs: 1200, remainingMs: 1200,
		}, at));
	}
});

test('a rank is kept while it holds, and dropped when a step is done', t => {
	const job = createJob();
	const period = job.ranking.compute(now);
	t.is(job.ranking.compute(period.until), period);
	for (const task of job.steps[0]!.tasks) {
		task.phase = 'done';
	}

	t.not(job.ranking.compute(now), period);
});

test('a deferred job goes behind jobs in time, and is visited anew', t => {
	const job = createJob();
	let visits = 0;
	job.hooks.onWaiting = () => {
		visits++;
	};

	const before = job.ranking.compute(now).rank;
	job.ranking.update(LeastCostOrder.create(), true);
	const after = job.ranking.compute(now).rank;
	t.true(after[0] > before[0]);
	t.is(after[1], before[1]);
	job.ranking.update(DeadlineOrder.create(), false);
	t.deepEqual(job.ranking.compute(now).rank, before);
	t.is(visits, 2);
});
