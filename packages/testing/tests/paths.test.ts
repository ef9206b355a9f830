import test from 'ava';
import {request} from 'undici';
import {
	EntryProcess, PlatformStandIn, WorkerStandIn, waitUntil,
} from '../src/index.js';

test('a request is answered end to end through separate processes', async t => {
	const platform = await PlatformStandIn.create();
	const worker = await WorkerStandIn.create({vmId: 'vm-1'});
	platform.putVms([{
		vmId: 'vm-1', kind: 'worker', incarnation: '1', address: '127.0.0.1', port: worker.port, region: 'r1', zone: 'z1', rack: 'rack-1', state: 'live', pool: 'north', cores: 64, memoryMb: 131_072, accelerators: 0,
	}]);
	await platform.tables.commit({checks: [], writes: [{table: 'settings', key: 'current', value: {version: 1, tree: {deployments: {fixture: {pools: {north: {services: {echo: {}}}}}}}}}]});
	const listener = {host: '127.0.0.1', port: 0};
	const entry = await EntryProcess.create({
		entryId: 'entry-1', deployment: 'fixture', region: 'r1', zone: 'z1', caller: listener, operator: listener, peer: listener, metrics: listener, platform: {url: platform.url},
	});
	const base = `http://127.0.0.1:${entry.ports.caller}`;
	await waitUntil(async () => (await request(`http://127.0.0.1:${entry.ports.metrics}/readyz`)).statusCode === 200);

	const answer = await request(`${base}/echo/echo?x=1`, {method: 'POST', body: 'redraw'});
	t.is(answer.statusCode, 200);
	t.is(await answer.body.text(), 'redraw');

	const refused = await request(`${base}/nothing/echo`);
	t.is(refused.statusCode, 404);
	t.is(refused.headers['tamarackwind-verdict'], 'not-run');

	entry.kill('SIGTERM');
	t.is(await entry.waitForExit(), 0);
	await worker.close();
	await platform.close();
});
