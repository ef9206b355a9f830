import test from 'ava';
import {VerdictError} from '@tamarackwind/core';
import {JobSimulation, findTaskViolations} from '../src/index.js';

const minuteMs = 60_000;

test('a build runs once and its complete result is fetched', async t => {
	const simulation = JobSimulation.create({seed: 1, workers: 2, entries: 3});
	const {jobId} = await simulation.submit({kind: 'build'}, {key: 'season'});
	t.true(await simulation.runUntil(async () => (await simulation.client.getJob(jobId)).state === 'finished', 5 * minuteMs));
	t.is(simulation.listStarts(jobId).length, 1);
	t.is(Buffer.from(await simulation.client.fetchResult(jobId, 'caller-1')).toString(), `result of ${jobId}`);
	t.deepEqual(findTaskViolations(simulation.tasks), []);
});

test('an idempotency key returns the same job, and only to its own caller', async t => {
	const simulation = JobSimulation.create({seed: 1, workers: 1});
	const first = await simulation.submit({kind: 'build'}, {key: 'season'});
	t.is((await simulation.submit({kind: 'build'}, {key: 'season'})).jobId, first.jobId);
	t.not((await simulation.submit({kind: 'build'}, {key: 'season', caller: 'caller-2'})).jobId, first.jobId);
	const reuseError = await t.throwsAsync(async () => simulation.submit({kind: 'refit'}, {key: 'season'}));
	t.is((reuseError as VerdictError).code, 'key_reused');
	const foreignError = await t.throwsAsync(async () => simulation.client.getJob(first.jobId, 'caller-2'));
	t.is((foreignError as VerdictError).code, 'unknown_job');
});

test('a submission is refused with the verdict not-run while the platform is down', async t => {
	const simulation = JobSimulation.create({seed: 1, workers: 1});
	for (const faults of [{tables: {isDown: true}, objects: {}}, {tables: {}, objects: {isDown: true}}]) {
		simulation.tables.faults.setFaults(faults.tables);
		simulation.objects.faults.setFaults(faults.objects);
		const error = await t.throwsAsync(async () => simulation.submit({kind: 'build'}));
		t.true(error instanceof VerdictError);
		t.is((error as VerdictError).verdict, 'not-run');
	}

	simulation.objects.faults.setFaults({});
	t.deepEqual(await simulation.readJobs(), []);
});

test('a submission whose response from the tables was lost is found by reading its row', async t => {
	const simulation = JobSimulation.create({seed: 1, workers: 1});
	simulation.tables.faults.setFaults({lostAnswers: 1});
	const submitted = simulation.submit({kind: 'build'});
	await simulation.clock.advance(1000);
	const {jobId} = await submitted;
	t.deepEqual((await simulation.readJobs()).map(row => row.jobId), [jobId]);
});

test('a build resumes from its checkpoint after the lease holder was killed and the worker rebooted', async t => {
	const simulation = JobSimulation.create({seed: 1, workers: 2, entries: 3});
	const {jobId} = await simulation.submit({kind: 'build'});
	t.true(await simulation.runUntil(async () => (await simulation.client.getJob(jobId)).checkpoint !== undefined, minuteMs));
	const {vmId} = await simulation.client.getJob(jobId);
	simulation.killEntry(simulation.holder!);
	await simulation.rebootWorker(vmId!);
	t.true(await simulation.runUntil(async () => (await simulation.client.getJob(jobId)).state === 'finished', 5 * minuteMs));
	const starts = simulation.tasks.history.filter(event => event.type === 'started');
	t.is(starts.length, 2);
	t.truthy(starts[1]!.checkpoint);
	t.deepEqual(findTaskViolations(simulation.tasks), []);
});

const lostRuns = [
	{kind: 'build', state: 'finished', starts: 2},
	{kind: 'refresh', state: 'may-have-run', starts: 1},
	{kind: 'kernel', state: 'finished', starts: 2},
] as const;

for (const {kind, state, starts} of lostRuns) {
	test(`a ${kind} whose worker can't be reached ends as ${state} after ${starts} starts`, async t => {
		const simulation = JobSimulation.create({seed: 1, workers: 2});
		const {jobId} = await simulation.submit({kind});
		t.true(await simulation.runUntil(async () => {
			const row = await simulation.client.getJob(jobId);
			return row.state === 'running' && (kind === 'refresh' || row.checkpoint !== undefined);
		}, minuteMs));
		const {vmId} = await simulation.client.getJob(jobId);
		simulation.tasks.setFaults(vmId!, {isUnreachable: true});
		t.true(await simulation.runUntil(async () => (await simulation.client.getJob(jobId)).state === state, 5 * minuteMs));
		simulation.tasks.setFaults(vmId!, {});
		await simulation.tasks.list(vmId!);
		t.is(simulation.listStarts(jobId).length, starts);
		t.deepEqual(findTaskViolations(simulation.tasks), []);
	});
}

