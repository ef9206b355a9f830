/**
 * `npm run bench -- claims [--seconds S]`: latency and transaction rate of claims, with one transaction per row and in batches, on a
 * table service that takes a few milliseconds per transaction.
 */
import {createHistogram} from 'node:perf_hooks';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {
	SystemClock, SystemRandom, type EntryId,
} from '@tamarackwind/core';
import {ClaimStore, RowBatcher, hashParts} from '@tamarackwind/entry';
import {HttpObjectStore, HttpTableService, PlatformConnection} from '@tamarackwind/clients';
import {FakePlatform} from './fake-platforms.js';

const entryCount = 9;
const tableDelayMs = 3;
const claimTimeoutMs = 10_000;
const clock = SystemClock.create();
const random = SystemRandom.create();

type BatchingMode = {readonly name: string; readonly intervalMs: number; readonly finalStateIntervalMs: number; readonly maxRows: number};

const batchingModes: readonly BatchingMode[] = [
	{
		name: 'one insert per request', intervalMs: 0, finalStateIntervalMs: 0, maxRows: 1,
	},
	{
		name: 'claims 5 ms, final states 5 ms', intervalMs: 5, finalStateIntervalMs: 5, maxRows: 128,
	},
	{
		name: 'claims 25 ms, final states 25 ms', intervalMs: 25, finalStateIntervalMs: 25, maxRows: 128,
	},
	{
		name: 'claims 25 ms, final states 100 ms', intervalMs: 25, finalStateIntervalMs: 100, maxRows: 128,
	},
	{
		name: 'claims 50 ms, final states 100 ms', intervalMs: 50, finalStateIntervalMs: 100, maxRows: 128,
	},
];

const rates = [20, 200, 1000];

type Row = Readonly<Record<string, string | number>>;

/** Claims new idempotency keys at a constant rate over all entries and measures the claims' latency. */
async function measureMode(mode: BatchingMode, rate: number, seconds: number): Promise<Row> {
	const platform = await FakePlatform.create();
	platform.setFaults({tables: {delayMs: tableDelayMs}});
	const connections = Array.from({length: entryCount}, () => PlatformConnection.create({url: platform.url}));
	const stores = connections.map((connection, index) => createStore(connection, index, mode));
	const latency = createHistogram();
	const startedAt = clock.readMonotonic();
	const pending: Array<Promise<boolean>> = [];
	while (pending.length < rate * seconds) {
		const dueCount = Math.min(rate * seconds, ((clock.readMonotonic() - startedAt) * rate) / 1000);
		while (pending.length < dueCount) {
			pending.push(measureClaim(stores[pending.length % entryCount]!, latency));
		}

		await clock.sleep(1);
	}

	const failed = (await Promise.all(pending)).filter(isClaimed => !isClaimed).length;
	while (stores.some(store => store.pendingWrites > 0)) {
		await clock.sleep(5);
	}

	const elapsed = (clock.readMonotonic() - startedAt) / 1000;
	const {writes} = platform.tables.counts;
	await Promise.all(connections.map(async connection => connection.close()));
	await platform.close();
	return {
		way: mode.name,
		'requests a second': Math.round(pending.length / elapsed),
		'rows a second': Math.round((pending.length * 2) / elapsed),
		'transactions a second': Math.round(writes / elapsed),
		'claim p50 ms': (latency.percentile(50) / 1e6).toFixed(1),
		'claim p99 ms': (latency.percentile(99) / 1e6).toFixed(1),
		failed,
	};
}

function createStore(connection: PlatformConnection, index: number, {intervalMs, finalStateIntervalMs, maxRows}: BatchingMode): ClaimStore {
	const maxCommitsInFlight = maxRows === 1 ? 64 : undefined;
	const tables = HttpTableService.create(connection);
	return ClaimStore.create({
		clock,
		random,
		tables,
		objects: HttpObjectStore.create(connection),
		entryId: `entry-${index + 1}` as EntryId,
		batcher: RowBatcher.create({
			clock, tables, intervalMs, maxRows, maxCommitsInFlight,
		}),
		finalStateBatcher: RowBatcher.create({
			clock, tables, intervalMs: finalStateIntervalMs, maxRows, maxCommitsInFlight,
		}),
	});
}

async function measureClaim(store: ClaimStore, latency: ReturnType<typeof createHistogram>): Promise<boolean> {
	const startedAt = process.hrtime.bigint();
	const deadlineAt = clock.readMonotonic() + claimTimeoutMs;
	const outcome = await store.claim({
		claimKey: hashParts(random.createToken()),
		headHash: hashParts('POST', '/redraw'),
		bodyHash: hashParts('body'),
		retentionMs: 60_000,
		attempt: undefined,
		provenAttempt: undefined,
		mayAcquire: true,
		tableDeadlineAt: deadlineAt,
		claimDeadlineAt: deadlineAt,
		signal: new AbortController().signal,
	});
	latency.record(process.hrtime.bigint() - startedAt);
	if (outcome.status !== 'claimed') {
		return false;
	}

	store.finish(outcome.claim, undefined, {status: 200, headers: {}, body: Buffer.from('answer')});
	return true;
}

/** Runs the bench and prints its results. */
export async function runBench(args: readonly string[]): Promise<void> {
	const {values} = parseArgs({args: [...args], options: {seconds: {type: 'string', default: '4'}}});
	const rows: Row[] = [];
	for (const rate of rates) {
		for (const mode of batchingModes) {
			rows.push(await measureMode(mode, rate, Number(values.seconds)));
		}
	}

	console.table(rows);
}
