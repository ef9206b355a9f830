/**
 * `npm run bench -- claims [--seconds S]`: the cost of claims, one transaction each against batches, on a table service
 * that takes a few milliseconds for each transaction.
 */
import {createHistogram} from 'node:perf_hooks';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {
	SystemClock, SystemRandom, type EntryId,
} from '@tamarackwind/core';
import {ClaimStore, RowBatcher, hashParts} from '@tamarackwind/entry';
import {HttpObjectStore, HttpTableService, PlatformConnection} from '@tamarackwind/clients';
import {PlatformStandIn} from './platforms.js';

const entryCount = 9;
const serviceDelayMs = 3;
const patienceMs = 10_000;
const clock = SystemClock.create();
const random = SystemRandom.create();

type Way = {readonly name: string; readonly intervalMs: number; readonly endIntervalMs: number; readonly maxRows: number};

const ways: readonly Way[] = [
	{
		name: 'one insert a request', intervalMs: 0, endIntervalMs: 0, maxRows: 1,
	},
	{
		name: 'claims 5, ends 5 ms', intervalMs: 5, endIntervalMs: 5, maxRows: 128,
	},
	{
		name: 'claims 25, ends 25 ms', intervalMs: 25, endIntervalMs: 25, maxRows: 128,
	},
	{
		name: 'claims 25, ends 100 ms', intervalMs: 25, endIntervalMs: 100, maxRows: 128,
	},
	{
		name: 'claims 50, ends 100 ms', intervalMs: 50, endIntervalMs: 100, maxRows: 128,
	},
];

const rates = [20, 200, 1000];

type Row = Readonly<Record<string, string | number>>;

/** Sends keyed requests at a steady rate over all entries and measures their claims. */
async function measureWay(way: Way, rate: number, seconds: number): Promise<Row> {
	const standIn = await PlatformStandIn.create();
	standIn.setFaults({tables: {delayMs: serviceDelayMs}});
	const connections = Array.from({length: entryCount}, () => PlatformConnection.create({url: standIn.url}));
	const stores = connections.map((connection, index) => createStore(connection, index, way));
	const latency = createHistogram();
	const startedAt = clock.readMonotonic();
	const pending: Array<Promise<boolean>> = [];
	while (pending.length < rate * seconds) {
		const due = Math.min(rate * seconds, ((clock.readMonotonic() - startedAt) * rate) / 1000);
		while (pending.length < due) {
			pending.push(measureClaim(stores[pending.length % entryCount]!, latency));
		}

		await clock.sleep(1);
	}

	const failed = (await Promise.all(pending)).filter(isClaimed => !isClaimed).length;
	while (stores.some(store => store.pendingWrites > 0)) {
		await clock.sleep(5);
	}

	const elapsed = (clock.readMonotonic() - startedAt) / 1000;
	const {writes} = standIn.tables.counts;
	await Promise.all(connections.map(async connection => connection.close()));
	await standIn.close();
	return {
		way: way.name,
		'requests a second': Math.round(pending.length / elapsed),
		'rows a second': Math.round((pending.length * 2) / elapsed),
		'transactions a second': Math.round(writes / elapsed),
		'claim p50 ms': (latency.percentile(50) / 1e6).toFixed(1),
		'claim p99 ms': (latency.percentile(99) / 1e6).toFixed(1),
		failed,
	};
}

function createStore(connection: PlatformConnection, index: number, {intervalMs, endIntervalMs, maxRows}: Way): ClaimStore {
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
			clock, tables, intervalMs: endIntervalMs, maxRows, maxCommitsInFlight,
		}),
	});
}

async function measureClaim(store: ClaimStore, latency: ReturnType<typeof createHistogram>): Promise<boolean> {
	const startedAt = process.hrtime.bigint();
	const until = clock.readMonotonic() + patienceMs;
	const outcome = await store.claim({
		claimKey: hashParts(random.createToken()),
		headHash: hashParts('POST', '/redraw'),
		bodyHash: hashParts('body'),
		retentionMs: 60_000,
		attempt: undefined,
		provenAttempt: undefined,
		mayAcquire: true,
		tableDeadlineAt: until,
		claimDeadlineAt: until,
		signal: new AbortController().signal,
	});
	latency.record(process.hrtime.bigint() - startedAt);
	if (outcome.status !== 'claimed') {
		return false;
	}

	store.finish(outcome.claim, undefined, {status: 200, headers: {}, body: Buffer.from('answer')});
	return true;
}

/** Runs the bench and prints its table. */
export async function runBench(args: readonly string[]): Promise<void> {
	const {values} = parseArgs({args: [...args], options: {seconds: {type: 'string', default: '4'}}});
	const rows: Row[] = [];
	for (const rate of rates) {
		for (const way of ways) {
			rows.push(await measureWay(way, rate, Number(values.seconds)));
		}
	}

	console.table(rows);
}
