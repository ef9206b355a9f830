import test from 'ava';
import {request} from 'undici';
import {Cluster} from '../src/index.js';

test('a request is answered end to end through separate processes', async t => {
	const cluster = await Cluster.create({
		tree: {deployments: {fixture: {pools: {north: {services: {echo: {}}}}}}},
		workers: {north: 1},
		entries: 2,
	});
	t.teardown(async () => cluster.close());
	for (const entry of cluster.entries) {
		const answer = await request(`${entry.getUrl('caller')}/echo/echo?x=1`, {method: 'POST', body: 'redraw'});
		t.is(answer.statusCode, 200);
		t.is(await answer.body.text(), 'redraw');
	}

	const [entry] = cluster.entries;
	const refused = await request(`${entry!.getUrl('caller')}/nothing/echo`);
	t.is(refused.statusCode, 404);
	t.is(refused.headers['tamarackwind-verdict'], 'not-run');

	entry!.kill('SIGTERM');
	t.is(await entry!.waitForExit(), 0);
});
