import test from 'ava';
import {request} from 'undici';
import {Cluster} from '../src/index.js';

test('entries and a worker in separate processes serve requests end to end', async t => {
	const cluster = await Cluster.create({
		tree: {deployments: {fixture: {pools: {north: {services: {echo: {}}}}}}},
		workers: {north: 1},
		entries: 2,
	});
	t.teardown(async () => cluster.close());
	for (const entry of cluster.entries) {
		const response = await request(`${entry.getUrl('caller')}/echo/echo?x=1`, {method: 'POST', body: 'redraw'});
		t.is(response.statusCode, 200);
		t.is(await response.body.text(), 'redraw');
	}

	const [entry] = cluster.entries;
	const refusal = await request(`${entry!.getUrl('caller')}/nothing/echo`);
	t.is(refusal.statusCode, 404);
	t.is(refusal.headers['tamarackwind-verdict'], 'not-run');

	entry!.kill('SIGTERM');
	t.is(await entry!.waitForExit(), 0);
});
