/**
 * `npm run bench -- capacity`: resource use of idle entries, without requests in flight, as the fleet and the number of entries grow.
 */
import {parseArgs} from 'node:util';
import {setTimeout as delay} from 'node:timers/promises';
import {type SettingsTree} from '@tamarackwind/settings';
import {Cluster, createWorkerRecord} from './clusters.js';
import {readMetric} from './metric-readers.js';
import {waitUntil, type EntryProcess} from './entry-processes.js';

type DeploymentSize = {readonly workers: number; readonly pools: number; readonly callers: number; readonly entries: number};

const sizes: readonly DeploymentSize[] = [
	{
		workers: 590, pools: 23, callers: 16, entries: 3,
	},
	{
		workers: 1175, pools: 46, callers: 32, entries: 3,
	},
	{
		workers: 2350, pools: 92, callers: 65, entries: 3,
	},
	{
		workers: 4700, pools: 185, callers: 130, entries: 3,
	},
	{
		workers: 1175, pools: 46, callers: 32, entries: 6,
	},
	{
		workers: 1175, pools: 46, callers: 32, entries: 9,
	},
	{
		workers: 1175, pools: 46, callers: 32, entries: 12,
	},
];
const settleMs = 4000;
const firstDeadlineMs = 30_000;
const laterDeadlineMs = 29_000;
const readyTimeoutMs = 120_000;
const mebibyte = 1024 * 1024;

function createTree({pools, callers}: DeploymentSize, deadlineMs: number): SettingsTree {
	const names = Array.from({length: pools}, (_, index) => `pool-${index + 1}`);
	const ids = Array.from({length: callers}, (_, index) => `caller-${index + 1}`);
	return {
		service: {deadlineMs},
		deployments: {
			fixture: {
				pools: Object.fromEntries(names.map(name => [name, {budget: {maxUnavailable: 2}, services: {[name]: {maxAttempts: 2}}}])),
				callers: Object.fromEntries(ids.map(id => [id, {tokenHashes: [`sha256:${'0'.repeat(64)}`], team: id}])),
				teams: Object.fromEntries(ids.map(id => [id, {cores: 100, memoryMb: 100_000, accelerators: 0}])),
			},
		},
	};
}

/** Applies the tree through the operator API, because a deployment's initial tree is stored in the row that entries poll. */
async function applyTree(entry: EntryProcess, tree: SettingsTree): Promise<void> {
	const {status, body} = await entry.callOperator('PUT', '/v1/settings', {changeId: 'capacity', baseVersion: 1, tree});
	if (status >= 300) {
		throw new Error(`settings change was rejected: ${JSON.stringify(body)}`);
	}
}

type ResourceUsage = {readonly cpu: number; readonly peerBytes: number; readonly platformBytes: number; readonly reads: number; readonly writes: number};

async function readResourceUsage({entries, platform}: Cluster): Promise<ResourceUsage> {
	const sumMetric = async (name: string): Promise<number> => {
		let sum = 0;
		for (const entry of entries) {
			sum += await readMetric(entry, name);
		}

		return sum;
	};

	return {
		cpu: await sumMetric('process_cpu_seconds_total'),
		peerBytes: await sumMetric('tamarackwind_peer_sent_bytes_total') + await sumMetric('tamarackwind_peer_received_bytes_total'),
		platformBytes: platform.bytes,
		...platform.tables.counts,
	};
}

async function measureSize(size: DeploymentSize, durationMs: number): Promise<Record<string, number>> {
	const cluster = await Cluster.create({tree: createTree(size, firstDeadlineMs), workers: {}, entries: size.entries});
	try {
		const perPool = Math.ceil(size.workers / size.pools);
		cluster.platform.putVms(Array.from({length: size.workers}, (_, index) => createWorkerRecord(`pool-${Math.floor(index / perPool) + 1}`, index % perPool, 1)));
		await waitUntil(async () => (await cluster.platform.tables.listRows('vms')).length >= size.workers, readyTimeoutMs);
		await applyTree(cluster.entries[0]!, createTree(size, laterDeadlineMs));
		await delay(settleMs);
		const before = await readResourceUsage(cluster);
		await delay(durationMs);
		const after = await readResourceUsage(cluster);
		const seconds = durationMs / 1000;
		const perEntry = (key: keyof ResourceUsage): number => (after[key] - before[key]) / seconds / size.entries;
		const memory = await readMetric(cluster.entries[0]!, 'process_resident_memory_bytes');
		const heap = await readMetric(cluster.entries[0]!, 'nodejs_heap_size_used_bytes');
		return {
			...size,
			'core %': round(perEntry('cpu') * 100),
			'resident MiB': round(memory / mebibyte),
			'heap MiB': round(heap / mebibyte),
			'peer bytes a second': Math.round(perEntry('peerBytes')),
			'platform bytes a second': Math.round(perEntry('platformBytes')),
			'rows read a second': round(perEntry('reads') * size.entries),
			'commits a second': round(perEntry('writes') * size.entries),
		};
	} finally {
		await cluster.close();
	}
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}

/** Runs the bench; `--seconds` sets the length of each measurement. */
export async function runBench(args: readonly string[]): Promise<void> {
	const {values} = parseArgs({args: [...args], options: {seconds: {type: 'string', default: '10'}}});
	const rows: Array<Record<string, number>> = [];
	for (const size of sizes) {
		rows.push(await measureSize(size, Number(values.seconds) * 1000));
		console.log(JSON.stringify(rows.at(-1)));
	}

	console.table(rows);
}
