/**
 * `npm run bench -- flood [--seed N] [--seconds N]`: what each class and caller keeps while one class floods a pool with ten times
 * what it can take, against the same run without the flood, by the fair and the naive scheduler.
 */
import {parseArgs} from 'node:util';
import {workClasses, type WorkClass} from '@tamarackwind/settings';
import {FairWay, NaiveWay, type SchedulerWayOptions} from './fair-ways.js';
import {
	SlotWorld, computeQuantile, drawRequests, listWaits, warmUpMs, printTable, runSimulation, type Arrivals, type RunResult, type SimRequest, type SlotWay,
} from './slot-simulations.js';

const poolSlots = 64;
/** Parts of the pool that the classes use without a flood. */
const usualLoads: Record<WorkClass, number> = {urgent: 0.1, interactive: 0.2, batch: 0.1};
const callersPerClass = 10;
const floodFactor = 10;
const floodGroup = 'flood';
const usualMs = 30_000;

export type Flood = {
	readonly workClass: WorkClass;
	readonly callers: number;
	readonly meanServiceMs?: number;
};

export type FloodOptions = SchedulerWayOptions & {
	readonly durationMs: number;
	/** Time of usual work before the flood, in milliseconds. */
	readonly usualMs: number;
	readonly meanServiceMs: number;
	readonly startWithinMs: number;
};

export type FloodResult = RunResult & {readonly name: string};

function listCallers(prefix: string, count: number): string[] {
	return Array.from({length: count}, (_, index) => `${prefix}-${index + 1}`);
}

function planUsual(world: SlotWorld, {meanServiceMs}: FloodOptions): Arrivals[] {
	return workClasses.map(workClass => {
		const rate = usualLoads[workClass] * poolSlots * 1000 / meanServiceMs;
		return {
			group: workClass, pool: world.pools[0]!.name, workClass, callers: listCallers(workClass, callersPerClass), readRate: () => rate, maxRate: rate, meanServiceMs,
		};
	});
}

function planFlood(world: SlotWorld, flood: Flood, options: FloodOptions): Arrivals {
	const meanServiceMs = flood.meanServiceMs ?? options.meanServiceMs;
	const rate = floodFactor * poolSlots * 1000 / meanServiceMs;
	return {
		group: floodGroup, pool: world.pools[0]!.name, workClass: flood.workClass, callers: listCallers('flood', flood.callers), readRate: () => rate, maxRate: rate, meanServiceMs,
	};
}

/** Runs the usual work, with a flood or without; the usual requests are the same in both. */
export async function runFlood(createWay: (world: SlotWorld) => SlotWay, flood: Flood | undefined, options: FloodOptions): Promise<FloodResult> {
	const world = new SlotWorld({seed: options.seed, pools: 1});
	const usual = drawRequests(world, planUsual(world, options), options.durationMs);
	const added = flood === undefined
		? []
		: drawRequests(world, [planFlood(world, flood, options)], options.durationMs - options.usualMs)
			.map(request => ({...request, arrivedAt: request.arrivedAt + options.usualMs}));
	const way = createWay(world);
	const requests = [...usual, ...added].toSorted((a, b) => a.arrivedAt - b.arrivedAt);
	const result = await runSimulation(world, way, requests, {durationMs: options.durationMs, drainMs: 60_000});
	return {...result, name: way.name, requests: result.requests.filter(request => request.arrivedAt >= options.usualMs + warmUpMs)};
}

/** Counts the requests that started in time, by a key. */
export function countGoodput(requests: readonly SimRequest[], startWithinMs: number, readKey: (request: SimRequest) => string): Map<string, number> {
	const counts = new Map<string, number>();
	for (const request of requests) {
		const isGood = request.finishedAt !== undefined && request.startedAt! - request.arrivedAt <= startWithinMs;
		counts.set(readKey(request), (counts.get(readKey(request)) ?? 0) + (isGood ? 1 : 0));
	}

	return counts;
}

/** The least part of its unflooded goodput that any key keeps. */
export function computeKept(flooded: readonly SimRequest[], usual: readonly SimRequest[], startWithinMs: number, readKey: (request: SimRequest) => string): Map<string, number> {
	const before = countGoodput(usual, startWithinMs, readKey);
	const after = countGoodput(flooded.filter(request => request.group !== floodGroup), startWithinMs, readKey);
	return new Map([...before].map(([key, count]) => [key, (after.get(key) ?? 0) / count]));
}

function formatPart(part: number): string {
	return `${(100 * part).toFixed(1)} %`;
}

async function describeFlood(createWay: (world: SlotWorld) => SlotWay, flood: Flood, options: FloodOptions): Promise<Record<string, string | number>> {
	const usual = await runFlood(createWay, undefined, options);
	const flooded = await runFlood(createWay, flood, options);
	const classes = computeKept(flooded.requests, usual.requests, options.startWithinMs, request => request.workClass);
	const callers = computeKept(flooded.requests, usual.requests, options.startWithinMs, request => request.caller);
	const urgent = flooded.requests.filter(request => request.group === 'urgent');
	const flooding = flooded.requests.filter(request => request.group === floodGroup);
	const served = flooding.filter(request => request.finishedAt !== undefined);
	return {
		scheduler: flooded.name.startsWith('naive') ? 'naive' : 'fair',
		flood: `${flood.workClass}, ${flood.callers} callers${flood.meanServiceMs === undefined ? '' : `, ${flood.meanServiceMs / 1000} s each`}`,
		...Object.fromEntries([...classes].toSorted(([a], [b]) => a.localeCompare(b)).map(([workClass, part]) => [`${workClass} keeps`, formatPart(part)])),
		'worst caller keeps': formatPart(Math.min(...callers.values())),
		'urgent p99 ms': computeQuantile(listWaits(urgent), 0.99).toFixed(0),
		'urgent most ms': computeQuantile(listWaits(urgent), 1).toFixed(0),
		'idle while waiting': formatPart(flooded.idlePart),
		'flood served': `${served.length}/${flooding.length}`,
		'most in flight on a worker': flooded.maxInFlight,
		'bytes/s and entry': flooded.bytesPerEntrySecond.toFixed(0),
	};
}

export async function runBench(args: readonly string[]): Promise<void> {
	const {values} = parseArgs({
		args: [...args],
		options: {seed: {type: 'string', default: '1'}, seconds: {type: 'string', default: '20'}},
	});
	const options: FloodOptions = {
		seed: Number(values.seed), durationMs: usualMs + (Number(values.seconds) * 1000), usualMs, meanServiceMs: 200, startWithinMs: 10_000,
	};
	const floods: Flood[] = [
		...[1, 130].flatMap(callers => workClasses.toReversed().map(workClass => ({workClass, callers}))),
		{workClass: 'batch', callers: 1, meanServiceMs: 20_000},
	];
	const rows: Array<Record<string, string | number>> = [];
	for (const flood of floods) {
		rows.push(
			await describeFlood(world => new NaiveWay(world, options), flood, options),
			await describeFlood(world => new FairWay(world, options), flood, options),
		);
	}

	console.log(`seed ${options.seed}, 64 slots, mean service ${options.meanServiceMs} ms, ${options.usualMs / 1000} s of usual work, ${(options.durationMs - options.usualMs) / 1000} s of flood, start within ${options.startWithinMs / 1000} s`);
	printTable(rows);
}
