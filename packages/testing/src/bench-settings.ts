/**
 * `npm run bench -- settings [--seconds S] [--entries N] [--rate R]`: table operations and network traffic of idle entries and of
 * settings changes.
 */
import {parseArgs} from 'node:util';
import {SystemClock} from '@tamarackwind/core';
import {type SettingsTree} from '@tamarackwind/settings';
import {Cluster} from './clusters.js';
import {waitUntil, type EntryProcess} from './entry-processes.js';

const clock = SystemClock.create();
const poolCount = 185;

function createTree(maxAttempts: number): SettingsTree {
	const pools = Object.fromEntries(Array.from({length: poolCount}, (_, index) => [`pool-${index}`, {slotsPerVm: 8, services: {[`service-${index}`]: {deadlineMs: 1000 + index}}}]));
	return {service: {maxAttempts}, deployments: {fixture: {pools}}};
}

type Usage = {readonly reads: number; readonly writes: number; readonly peerBytes: number; readonly platformBytes: number};

function readUsage(cluster: Cluster): Usage {
	const {reads, writes} = cluster.platform.tables.counts;
	const bytes = cluster.entries.map((_, index) => cluster.relays!.countBytes(`entry-${index + 1}`));
	return {
		reads, writes,
		peerBytes: bytes.reduce((sum, {peers}) => sum + peers, 0) / bytes.length,
		platformBytes: bytes.reduce((sum, {platform}) => sum + platform, 0) / bytes.length,
	};
}

async function measureLoad(name: string, cluster: Cluster, run: () => Promise<number[]>): Promise<Record<string, string | number>> {
	const before = readUsage(cluster);
	const startedAt = clock.readMonotonic();
	const latencies = (await run()).toSorted((a, b) => a - b);
	const seconds = (clock.readMonotonic() - startedAt) / 1000;
	const after = readUsage(cluster);
	const perSecond = (key: keyof Usage): number => Math.round((after[key] - before[key]) / seconds);
	return {
		load: name,
		changes: latencies.length,
		seconds: Math.round(seconds),
		readsPerSecond: perSecond('reads'),
		writesPerSecond: perSecond('writes'),
		peerBytesPerSecond: perSecond('peerBytes'),
		platformBytesPerSecond: perSecond('platformBytes'),
		medianMs: Math.round(latencies[Math.floor(latencies.length / 2)] ?? 0),
		longestMs: Math.round(latencies.at(-1) ?? 0),
	};
}

let settingsVersion = 1;

async function applyChange(entry: EntryProcess): Promise<number> {
	const startedAt = clock.readMonotonic();
	const {status} = await entry.callOperator('PUT', '/v1/settings', {changeId: `bench-${settingsVersion}`, baseVersion: settingsVersion, tree: createTree(1 + (settingsVersion % 2))});
	if (status !== 200) {
		throw new Error(`settings change from version ${settingsVersion} failed with status ${status}`);
	}

	settingsVersion++;
	return clock.readMonotonic() - startedAt;
}

async function applyChangesAtRate(cluster: Cluster, seconds: number, rate: number): Promise<number[]> {
	const latencies: number[] = [];
	const startedAt = clock.readMonotonic();
	while (clock.readMonotonic() - startedAt < seconds * 1000) {
		latencies.push(await applyChange(cluster.entries[latencies.length % cluster.entries.length]!));
		await clock.sleep(Math.max(0, startedAt + (latencies.length * 1000 / rate) - clock.readMonotonic()));
	}

	return latencies;
}

export async function runBench(args: readonly string[]): Promise<void> {
	const {values} = parseArgs({args: [...args], options: {seconds: {type: 'string', default: '20'}, entries: {type: 'string', default: '9'}, rate: {type: 'string', default: '2'}}});
	const seconds = Number(values.seconds);
	const cluster = await Cluster.create({
		tree: createTree(1), workers: {}, entries: Number(values.entries), hasRelays: true,
	});
	try {
		await waitUntil(async () => {
			const {body} = await cluster.entries[0]!.callOperator<{isMembershipSettled: boolean; members: Array<{isLive: boolean}>}>('GET', '/v1/status');
			return body.isMembershipSettled && body.members.filter(({isLive}) => isLive).length === cluster.entries.length;
		}, 60_000);
		const rows = [
			await measureLoad('quiet', cluster, async () => {
				await clock.sleep(seconds * 1000);
				return [];
			}),
			await measureLoad('6,300 a day', cluster, async () => applyChangesAtRate(cluster, seconds, 6300 / 86_400)),
			await measureLoad(`${values.rate} a second`, cluster, async () => applyChangesAtRate(cluster, seconds, Number(values.rate))),
		];
		console.table(rows);
	} finally {
		await cluster.close();
	}
}
