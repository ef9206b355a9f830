import test from 'ava';
import {
	Cluster, readMetric, waitUntil, type EntryProcess,
} from '../src/index.js';

const tree = {deployments: {fixture: {pools: {north: {services: {echo: {}}}}}}};

async function waitForPeers(entry: EntryProcess, count: number): Promise<void> {
	await waitUntil(async () => await readMetric(entry, 'tamarackwind_peers_live') === count);
}

test('entries discover each other, drop a killed and a disconnected entry, and add both again', async t => {
	const cluster = await Cluster.create({
		tree, workers: {}, entries: 3, hasRelays: true,
	});
	t.teardown(async () => cluster.close());
	const [first, second, third] = cluster.entries as [EntryProcess, EntryProcess, EntryProcess];
	await Promise.all([first, second, third].map(async entry => waitForPeers(entry, 2)));

	third.kill('SIGKILL');
	await waitForPeers(first, 1);
	await cluster.restartEntry(2);
	await waitForPeers(first, 2);

	cluster.relays!.setPeerLinksCut('entry-1', 'entry-2', true);
	await Promise.all([first, second].map(async entry => waitForPeers(entry, 1)));
	cluster.relays!.setPeerLinksCut('entry-1', 'entry-2', false);
	await t.notThrowsAsync(Promise.all([first, second].map(async entry => waitForPeers(entry, 2))));
});

test('an entry that the platform does not list is refused at the peer port', async t => {
	const cluster = await Cluster.create({tree, workers: {}, entries: 2});
	t.teardown(async () => cluster.close());
	await waitForPeers(cluster.entries[0]!, 1);
	cluster.platform.removeVm('entry-2');
	await t.notThrowsAsync(waitForPeers(cluster.entries[0]!, 0));
});
