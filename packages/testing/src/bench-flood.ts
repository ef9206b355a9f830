/**
 * `npm run bench -- flood [--seed N] [--seconds N]`: goodput that each class and caller retains while one class sends ten times the
 * pool's capacity, relative to the same run without the flood, for the fair and the naive scheduler.
 */
import {parseArgs} from 'node:util';
import {workClasses, type WorkClass} from '@tamarackwind/settings';
import {FairStrategy, NaiveStrategy, type SchedulerStrategyOptions} from './scheduler-strategies.js';
import {
	SlotSimulation, computeQuantile, generateRequests, listWaitTimes, warmUpMs, printTable, runSimulation, type ArrivalPattern, type SlotSimulationResult, type SimulatedRequest, type SlotStrategy,
} from './slot-simulations.js';

const poolSlots = 64;
/** Fraction of the pool's capacity that each class uses without a flood. */
const baselineLoads: Record<WorkClass, number> = {urgent: 0.1, interactive: 0.2, batch: 0.1};
const callersPerClass = 10;
const floodFactor = 10;
const floodGroup = 'flood';
const baselineMs = 30_000;

export type Flood = {
	readonly workClass: WorkClass;
	readonly callers: number;
	readonly meanServiceMs?: number;
};

export type FloodOptions = SchedulerStrategyOptions & {
	readonly durationMs: number;
	/** Duration of the baseline load before the flood, in milliseconds. */
	readonly baselineMs: number;
	readonly meanServiceMs: number;
	readonly startWithinMs: number;
};

export type FloodResult = SlotSimulationResult & {readonly name: string};

function listCallers(prefix: string, count: number): string[] {
	return Array.from({length: count}, (_, index) => `${prefix}-${index + 1}`);
}

function planBaseline(simulation: SlotSimulation, {meanServiceMs}: FloodOptions): ArrivalPattern[] {
	return workClasses.map(workClass => {
		const rate = baselineLoads[workClass] * poolSlots * 1000 / meanServiceMs;
		return {
			group: workClass, pool: simulation.pools[0]!.name, workClass, callers: listCallers(workClass, callersPerClass), readRate: () => rate, maxRate: rate, meanServiceMs,
		};
	});
}

function planFlood(simulation: SlotSimulation, flood: Flood, options: FloodOptions): ArrivalPattern {
	const meanServiceMs = flood.meanServiceMs ?? options.meanServiceMs;
	const rate = floodFactor * poolSlots * 1000 / meanServiceMs;
	return {
		group: floodGroup, pool: simulation.pools[0]!.name, workClass: flood.workClass, callers: listCallers('flood', flood.callers), readRate: () => rate, maxRate: rate, meanServiceMs,
	};
}

/** Runs the baseline load with or without a flood; the baseline requests are the same in both cases. */
export async function runFlood(createStrategy: (simulation: SlotSimulation) => SlotStrategy, flood: Flood | undefined, options: FloodOptions): Promise<FloodResult> {
	const simulation = new SlotSimulation({seed: options.seed, pools: 1});
	const baseline = generateRequests(simulation, planBaseline(simulation, options), options.durationMs);
	const floodRequests = flood === undefined
		? []
		: generateRequests(simulation, [planFlood(simulation, flood, options)], options.durationMs - options.baselineMs)
			.map(request => ({...request, arrivedAt: request.arrivedAt + options.baselineMs}));
	const strategy = createStrategy(simulation);
	const requests = [...baseline, ...floodRequests].toSorted((a, b) => a.arrivedAt - b.arrivedAt);
	const result = await runSimulation(simulation, strategy, requests, {durationMs: options.durationMs, drainMs: 60_000});
	return {...result, name: strategy.name, requests: result.requests.filter(request => request.arrivedAt >= options.baselineMs + warmUpMs)};
}

/** Counts the finished requests that started within the limit, by a key. */
export function computeGoodput(requests: readonly SimulatedRequest[], startWithinMs: number, readKey: (request: SimulatedRequest) => string): Map<string, number> {
	const counts = new Map<string, number>();
	for (const request of requests) {
		const isInTime = request.finishedAt !== undefined && request.startedAt! - request.arrivedAt <= startWithinMs;
		counts.set(readKey(request), (counts.get(readKey(request)) ?? 0) + (isInTime ? 1 : 0));
	}

	return counts;
}

/** Returns, by key, the fraction of the goodput without a flood that remains during the flood. */
export function computeRetainedGoodput(flooded: readonly SimulatedRequest[], baseline: readonly SimulatedRequest[], startWithinMs: number, readKey: (request: SimulatedRequest) => string): Map<string, number> {
	const before = computeGoodput(baseline, startWithinMs, readKey);
	const after = computeGoodput(flooded.filter(request => request.group !== floodGroup), startWithinMs, readKey);
	return new Map([...before].map(([key, count]) => [key, (after.get(key) ?? 0) / count]));
}

const burstSlots = 16;
const burstGapMs = 30_000;
const burstServiceMs = 5000;
const longServiceMs = 20_000;

