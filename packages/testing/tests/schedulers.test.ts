import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {request} from 'undici';
import {
	Cluster, createWorkerRecord, waitUntil, type EntryProcess, type WorkerRun,
} from '../src/index.js';

const tree = {deployments: {fixture: {pools: {north: {services: {echo: {}}}}}}};
const slotsPerVm = 8;
/** Pause of an entry that outlasts the term of its lease, 2500 ms, in milliseconds. */
const pauseMs = 3000;

async function waitForPeers(entry: EntryProcess, count: number): Promise<void> {
	await waitUntil(async () => {
		const {body} = await request(`${entry.getUrl('metrics')}/metrics`);
		return (await body.text()).includes(`tamarackwind_peers_live ${count}\n`);
	});
}

async function sendAll(entries: readonly EntryProcess[], count: number): Promise<number[]> {
	return Promise.all(Array.from({length: count}, async (_, index) => {
		const {statusCode, body} = await request(`${entries[index % entries.length]!.getUrl('caller')}/echo/sleep/100`);
		await body.dump();
		return statusCode;
	}));
}

/** Computes the maximum number of runs that overlap in time. */
function computeMaxConcurrency(runs: readonly WorkerRun[]): number {
	const changes = runs.flatMap(run => [{at: run.startedAt, change: 1}, {at: run.finishedAt ?? Number.POSITIVE_INFINITY, change: -1}]);
	let [maxRunning, running] = [0, 0];
	for (const {change} of changes.toSorted((a, b) => a.at - b.at || a.change - b.change)) {
		running += change;
		maxRunning = Math.max(maxRunning, running);
	}

	return maxRunning;
}

test('entries in separate processes share the slots of a worker, also when one is killed and replaced', async t => {
	const cluster = await Cluster.create({tree, workers: {north: 1}, entries: 3});
	t.teardown(async () => cluster.close());
	await Promise.all(cluster.entries.map(async entry => waitForPeers(entry, 2)));
	t.deepEqual(new Set(await sendAll(cluster.entries, 120)), new Set([200]));

	cluster.entries[2]!.kill('SIGKILL');
	t.deepEqual(new Set(await sendAll(cluster.entries.slice(0, 2), 60)), new Set([200]));
	const replaced = await cluster.restartEntry(2);
	// An entry may hear its peers before it has read its settings and confirmed its view; a load balancer sends it nothing until it is ready.
	await waitUntil(async () => replaced.isReady());
	await Promise.all(cluster.entries.map(async entry => waitForPeers(entry, 2)));
	t.deepEqual(new Set(await sendAll(cluster.entries, 120)), new Set([200]));
	t.true(computeMaxConcurrency(cluster.workers[0]!.runs) <= slotsPerVm);
});

test('a worker that the platform lists as leaving gets no new requests after 3 seconds', async t => {
	const cluster = await Cluster.create({tree, workers: {north: 2}, entries: 3});
	t.teardown(async () => cluster.close());
	await Promise.all(cluster.entries.map(async entry => waitForPeers(entry, 2)));
	await sendAll(cluster.entries, 40);
	const [leaving, other] = cluster.workers;
	t.true(leaving!.runs.length > 0);
	const leftAt = Date.now();
	cluster.platform.putVms([{...createWorkerRecord('north', 0, leaving!.port), state: 'leaving'}]);
	while (Date.now() < leftAt + 5000) {
		t.deepEqual(new Set(await sendAll(cluster.entries, 12)), new Set([200]));
	}

	t.deepEqual(leaving!.runs.filter(run => run.startedAt > leftAt + 3000), []);
	t.true(other!.runs.some(run => run.startedAt > leftAt + 3000));
});

// Guards against an entry that refuses the requests it received while it was paused, since it checks its view before it confirmed it again.
test('requests that an entry received while it was paused for longer than its lease are served', async t => {
	const cluster = await Cluster.create({tree, workers: {north: 1}, entries: 3});
	t.teardown(async () => cluster.close());
	await Promise.all(cluster.entries.map(async entry => waitForPeers(entry, 2)));
	for (const entry of cluster.entries) {
		await sendAll([entry], 8);
		entry.kill('SIGSTOP');
		const statuses = sendAll([entry], 24);
		await delay(pauseMs);
		entry.kill('SIGCONT');
		t.deepEqual(new Set(await statuses), new Set([200]));
	}
});
