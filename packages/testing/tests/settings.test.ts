import test from 'ava';
import {Cluster, type EntryProcess, type ClusterOptions} from '../src/index.js';

type Tree = ClusterOptions['tree'];

function createTree(maxAttempts: number): Tree {
	return {service: {maxAttempts}, deployments: {fixture: {pools: {north: {services: {echo: {}}}}}}};
}

async function listVersions(cluster: Cluster): Promise<number[]> {
	const responses = await Promise.all(cluster.entries.map(async (entry: EntryProcess) => entry.callOperator<{settingsVersion: number}>('GET', '/v1/status')));
	return responses.map(({body}) => body.settingsVersion);
}

test('an accepted change is in force on every entry when the response arrives, and a repeated change returns the same outcome', async t => {
	const cluster = await Cluster.create({tree: createTree(1), workers: {}, entries: 3});
	t.teardown(async () => cluster.close());
	const [first, second] = cluster.entries as [EntryProcess, EntryProcess];
	const change = {
		changeId: 'c-1', baseVersion: 1, tree: createTree(2), why: 'more retries',
	};
	const accepted = await first.callOperator('PUT', '/v1/settings', change);
	t.like(accepted, {status: 200, body: {status: 'in-force', version: 2, paths: ['service.maxAttempts']}});
	t.deepEqual(await listVersions(cluster), [2, 2, 2]);

	t.like(await second.callOperator('PUT', '/v1/settings', change), {status: 200, body: {version: 2}});
	t.like(await second.callOperator('GET', '/v1/settings/changes/c-1'), {status: 200, body: {status: 'in-force'}});
	const stale = await second.callOperator('PUT', '/v1/settings', {...change, changeId: 'c-2', tree: createTree(3)});
	t.like(stale, {status: 409, body: {paths: ['service.maxAttempts']}});

	const audit = await second.callOperator<Array<{outcome: string; changes: unknown[]}>>('GET', '/v1/audit?path=service');
	t.deepEqual(audit.body.map(({outcome}) => outcome), ['conflict', 'accepted']);
	t.like((await first.callOperator('GET', '/v1/audit/verify')).body, {records: 2, fault: undefined});
});

test('exactly one of two concurrent changes is accepted', async t => {
	const cluster = await Cluster.create({tree: createTree(1), workers: {}, entries: 2});
	t.teardown(async () => cluster.close());
	const responses = await Promise.all(cluster.entries.map(async (entry, index) => entry.callOperator('PUT', '/v1/settings', {
		changeId: `c-${index}`, baseVersion: 1, tree: createTree(2 + index),
	})));
	t.deepEqual(responses.map(({status}) => status).toSorted((a, b) => a - b), [200, 409]);
});

test('a request with an unknown operator token is refused', async t => {
	const cluster = await Cluster.create({tree: createTree(1), workers: {}, entries: 1});
	t.teardown(async () => cluster.close());
	t.is((await cluster.entries[0]!.callOperator('GET', '/v1/status', undefined, 'other')).status, 401);
});