test('a lease holder that was frozen starts no job that its successor has started', async t => {
	const simulation = JobSimulation.create({seed: 1, workers: 2, entries: 2});
	await simulation.run(2000);
	const frozenEntry = simulation.holder!;
	const {jobId} = await simulation.submit({kind: 'refresh'});
	await simulation.clock.advance(1);
	const turn = frozenEntry.controller.runTurn();
	await simulation.tables.getRow({table: 'jobs', key: jobId});
	frozenEntry.gate.freeze();
	await simulation.run(30_000);
	t.not(simulation.holder, frozenEntry);
	frozenEntry.gate.thaw();
	await Promise.allSettled([turn]);
	t.true(await simulation.runUntil(async () => (await simulation.client.getJob(jobId)).state === 'finished', 5 * minuteMs));
	t.is(simulation.listStarts(jobId).length, 1);
});

test('ten thousand cancellations are acknowledged after one write, and no cancelled job starts afterwards', async t => {
	const simulation = JobSimulation.create({seed: 1, workers: 2});
	await simulation.run(1000);
	const count = 10_000;
	for (let index = 0; index < count; index++) {
		await simulation.submit({kind: 'build', cores: 32}, {key: `job-${index}`});
	}

	await simulation.run(minuteMs);
	const writesBefore = simulation.tables.counts.writes;
	await simulation.client.cancelJobs({jobIds: (await simulation.readJobs()).map(row => row.jobId)}, 'caller-1');
	t.is(simulation.tables.counts.writes - writesBefore, 1);
	const cancelledAt = simulation.clock.readMonotonic();
	const countsBefore = simulation.tables.counts;
	t.true(await simulation.runUntil(async () => (await simulation.tables.scanRows('jobs-open', {limit: 1})).length === 0, 2 * minuteMs));
	const seconds = (simulation.clock.readMonotonic() - cancelledAt) / 1000;
	t.true((simulation.tables.counts.writes - countsBefore.writes) / seconds < 200, 'writes per second stay within the share of the table service that jobs may use');
	t.deepEqual(simulation.tasks.history.filter(event => event.type === 'started' && event.at > cancelledAt), []);
});

test('a job that fails on every worker ends after three workers, and none of them is set aside', async t => {
	const simulation = JobSimulation.create({seed: 1, workers: 8, readScript: () => ({runMs: 1000, fails: true, usage: {cores: 1, memoryMb: 1, accelerators: 0}})});
	const rows = await Promise.all(Array.from({length: 12}, async () => simulation.submit({kind: 'build'})));
	t.true(await simulation.runUntil(async () => (await simulation.readJobs()).every(row => row.state === 'failed'), 10 * minuteMs));
	for (const {jobId} of rows) {
		const vms = simulation.tasks.history.filter(event => event.type === 'started' && event.taskId === jobId).map(event => event.vmId);
		t.is(new Set(vms).size, 3);
		t.is(vms.length, 3);
	}

	t.is(simulation.holder!.controller.counts.setAside, 0);
});

test('a worker that fails every job is set aside, and every job finishes on another worker', async t => {
	const simulation = JobSimulation.create({seed: 1, workers: 8, readScript: () => ({runMs: 5000, usage: {cores: 1, memoryMb: 1, accelerators: 0}})});
	simulation.tasks.setFaults('north-1', {failsAll: true});
	for (let index = 0; index < 60; index++) {
		await simulation.submit({kind: 'build', cores: 32});
	}

	t.true(await simulation.runUntil(async () => (await simulation.readJobs()).every(row => row.state === 'finished'), 10 * minuteMs));
	t.is(simulation.holder!.controller.counts.setAside, 1);
	t.true(simulation.tasks.history.filter(event => event.type === 'started' && event.vmId === 'north-1').length <= 4);
});

test('during an hour without tables and objects runs continue and no job starts twice, and scheduling recovers afterwards', async t => {
	const simulation = JobSimulation.create({
		seed: 1, workers: 4, entries: 3, offlineMs: 90 * minuteMs, readScript: () => ({runMs: 90 * minuteMs, usage: {cores: 1, memoryMb: 1, accelerators: 0}}),
	});
	for (const kind of ['build', 'kernel', 'refresh', 'build'] as const) {
		await simulation.submit({kind, cores: 32});
	}

	await simulation.run(10_000);
	simulation.tables.faults.setFaults({isDown: true});
	simulation.objects.faults.setFaults({isDown: true});
	await simulation.run(60 * minuteMs);
	t.is(simulation.tasks.history.filter(event => event.type === 'started').length, 4);
	t.is(simulation.tasks.history.filter(event => event.type === 'ended').length, 0);
	simulation.tables.faults.setFaults({});
	simulation.objects.faults.setFaults({});
	t.true(await simulation.runUntil(async () => (await simulation.readJobs()).every(row => row.state === 'finished'), 40 * minuteMs));
	t.is(simulation.tasks.history.filter(event => event.type === 'started').length, 4);
	t.deepEqual(findTaskViolations(simulation.tasks), []);
});