/** Runs a burst of urgent requests, then a flood of long batch requests with the same burst repeated; returns the second burst and the flood. */
export async function runBursts(createStrategy: (simulation: SlotSimulation) => SlotStrategy, options: FloodOptions): Promise<FloodResult> {
	const simulation = new SlotSimulation({seed: options.seed, pools: 1});
	const firstBurstAt = 1000;
	const floodAt = 2000;
	const durationMs = firstBurstAt + burstGapMs + options.startWithinMs;
	const flood = generateRequests(simulation, [planFlood(simulation, {workClass: 'batch', callers: 1, meanServiceMs: longServiceMs}, options)], durationMs - floodAt)
		.map(request => ({...request, arrivedAt: request.arrivedAt + floodAt}));
	const bursts = [firstBurstAt, firstBurstAt + burstGapMs].flatMap(arrivedAt => Array.from({length: burstSlots}, (_, index): SimulatedRequest => ({
		...flood[0]!, arrivedAt, entry: index % simulation.entryCount, serviceMs: burstServiceMs, workClass: 'urgent', caller: 'urgent-1' as SimulatedRequest['caller'], group: 'urgent',
	})));
	const strategy = createStrategy(simulation);
	const requests = [...flood, ...bursts].toSorted((a, b) => a.arrivedAt - b.arrivedAt);
	const result = await runSimulation(simulation, strategy, requests, {durationMs, drainMs: 60_000});
	return {...result, name: strategy.name, requests: result.requests.filter(request => request.group === floodGroup || request.arrivedAt >= burstGapMs)};
}

function formatFraction(fraction: number): string {
	return `${(100 * fraction).toFixed(1)} %`;
}

async function measureFlood(createStrategy: (simulation: SlotSimulation) => SlotStrategy, flood: Flood, options: FloodOptions): Promise<Record<string, string | number>> {
	const baseline = await runFlood(createStrategy, undefined, options);
	const floodResult = await runFlood(createStrategy, flood, options);
	const classFractions = computeRetainedGoodput(floodResult.requests, baseline.requests, options.startWithinMs, request => request.workClass);
	const callerFractions = computeRetainedGoodput(floodResult.requests, baseline.requests, options.startWithinMs, request => request.caller);
	const urgentRequests = floodResult.requests.filter(request => request.group === 'urgent');
	const floodRequests = floodResult.requests.filter(request => request.group === floodGroup);
	const servedFlood = floodRequests.filter(request => request.finishedAt !== undefined);
	return {
		scheduler: floodResult.name.startsWith('naive') ? 'naive' : 'fair',
		flood: `${flood.workClass}, ${flood.callers} callers${flood.meanServiceMs === undefined ? '' : `, ${flood.meanServiceMs / 1000} s each`}`,
		...Object.fromEntries([...classFractions].toSorted(([a], [b]) => a.localeCompare(b)).map(([workClass, fraction]) => [`${workClass} keeps`, formatFraction(fraction)])),
		'worst caller keeps': formatFraction(Math.min(...callerFractions.values())),
		'urgent p99 ms': computeQuantile(listWaitTimes(urgentRequests), 0.99).toFixed(0),
		'urgent most ms': computeQuantile(listWaitTimes(urgentRequests), 1).toFixed(0),
		'idle while waiting': formatFraction(floodResult.idleFraction),
		'flood served': `${servedFlood.length}/${floodRequests.length}`,
		'most in flight on a worker': floodResult.maxInFlight,
		'bytes/s and entry': floodResult.bytesPerEntrySecond.toFixed(0),
	};
}

export async function runBench(args: readonly string[]): Promise<void> {
	const {values} = parseArgs({
		args: [...args],
		options: {seed: {type: 'string', default: '1'}, seconds: {type: 'string', default: '20'}},
	});
	const options: FloodOptions = {
		seed: Number(values.seed), durationMs: baselineMs + (Number(values.seconds) * 1000), baselineMs, meanServiceMs: 200, startWithinMs: 10_000,
	};
	const floods: Flood[] = [
		...[1, 130].flatMap(callers => workClasses.toReversed().map(workClass => ({workClass, callers}))),
		{workClass: 'batch', callers: 1, meanServiceMs: 20_000},
	];
	const rows: Array<Record<string, string | number>> = [];
	for (const flood of floods) {
		rows.push(
			await measureFlood(simulation => new NaiveStrategy(simulation, options), flood, options),
			await measureFlood(simulation => new FairStrategy(simulation, options), flood, options),
		);
	}

	const bursts = await runBursts(simulation => new FairStrategy(simulation, options), options);
	const burstWaits = listWaitTimes(bursts.requests.filter(request => request.group === 'urgent'));
	console.log(`burst of ${burstSlots} urgent requests of ${burstServiceMs / 1000} s each during a flood of batch requests of ${longServiceMs / 1000} s each, ${burstGapMs / 1000} s after the previous burst:`
		+ ` longest wait ${computeQuantile(burstWaits, 1).toFixed(0)} ms, slots idle while batch requests wait ${formatFraction(bursts.idleFraction)}`);
	console.log(`seed ${options.seed}, 64 slots, mean service ${options.meanServiceMs} ms, ${options.baselineMs / 1000} s of baseline load, ${(options.durationMs - options.baselineMs) / 1000} s of flood, start limit ${options.startWithinMs / 1000} s`);
	printTable(rows);
}
