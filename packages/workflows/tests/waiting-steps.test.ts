import {type JobId, type ServiceName} from '@tamarackwind/core';
import {type StepSpec} from '@tamarackwind/scheduling';
import test from 'ava';
import {
	ActiveJob, WaitingSteps, type StepState, type WaitReason,
} from '../src/index.js';

const now = 10_000;
const limits = {valueBytes: 49_152, transactionBytes: 690_000, transactionEntries: 100};
const step: StepSpec = {
	count: 1, resources: {cpu: 100, memory: 10, gpu: 0}, estimatedMs: 800, after: [], isCheckpointing: false, isGang: false, isSameRack: false, isSpeculative: false, isLongRunning: false, isFiller: false,
};

function createJob(id: string, steps: readonly StepSpec[] = [step], submittedAt = now): ActiveJob {
	return ActiveJob.create({
		id: id as JobId, service: 'north' as ServiceName, queue: 'north', payload: '', steps, submittedAt, policy: {
			priority: 0, maxAttempts: 3, slackFactor: 2, targetLatencyMs: 600,
		},
	}, {monotonic: now, wall: now}, limits);
}

function createJobs(count: number, createSpec: (index: number) => Partial<StepSpec> = () => ({})): ActiveJob[] {
	return Array.from({length: count}, (_, index) => createJob(`job-${index}`, [{...step, ...createSpec(index)}], now - count + index));
}

type Visit = {readonly visited: string[]; readonly isComplete: boolean};

/** Visits the waiting steps; `place` is called with each, and `maxVisits` bounds their number. */
function visit(steps: WaitingSteps, place: (step: StepState) => void, maxVisits = Number.POSITIVE_INFINITY): Visit {
	const visited: string[] = [];
	steps.update(now, () => false);
	const isComplete = steps.visit({
		now, isOverBudget: () => visited.length >= maxVisits, explain: () => undefined, place(waiting) {
			visited.push(waiting.job.job.id);
			place(waiting);
			return false;
		},
	});
	return {visited, isComplete};
}

function fail(reason: WaitReason): (step: StepState) => void {
	return waiting => {
		waiting.waitReason = reason;
	};
}

function start(waiting: StepState): void {
	for (const task of waiting.tasks) {
		task.phase = 'recorded';
	}
}

function addAll(jobs: readonly ActiveJob[]): WaitingSteps {
	const steps = WaitingSteps.create();
	for (const job of jobs) {
		steps.add(job);
	}

	return steps;
}

type Case = {readonly name: string; readonly jobs: readonly ActiveJob[]; readonly place: (step: StepState) => void; readonly visited: readonly string[]};

const names = (...indices: readonly number[]): string[] => indices.map(index => `job-${index}`);

const cases: readonly Case[] = [
	{
		name: 'of one demand are visited in the order of their jobs', jobs: createJobs(4).toReversed(), place: start, visited: names(0, 1, 2, 3),
	},
	{
		name: 'of several demands are visited in the order of their jobs', jobs: createJobs(4, index => ({resources: {...step.resources, cpu: 100 + (index % 2)}})), place: start, visited: names(0, 1, 2, 3),
	},
	{
		name: 'are left alone once one of the same demand finds no place', jobs: createJobs(1000), place: fail('no-room'), visited: names(0),
	},
	{
		name: 'of other demands are visited all the same', jobs: createJobs(4, index => ({requirement: `kind-${index % 2}`})), place: fail('no-room'), visited: names(0, 1),
	},
	{
		name: 'with anti-affinity fail one by one', jobs: createJobs(3, () => ({antiAffinity: 1})), place: fail('no-room'), visited: names(0, 1, 2),
	},
	{
		name: 'of which only suspects wait do not hold up the others', jobs: createJobs(3), place(waiting) {
			waiting.suspectWaitReason = 'suspect';
		}, visited: names(0, 1, 2),
	},
	{
		name: 'that wait for another step are not visited', jobs: [createJob('job-0', [step, {...step, after: [0]}])], place: start, visited: names(0),
	},
];

for (const {name, jobs, place, visited} of cases) {
	test(`waiting steps ${name}`, t => {
		t.deepEqual(visit(addAll(jobs), place), {visited: [...visited], isComplete: true});
	});
}

// Guards against steps that can't be placed and use up the time of each pass, so that those behind them are never tried.
test('each waiting step is visited once a round, however short the visits are', t => {
	const steps = addAll(createJobs(10, () => ({antiAffinity: 1})));
	const visits = Array.from({length: 4}, () => visit(steps, fail('no-room'), 3));
	t.deepEqual(visits.map(({visited}) => visited), [names(0, 1, 2), names(3, 4, 5), names(6, 7, 8), names(9)]);
	t.deepEqual(visits.map(({isComplete}) => isComplete), [false, false, false, true]);
	t.deepEqual(visit(steps, fail('no-room'), 1).visited, names(0));
});

test('a step that was placed waits again once a task of it does', t => {
	const [job] = createJobs(1);
	const steps = addAll([job!]);
	t.deepEqual(visit(steps, start).visited, names(0));
	t.deepEqual(visit(steps, start).visited, []);
	job!.tasks[0]!.phase = 'waiting';
	t.deepEqual(visit(steps, start).visited, names(0));
});

test('a step waits once the steps before it are done', t => {
	const job = createJob('job-0', [step, {...step, after: [0], requirement: 'b'}]);
	const steps = addAll([job]);
	visit(steps, start);
	t.deepEqual(visit(steps, start).visited, []);
	job.tasks[0]!.phase = 'done';
	t.deepEqual(visit(steps, start).visited, names(0));
});

test('the steps of a job that has ended are not visited', t => {
	const jobs = createJobs(3);
	const steps = addAll(jobs);
	visit(steps, fail('no-room'));
	steps.remove(jobs[0]!);
	t.deepEqual(visit(steps, start).visited, names(1, 2));
	t.false(steps.update(now, () => false));
});

test('a job whose time is over goes behind one that can still be in time', t => {
	const [late, inTime] = [createJob('job-0', [step], now - 2500), createJob('job-1', [step], now - 100)];
	const steps = addAll([late, inTime]);
	t.deepEqual(visit(steps, () => {}).visited, names(1, 0));
});
