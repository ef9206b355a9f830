/**
 * `npm run bench -- overhead`: latency and CPU time that an entry adds to a request, compared with direct requests and with a minimal
 * forwarder.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {parseArgs} from 'node:util';
import {request} from 'undici';
import {createWorkerRecord} from './clusters.js';
import {runLoad, type LoadResult} from './load-generators.js';
import {readMetric} from './metric-readers.js';
import {FakePlatform} from './fake-platforms.js';
import {EntryProcess, createEntryConfig, waitUntil} from './entry-processes.js';

type Target = {
	readonly name: string;
	readonly url: string;
	/** Returns the CPU time used so far, in seconds; absent for the upstream itself. */
	readonly readCpu?: () => Promise<number>;
};

type Row = Readonly<Record<string, string | number>>;

const warmUpMs = 1000;
const threads = 2;

async function startServer(module: string, args: readonly string[]): Promise<{child: ChildProcess; url: string}> {
	const child = spawn(process.execPath, [fileURLToPath(new URL(module, import.meta.url)), ...args], {stdio: ['ignore', 'pipe', 'inherit']});
	const [port] = await once(createInterface(child.stdout), 'line') as [string];
	return {child, url: `http://127.0.0.1:${port}`};
}

async function readForwarderCpu(url: string): Promise<number> {
	const response = await request(`${url}/cpu`);
	const {user, system} = await response.body.json() as {user: number; system: number};
	return (user + system) / 1_000_000;
}

async function measureTarget(target: Target, load: {readonly path: string; readonly connections: number; readonly durationMs: number; readonly rate?: number}): Promise<{result: LoadResult; cpuMs: number | undefined}> {
	const loadOptions = {...load, url: target.url, threads};
	await runLoad({...loadOptions, durationMs: warmUpMs});
	const before = await target.readCpu?.();
	const result = await runLoad(loadOptions);
	const after = await target.readCpu?.();
	return {result, cpuMs: before === undefined || after === undefined ? undefined : ((after - before) * 1000) / result.requests};
}

function createRow(target: Target, label: string, {result, cpuMs}: {result: LoadResult; cpuMs: number | undefined}): Row {
	const toMs = (us: number): string => (us / 1000).toFixed(2);
	return {
		target: target.name,
		load: label,
		'requests a second': Math.round((result.requests * 1000) / result.durationMs),
		'p50 ms': toMs(result.latency.getValueAtPercentile(50)),
		'p99 ms': toMs(result.latency.getValueAtPercentile(99)),
		'cpu ms/request': cpuMs?.toFixed(3) ?? '-',
		failures: result.failures,
	};
}

/** Runs the bench; `--seconds` sets the length of each load. */
export async function runBench(args: readonly string[]): Promise<void> {
	const {values} = parseArgs({args: [...args], options: {seconds: {type: 'string', default: '4'}}});
	const durationMs = Number(values.seconds) * 1000;
	const upstream = await startServer('byte-upstreams.js', []);
	const forwarder = await startServer('forwarders.js', [upstream.url]);
	const platform = await FakePlatform.create();
	const port = Number(new URL(upstream.url).port);
	platform.putVms(Array.from({length: 8}, (_, index) => createWorkerRecord('north', index, port)));
	const pool = {slotsPerVm: 512, connectionsPerVm: 512, services: {bytes: {}}};
	await platform.tables.commit({checks: [], writes: [{table: 'settings', key: 'current', value: {version: 1, tree: {deployments: {fixture: {pools: {north: pool}}}}}}]});
	const entry = await EntryProcess.create(createEntryConfig('entry-1', platform.url));
	await waitUntil(async () => entry.isReady());
	const targets: Target[] = [
		{name: 'direct', url: upstream.url},
		{name: 'bare forwarder', url: forwarder.url, readCpu: async () => readForwarderCpu(forwarder.url)},
		{name: 'entry', url: entry.getUrl('caller'), readCpu: async () => readMetric(entry, 'process_cpu_seconds_total')},
	];
	try {
		await measureTargets(targets, durationMs);
	} finally {
		await entry.close();
		await platform.close();
		upstream.child.kill('SIGTERM');
		forwarder.child.kill('SIGTERM');
	}
}

async function measureTargets(targets: readonly Target[], durationMs: number): Promise<void> {
	const rows: Row[] = [];
	for (const size of [1024, 1024 * 1024]) {
		for (const connections of [64, 512]) {
			const label = `${size === 1024 ? '1 KiB' : '1 MiB'}, ${connections} connections`;
			for (const target of targets) {
				const load = {path: target.name === 'direct' ? `/bytes/${size}` : `/bytes/bytes/${size}`, connections, durationMs};
				rows.push(createRow(target, `${label}, saturated`, await measureTarget(target, load)));
			}
		}

		const saturatedRate = Number(rows.findLast(row => row.target === 'entry' && String(row.load).includes('64'))!['requests a second']);
		for (const target of targets) {
			const load = {
				path: target.name === 'direct' ? `/bytes/${size}` : `/bytes/bytes/${size}`, connections: 64, durationMs, rate: saturatedRate / 2,
			};
			rows.push(createRow(target, `${size === 1024 ? '1 KiB' : '1 MiB'}, half of the entry's saturation`, await measureTarget(target, load)));
		}
	}

	console.table(rows);
}
