import test from 'ava';
import {type JobRow} from '@tamarackwind/jobs';
import {type Transaction} from '@tamarackwind/clients';
import {JobSimulation, findTaskViolations, type JobSimulationEntry} from '../src/index.js';

const minuteMs = 60_000;

function hasStart({writes}: Transaction): boolean {
	return writes.some(write => (write.value as Partial<JobRow> | undefined)?.state === 'starting');
}

async function waitForLeaseHolder(world: JobSimulation): Promise<JobSimulationEntry> {
	await world.runUntil(() => world.holder !== undefined, minuteMs);
	return world.holder!;
}

test('a job whose cancellation was accepted before its start was committed does not start', async t => {
	const world = JobSimulation.create({seed: 1, workers: 2});
	const leaseHolder = await waitForLeaseHolder(world);
	leaseHolder.gate.freezeAtCommit = hasStart;
	const {jobId} = await world.submit({kind: 'refresh'});
	t.true(await world.runUntil(() => leaseHolder.gate.isFrozen, minuteMs));
	await world.client.cancelJobs({jobIds: [jobId]}, 'caller-1');
	leaseHolder.gate.thaw();
	t.true(await world.runUntil(async () => (await world.client.getJob(jobId)).state === 'cancelled', minuteMs));
	t.deepEqual(world.listStarts(jobId), []);
});

test('an entry that lost the leader lease while frozen commits no start', async t => {
	const world = JobSimulation.create({seed: 1, workers: 2, entries: 2});
	const leaseHolder = await waitForLeaseHolder(world);
	leaseHolder.gate.freezeAtCommit = hasStart;
	const {jobId} = await world.submit({kind: 'refresh'});
	t.true(await world.runUntil(() => leaseHolder.gate.isFrozen, minuteMs));
	const {vms} = world;
	world.vms = [];
	t.true(await world.runUntil(() => world.holder !== undefined && world.holder !== leaseHolder, minuteMs));
	leaseHolder.gate.thaw();
	await world.run(5000);
	const row = await world.client.getJob(jobId);
	t.is(row.state, 'queued');
	t.is(row.epoch, 0);
	world.vms = vms;
	t.true(await world.runUntil(async () => (await world.client.getJob(jobId)).state === 'finished', 5 * minuteMs));
	t.is(world.listStarts(jobId).length, 1);
});

test('a delayed start request is refused after the job was started on another worker', async t => {
	const world = JobSimulation.create({seed: 1, workers: 2, entries: 2});
	const leaseHolder = await waitForLeaseHolder(world);
	let vmId = '';
	leaseHolder.gate.freezeAtStart = start => {
		vmId = start.vmId;
		return true;
	};

	const {jobId} = await world.submit({kind: 'build'});
	t.true(await world.runUntil(() => leaseHolder.gate.isFrozen, minuteMs));
	world.tasks.setFaults(vmId, {isUnreachable: true});
	t.true(await world.runUntil(() => world.listStarts(jobId).length === 1, 5 * minuteMs));
	world.tasks.setFaults(vmId, {});
	leaseHolder.gate.thaw();
	t.true(await world.runUntil(async () => (await world.client.getJob(jobId)).state === 'finished', 5 * minuteMs));
	t.is(world.listStarts(jobId).length, 1);
	t.deepEqual(findTaskViolations(world.tasks), []);
});

test('an urgent job reclaims lent capacity of its team within 4.3 s', async t => {
	const quotas = new Map(['league', 'office'].map(team => [team, {cores: 128, memoryMb: 262_144, accelerators: 0}]));
	const world = JobSimulation.create({
		seed: 1, workers: 4, schedulerOptions: {readQuotas: () => quotas}, readScript: () => ({runMs: 60 * minuteMs, usage: {cores: 16, memoryMb: 1024, accelerators: 0}}),
	});
	for (let index = 0; index < 16; index++) {
		await world.submit({kind: 'build', cores: 16}, {team: 'office' as never});
		await world.run(500);
	}

	t.is(world.tasks.history.filter(event => event.type === 'started').length, 16);
	const submittedAt = world.clock.readMonotonic();
	const {jobId} = await world.submit({kind: 'refresh', cores: 32, workClass: 'urgent'}, {team: 'league' as never});
	t.true(await world.runUntil(() => world.listStarts(jobId).length === 1, minuteMs));
	t.true(world.listStarts(jobId)[0]! - submittedAt <= 4300);
	const evicted = world.tasks.history.filter(event => event.state === 'stopped');
	t.is(evicted.length, 2);
	const started = world.tasks.history.filter(event => event.type === 'started').map(event => event.taskId);
	t.true(evicted.some(event => event.taskId === started[15]), 'the most recently started job is evicted first');
	t.true((await world.readJobs()).filter(row => row.evictions > 0).every(row => row.checkpoint !== undefined));
});
