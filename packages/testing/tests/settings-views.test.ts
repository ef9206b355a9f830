import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {
	Cluster, waitUntil, type ClusterOptions, type EntryProcess,
} from '../src/index.js';

/** Documented time limit for a change to be in force on every entry, in milliseconds. */
const inForceLimitMs = 6000;

type Change = {status: number; body: {status: string; version: number}};

function createTree(...services: string[]): ClusterOptions['tree'] {
	return {deployments: {fixture: {pools: {north: {services: Object.fromEntries(services.map(name => [name, {}]))}}}}};
}

async function startCluster(t: ExecutionContext): Promise<{cluster: Cluster; first: EntryProcess; last: EntryProcess}> {
	const cluster = await Cluster.create({
		tree: createTree('old'), workers: {north: 1}, entries: 3, hasRelays: true,
	});
	t.teardown(async () => cluster.close());
	await waitUntil(async () => (await Promise.all(cluster.entries.map(async entry => hasLiveMembers(entry, 3)))).every(Boolean));
	return {cluster, first: cluster.entries[0]!, last: cluster.entries[2]!};
}

async function hasLiveMembers(entry: EntryProcess, count: number): Promise<boolean> {
	const {body} = await entry.callOperator<{isMembershipSettled: boolean; members: Array<{isLive: boolean}>}>('GET', '/v1/status');
	return body.isMembershipSettled && body.members.filter(({isLive}) => isLive).length === count;
}

async function putTree(entry: EntryProcess, changeId: string, baseVersion: number, tree: ClusterOptions['tree']): Promise<Change> {
	return await entry.callOperator('PUT', '/v1/settings', {changeId, baseVersion, tree}) as unknown as Change;
}

async function callService(entry: EntryProcess, service: string): Promise<number> {
	const {statusCode, body} = await request(`${entry.getUrl('caller')}/${service}/echo`, {method: 'PUT', body: 'x'});
	await body.dump();
	return statusCode;
}

function setPeersCut(cluster: Cluster, isCut: boolean): void {
	cluster.relays!.setPeerLinksCut('entry-1', 'entry-3', isCut);
	cluster.relays!.setPeerLinksCut('entry-2', 'entry-3', isCut);
}

const partitions = [
	{
		name: 'cut off from the platform', isServing: true, setCut(cluster: Cluster, isCut: boolean) {
			cluster.relays!.setPlatformLinkCut('entry-3', isCut);
		},
	},
	{
		name: 'cut off from its peers', isServing: true, setCut(cluster: Cluster, isCut: boolean) {
			setPeersCut(cluster, isCut);
		},
	},
	{
		name: 'cut off from both', isServing: false, setCut(cluster: Cluster, isCut: boolean) {
			cluster.relays!.setPlatformLinkCut('entry-3', isCut);
			setPeersCut(cluster, isCut);
		},
	},
];

for (const {name, isServing, setCut} of partitions) {
	test.serial(`an entry that is ${name} applies an accepted change or serves nothing`, async t => {
		const {cluster, first, last} = await startCluster(t);
		setCut(cluster, true);
		const startedAt = Date.now();
		const change = await putTree(first, 'c-1', 1, createTree('new'));
		t.like(change, {status: 200, body: {status: 'in-force', version: 2}});
		t.true(Date.now() - startedAt < inForceLimitMs);
		t.not(await callService(last, 'old'), 200);
		if (isServing) {
			t.is(await callService(last, 'new'), 200);
		} else {
			t.not(await callService(last, 'new'), 200);
		}

		setCut(cluster, false);
		await waitUntil(async () => await callService(last, 'new') === 200);
		t.is(await callService(last, 'old'), 404);
	});
}

test.serial('an entry that is frozen during a change serves no request with the older settings', async t => {
	const {first, last} = await startCluster(t);
	last.kill('SIGSTOP');
	const requests = Array.from({length: 4}, async () => callService(last, 'old'));
	const change = await putTree(first, 'c-1', 1, createTree('new'));
	t.like(change, {status: 200, body: {status: 'in-force', version: 2}});
	last.kill('SIGCONT');
	const statuses = await Promise.all(requests);
	t.false(statuses.includes(200));
	await waitUntil(async () => await callService(last, 'new') === 200);
});

test.serial('while the platform is down, entries serve requests and accept no change, and a restarted entry reads the settings from its peers', async t => {
	const {cluster, first, last} = await startCluster(t);
	t.is((await putTree(first, 'c-1', 1, createTree('new'))).status, 200);
	const peers = cluster.entries.slice(0, 2).map((entry, index) => ({entryId: `entry-${index + 1}`, address: '127.0.0.1', port: entry.ports.peer}));
	cluster.platform.setFaults({tables: {isDown: true}, objects: {isDown: true}, vms: {isDown: true}});
	const end = Date.now() + 4000;
	while (Date.now() < end) {
		t.is(await callService(first, 'new'), 200);
		t.is(await callService(last, 'new'), 200);
		await new Promise(resolve => {
			setTimeout(resolve, 100);
		});
	}

	t.is((await putTree(first, 'c-2', 2, createTree('newer'))).status, 503);
	const restarted = await cluster.restartEntry(2, {peers, peer: {host: '127.0.0.1', port: last.ports.peer}});
	await waitUntil(async () => restarted.isReady());
	t.is(await callService(restarted, 'new'), 200);
	t.is(await callService(restarted, 'old'), 404);
	cluster.platform.setFaults({});
	t.is((await putTree(first, 'c-3', 2, createTree('newest'))).status, 200);
});

test.serial('after all entries restart, none serves a service that an earlier change removed', async t => {
	const {cluster, first} = await startCluster(t);
	t.is((await putTree(first, 'c-1', 1, createTree('new'))).status, 200);
	for (const index of [0, 1, 2]) {
		cluster.entries[index]!.kill('SIGKILL');
	}

	await Promise.all([0, 1, 2].map(async index => cluster.restartEntry(index)));
	for (const entry of cluster.entries) {
		t.not(await callService(entry, 'old'), 200);
		await waitUntil(async () => entry.isReady());
		t.is(await callService(entry, 'new'), 200);
		t.is(await callService(entry, 'old'), 404);
	}
});

test.serial('a change is accepted and its outcome is found while the platform loses a response or is slow', async t => {
	const {cluster, first} = await startCluster(t);
	cluster.platform.setFaults({tables: {lostAnswers: 1}});
	t.is((await putTree(first, 'c-1', 1, createTree('new'))).status, 200);
	cluster.platform.setFaults({tables: {delayMs: 300}});
	const second = await putTree(first, 'c-2', 2, createTree('newer'));
	t.true([200, 202].includes(second.status));
	cluster.platform.setFaults({});
	await waitUntil(async () => (await first.callOperator('GET', '/v1/settings/changes/c-2')).status === 200);
	t.deepEqual(await Promise.all(cluster.entries.map(async entry => callService(entry, 'newer'))), [200, 200, 200]);
});
