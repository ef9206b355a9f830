import test from 'ava';
import {type JobRow} from '@tamarackwind/jobs';
import {request} from 'undici';
import {
	Cluster, findTaskViolations, createWorkerRecord, runCommandLine, waitUntil, type CommandResult, type TaskScript,
} from '../src/index.js';

const tree = {deployments: {fixture: {pools: {north: {services: {echo: {}}}}}}};
const taskScript: TaskScript = {runMs: 6000, usage: {cores: 2, memoryMb: 512, accelerators: 0}};

const dayMs = 24 * 60 * 60 * 1000;

async function submit(url: string, query: string, key: string, runMs = taskScript.runMs): Promise<{status: number; job: JobRow}> {
	const response = await request(`${url}/jobs?${query}`, {method: 'POST', body: JSON.stringify({...taskScript, runMs}), headers: {'idempotency-key': key}});
	return {status: response.statusCode, job: await response.body.json() as JobRow};
}

async function readJob(url: string, jobId: string): Promise<JobRow> {
	return await (await request(`${url}/jobs/${jobId}`)).body.json() as JobRow;
}

test('a build whose scheduling entry and worker are killed resumes and commits its result once', async t => {
	const cluster = await Cluster.create({tree, workers: {north: 3}, entries: 3});
	t.teardown(async () => cluster.close());
	const [first] = cluster.entries;
	const {status, job} = await submit(first!.getUrl('caller'), 'kind=build&cores=2', 'season');
	t.is(status, 202);
	t.is((await submit(first!.getUrl('caller'), 'kind=build&cores=2', 'season')).job.jobId, job.jobId);
	await waitUntil(async () => (await readJob(first!.getUrl('caller'), job.jobId)).checkpoint !== undefined, 60_000);

	const {vmId} = await readJob(first!.getUrl('caller'), job.jobId);
	const leaseRow = await cluster.platform.tables.getRow({table: 'duties', key: 'jobs'});
	const {holder} = leaseRow!.value as {holder: string};
	const holderIndex = Number(holder.split('-')[1]) - 1;
	cluster.entries[holderIndex]!.kill('SIGKILL');
	await cluster.platform.tasks.restartWorker(vmId!);
	cluster.platform.putVms([{...createWorkerRecord('north', Number(vmId!.split('-')[1]) - 1, 1), incarnation: '2'}]);
	cluster.platform.setFaults({tables: {lostAnswers: 3}});

	const url = cluster.entries[(holderIndex + 1) % 3]!.getUrl('caller');
	await waitUntil(async () => (await readJob(url, job.jobId)).state === 'finished', 120_000);
	const result = await request(`${url}/jobs/${job.jobId}/result`);
	t.is(await result.body.text(), `result of ${job.jobId}`);
	const starts = cluster.platform.tasks.history.filter(event => event.type === 'started');
	t.is(starts.length, 2);
	t.truthy(starts[1]!.checkpoint);
	t.deepEqual(findTaskViolations(cluster.platform.tasks), []);
});

test('jobs that can\'t be accepted are refused, and operators can list, explain and cancel jobs', async t => {
	const cluster = await Cluster.create({tree, workers: {north: 1}, entries: 1});
	t.teardown(async () => cluster.close());
	const entry = cluster.entries[0]!;
	const url = entry.getUrl('caller');
	await waitUntil(async () => (await submit(url, 'kind=build&cores=1000', 'too-big')).status === 422);
	const refusals = [
		{query: 'kind=dance', status: 400},
		{query: 'kind=build&cores=1&zones=nowhere', status: 422},
	];
	for (const {query, status} of refusals) {
		const response = await request(`${url}/jobs?${query}`, {method: 'POST'});
		t.is(response.statusCode, status);
		t.is(response.headers['tamarackwind-verdict'], 'not-run');
		await response.body.dump();
	}

	cluster.platform.setFaults({objects: {isDown: true}});
	const refusal = await request(`${url}/jobs?kind=build`, {method: 'POST', body: 'x'});
	t.is(refusal.statusCode, 503);
	t.is(refusal.headers['tamarackwind-verdict'], 'not-run');
	t.truthy(refusal.headers['retry-after']);
	await refusal.body.dump();
	cluster.platform.setFaults({});

	const {job} = await submit(url, 'kind=kernel&cores=64', 'kernel', dayMs);
	await waitUntil(async () => (await cluster.platform.tables.listRows('holds')).length === 1, 60_000);
	const waitingJob = (await submit(url, 'kind=refresh&cores=8', 'refresh')).job;
	const run = async (...args: string[]): Promise<CommandResult> => runCommandLine(entry, ['job', ...args]);

	t.regex((await run('list')).stdout, /kernel/v);
	t.regex((await run('show', job.jobId)).stdout, /running|starting/v);
	t.regex((await run('explain', job.jobId)).stdout, /best fit/v);
	t.regex((await run('explain', waitingJob.jobId)).stdout, /cores/v);
	t.deepEqual(JSON.parse((await run('cancel', '--all', '--json')).stdout), [{accepted: true}]);
	await waitUntil(async () => (await readJob(url, job.jobId)).state === 'cancelled' && (await readJob(url, waitingJob.jobId)).state === 'cancelled', 60_000);
	t.deepEqual(await cluster.platform.tables.listRows('holds'), []);
	t.is((await run('show', 'nothing')).code, 1);
	t.is((await run('list')).code, 0);
});
