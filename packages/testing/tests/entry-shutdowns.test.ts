import {Agent} from 'node:http';
import {connect} from 'node:net';
import test from 'ava';
import {
	Cluster, callHttp, readText, waitUntil, type EntryProcess, type HttpCallResult,
} from '../src/index.js';

async function createCluster(entryConfig: Record<string, unknown>): Promise<{cluster: Cluster; entry: EntryProcess; url: string}> {
	const cluster = await Cluster.create({
		tree: {deployments: {fixture: {pools: {north: {services: {echo: {}}}}}}},
		workers: {north: 1},
		entries: 1,
		entryConfig,
	});
	const entry = cluster.entries[0]!;
	return {cluster, entry, url: `${entry.getUrl('caller')}/echo`};
}

async function canConnect(port: number): Promise<boolean> {
	return new Promise(resolve => {
		const socket = connect(port, '127.0.0.1');
		socket.once('connect', () => {
			socket.destroy();
			resolve(true);
		});
		socket.once('error', () => {
			resolve(false);
		});
	});
}

async function send(url: string, path: string, agent?: Agent): Promise<HttpCallResult> {
	return callHttp(`${url}/${path}`, {method: 'POST', body: 'redraw', agent});
}

test('a planned shutdown interrupts no request: the readiness check fails, then connections are refused, then requests in flight end', async t => {
	const {cluster, entry, url} = await createCluster({balancerDelayMs: 500});
	t.teardown(async () => cluster.close());
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	await send(url, 'echo', agent);
	const stream = send(url, 'stream/20/100');
	const slow = send(url, 'sleep/1500');
	await waitUntil(() => cluster.workers[0]!.runs.length === 3);
	entry.kill('SIGTERM');
	await waitUntil(async () => !(await entry.isReady()));

	const keptAlive = await send(url, 'echo', agent);
	t.deepEqual([keptAlive.status, readText(keptAlive), keptAlive.headers.connection], [200, 'redraw', 'close']);
	t.is((await send(url, 'echo')).status, 200, 'the load balancer may not have seen the failed check yet');
	await waitUntil(async () => !(await canConnect(entry.ports.caller!)));

	t.is(readText(await slow), 'redraw');
	const streamed = await stream;
	t.deepEqual([streamed.isComplete, readText(streamed).trim().split('\n').length], [true, 20]);
	t.is(await entry.waitForExit(), 0);
	t.true(entry.logLines.some(line => line.includes('"entry stopped"') && line.includes('"cutRequests":0')));
	agent.destroy();
});

const forcedShutdowns = [
	{title: 'a second signal', entryConfig: {balancerDelayMs: 50}, isSignalled: true},
	{title: 'the shutdown timeout', entryConfig: {balancerDelayMs: 50, shutdownTimeoutMs: 300}, isSignalled: false},
];

for (const {title, entryConfig, isSignalled} of forcedShutdowns) {
	test(`${title} interrupts the requests in flight and logs their number`, async t => {
		const {cluster, entry, url} = await createCluster(entryConfig);
		t.teardown(async () => cluster.close());
		const requests = [send(url, 'sleep/20000'), send(url, 'stream/500/50')];
		await waitUntil(() => cluster.workers[0]!.runs.length === 2);
		entry.kill('SIGTERM');
		await waitUntil(async () => !(await canConnect(entry.ports.caller!)));
		if (isSignalled) {
			entry.kill('SIGTERM');
		}

		t.not(await entry.waitForExit(), 0);
		const stopped = entry.logLines.filter(line => line.includes('"entry stopped"'));
		t.is(stopped.length, 1);
		t.regex(stopped[0]!, /"cutRequests":2/v);
		for (const response of await Promise.all(requests)) {
			t.true(!response.isComplete || response.headers['tamarackwind-verdict'] === 'may-have-run', 'an interrupted request is not reported as a success');
		}
	});
}

test('a shutdown writes the outcomes of claims before the process exits', async t => {
	const {cluster, entry, url} = await createCluster({balancerDelayMs: 50});
	t.teardown(async () => cluster.close());
	cluster.platform.setFaults({tables: {delayMs: 200}});
	const response = await callHttp(`${url}/echo`, {method: 'POST', body: 'redraw', headers: {'idempotency-key': 'k-1'}});
	t.is(response.status, 200);
	entry.kill('SIGTERM');
	t.is(await entry.waitForExit(), 0);
	const [row] = await cluster.platform.tables.listRows('claims');
	t.like(row?.value, {state: 'finished'});
});
