import test from 'ava';
import {type CancelSelector, type JobRow} from '@tamarackwind/jobs';
import {type Transaction} from '@tamarackwind/clients';
import {JobSimulation, findTaskViolations, type JobSimulationEntry} from '../src/index.js';

const minuteMs = 60_000;

function hasStart({writes}: Transaction): boolean {
	return writes.some(write => (write.value as Partial<JobRow> | undefined)?.state === 'starting');
}

async function waitForLeaseHolder(simulation: JobSimulation): Promise<JobSimulationEntry> {
	await simulation.runUntil(() => simulation.holder !== undefined, minuteMs);
	return simulation.holder!;
}

test('a job whose cancellation was accepted before its start was committed does not start', async t => {
	const simulation = JobSimulation.create({seed: 1, workers: 2});
	const leaseHolder = await waitForLeaseHolder(simulation);
	leaseHolder.gate.freezeAtCommit = hasStart;
	const {jobId} = await simulation.submit({kind: 'refresh'});
	t.true(await simulation.runUntil(() => leaseHolder.gate.isFrozen, minuteMs));
	await simulation.client.cancelJobs({jobIds: [jobId]}, 'caller-1');
	leaseHolder.gate.thaw();
	t.true(await simulation.runUntil(async () => (await simulation.client.getJob(jobId)).state === 'cancelled', minuteMs));
	t.deepEqual(simulation.listStarts(jobId), []);
});

const selectors: ReadonlyArray<{readonly name: string; readonly selector: (jobId: string) => CancelSelector}> = [
	{name: 'by its id', selector: jobId => ({jobIds: [jobId]})},
	{name: 'by its kind', selector: () => ({kind: 'refresh'})},
	{name: 'among ten thousand ids', selector: jobId => ({jobIds: [...Array.from({length: 10_000}, (_, index) => `other-${index}`), jobId]})},
];

// Guards against a start of the cancelled job, and against other starts that wait for a later turn because of the conflict.
for (const {name, selector} of selectors) {
	test(`a cancellation of a job ${name} before the starts are committed does not void the other starts of the turn`, async t => {
		const simulation = JobSimulation.create({seed: 1, workers: 2});
		const leaseHolder = await waitForLeaseHolder(simulation);
		leaseHolder.gate.freezeAtCommit = hasStart;
		const cancelled = await simulation.submit({kind: 'refresh'});
		const other = await simulation.submit({kind: 'build'});
		t.true(await simulation.runUntil(() => leaseHolder.gate.isFrozen, minuteMs));
		await simulation.client.cancelJobs(selector(cancelled.jobId), 'caller-1');
		leaseHolder.gate.thaw();
		await simulation.run(250);
		t.is(simulation.listStarts(other.jobId).length, 1);
		t.true(await simulation.runUntil(async () => (await simulation.client.getJob(cancelled.jobId)).state === 'cancelled', minuteMs));
		t.deepEqual(simulation.listStarts(cancelled.jobId), []);
	});
}

test('an entry that lost the leader lease while frozen commits no start', async t => {
	const simulation = JobSimulation.create({seed: 1, workers: 2, entries: 2});
	const leaseHolder = await waitForLeaseHolder(simulation);
	leaseHolder.gate.freezeAtCommit = hasStart;
	const {jobId} = await simulation.submit({kind: 'refresh'});
	t.true(await simulation.runUntil(() => leaseHolder.gate.isFrozen, minuteMs));
	const {vms} = simulation;
	simulation.vms = [];
	t.true(await simulation.runUntil(() => simulation.holder !== undefined && simulation.holder !== leaseHolder, minuteMs));
	leaseHolder.gate.thaw();
	await simulation.run(5000);
	const row = await simulation.client.getJob(jobId);
	t.is(row.state, 'queued');
	t.is(row.epoch, 0);
	simulation.vms = vms;
	t.true(await simulation.runUntil(async () => (await simulation.client.getJob(jobId)).state === 'finished', 5 * minuteMs));
	t.is(simulation.listStarts(jobId).length, 1);
});

test('a delayed start request is refused after the job was started on another worker', async t => {
	const simulation = JobSimulation.create({seed: 1, workers: 2, entries: 2});
	const leaseHolder = await waitForLeaseHolder(simulation);
	let vmId = '';
	leaseHolder.gate.freezeAtStart = start => {
		vmId = start.vmId;
		return true;
	};

	const {jobId} = await simulation.submit({kind: 'build'});
	t.true(await simulation.runUntil(() => leaseHolder.gate.isFrozen, minuteMs));
	simulation.tasks.setFaults(vmId, {isUnreachable: true});
	t.true(await simulation.runUntil(() => simulation.listStarts(jobId).length === 1, 5 * minuteMs));
	simulation.tasks.setFaults(vmId, {});
	leaseHolder.gate.thaw();
	t.true(await simulation.runUntil(async () => (await simulation.client.getJob(jobId)).state === 'finished', 5 * minuteMs));
	t.is(simulation.listStarts(jobId).length, 1);
	t.deepEqual(findTaskViolations(simulation.tasks), []);
});

test('an urgent job reclaims the capacity that its team lent within 4.3 s', async t => {
	const quotas = new Map(['league', 'office'].map(team => [team, {cores: 128, memoryMb: 262_144, accelerators: 0}]));
	const simulation = JobSimulation.create({
		seed: 1, workers: 4, schedulerOptions: {readQuotas: () => quotas}, readScript: () => ({runMs: 60 * minuteMs, usage: {cores: 16, memoryMb: 1024, accelerators: 0}}),
	});
	for (let index = 0; index < 16; index++) {
		await simulation.submit({kind: 'build', cores: 16}, {team: 'office' as never});
		await simulation.run(500);
	}

	t.is(simulation.tasks.history.filter(event => event.type === 'started').length, 16);
	const submittedAt = simulation.clock.readMonotonic();
	const {jobId} = await simulation.submit({kind: 'refresh', cores: 32, workClass: 'urgent'}, {team: 'league' as never});
	t.true(await simulation.runUntil(() => simulation.listStarts(jobId).length === 1, minuteMs));
	t.true(simulation.listStarts(jobId)[0]! - submittedAt <= 4300);
	const evicted = simulation.tasks.history.filter(event => event.state === 'stopped');
	t.is(evicted.length, 2);
	const started = simulation.tasks.history.filter(event => event.type === 'started').map(event => event.taskId);
	t.true(evicted.some(event => event.taskId === started[15]), 'the most recently started job is evicted first');
	t.true((await simulation.readJobs()).filter(row => row.evictions > 0).every(row => row.checkpoint !== undefined));
});
