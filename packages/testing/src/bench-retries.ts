/**
 * `npm run bench -- retries [--seed N] [--seconds N]`: attempts per request and served requests while workers fail all requests, for the
 * fair and the naive scheduler.
 */
import {parseArgs} from 'node:util';
import {type CallerId} from '@tamarackwind/core';
import {FairStrategy, NaiveStrategy, type SchedulerStrategy} from './scheduler-strategies.js';
import {
	SlotSimulation, generateRequests, printTable, runSimulation, type SimulatedRequest,
} from './slot-simulations.js';

const poolSlots = 64;
const meanServiceMs = 200;
const load = 0.5;
const callerCount = 20;
const poisonCaller = 'poison' as CallerId;

export type Outage = {
	readonly name: string;
	/** Number of workers of the pool that fail every request. */
	readonly failingWorkers: number;
	/** Fraction of the requests that fail on every worker. */
	readonly poisonFraction?: number;
};

export type OutageOptions = {
	readonly seed: number;
	readonly durationMs: number;
	/** Time at which the workers begin to fail, in milliseconds. */
	readonly failAtMs: number;
	/** Time at which the workers recover, in milliseconds; never if absent. */
	readonly recoverAtMs?: number;
};

export type OutageResult = {
	readonly name: string;
	readonly requests: readonly SimulatedRequest[];
	/** Requests that arrived during the outage. */
	readonly outageRequests: readonly SimulatedRequest[];
	/** Failed attempts on failing workers, counted from 3 s after the workers began to fail. */
	readonly failuresAfterSettling: number;
	/** Maximum number of workers that any entry set aside. */
	readonly maxSetAside: number;
	/** Requests that each worker started in the last second of the run. */
	readonly finalSecondStarts: readonly number[];
};

export const failureSettlingMs = 3000;
const sampleIntervalMs = 250;

async function countSetAside(strategy: SchedulerStrategy): Promise<number> {
	if (!(strategy instanceof FairStrategy)) {
		return 0;
	}

	const counts = await Promise.all(strategy.registries.map(async registry => {
		const metric = await registry.getSingleMetric('tamarackwind_workers_set_aside')!.get();
		return metric.values[0]?.value ?? 0;
	}));
	return Math.max(...counts);
}

/** Runs a pool at half its capacity while some of its workers fail. */
export async function runOutage(createStrategy: (simulation: SlotSimulation) => SchedulerStrategy, outage: Outage, options: OutageOptions): Promise<OutageResult> {
	const {seed, durationMs, failAtMs, recoverAtMs = Number.POSITIVE_INFINITY} = options;
	const simulation = new SlotSimulation({seed, pools: 1});
	const {clock} = simulation;
	const pool = simulation.pools[0]!.name;
	const workers = simulation.workers.get(pool)!;
	const rate = load * poolSlots * 1000 / meanServiceMs;
	const drawnRequests = generateRequests(simulation, [{
		group: 'baseline', pool, workClass: 'interactive', callers: Array.from({length: callerCount}, (_, index) => `caller-${index + 1}`), readRate: () => rate, maxRate: rate, meanServiceMs,
	}], durationMs);
	const requests = drawnRequests.map(request => {
		const isPoison = simulation.random.readFraction() < (outage.poisonFraction ?? 0);
		return isPoison ? {...request, caller: poisonCaller, isPoison} : request;
	});
	const strategy = createStrategy(simulation);
	const failing = workers.slice(0, outage.failingWorkers);
	const countFailures = (): number => failing.reduce((sum, worker) => sum + worker.failures, 0);
	let [failuresBeforeSettling, failuresAfterSettling, maxSetAside] = [0, 0, 0];
	let startsBefore: number[] = [];
	const setFailing = (isFailing: boolean): void => {
		for (const worker of failing) {
			worker.isFailing = isFailing;
		}
	};

	const sampleSetAside = async (): Promise<void> => {
		maxSetAside = Math.max(maxSetAside, await countSetAside(strategy));
		clock.schedule(sampleIntervalMs, () => {
			void sampleSetAside();
		});
	};

	void sampleSetAside();
	clock.schedule(failAtMs, () => {
		setFailing(true);
	});
	clock.schedule(failAtMs + failureSettlingMs, () => {
		failuresBeforeSettling = countFailures();
	});
	clock.schedule(durationMs - 1000, () => {
		startsBefore = workers.map(worker => worker.starts);
	});
	clock.schedule(durationMs, () => {
		failuresAfterSettling = countFailures() - failuresBeforeSettling;
	});
	if (recoverAtMs < durationMs) {
		clock.schedule(recoverAtMs, () => {
			setFailing(false);
		});
	}

	const result = await runSimulation(simulation, strategy, requests, {durationMs, drainMs: 30_000});
	return {
		name: strategy.name,
		requests: result.requests,
		outageRequests: result.requests.filter(request => request.arrivedAt >= failAtMs && request.arrivedAt < recoverAtMs),
		failuresAfterSettling,
		maxSetAside,
		finalSecondStarts: workers.map((worker, index) => worker.starts - startsBefore[index]!),
	};
}

/** Computes the mean attempts per request over the requests with at least one attempt. */
export function computeMeanAttempts(requests: readonly SimulatedRequest[]): number {
	const attempted = requests.filter(request => request.attempts > 0);
	return attempted.reduce((sum, request) => sum + request.attempts, 0) / Math.max(1, attempted.length);
}

export async function runBench(args: readonly string[]): Promise<void> {
	const {values} = parseArgs({
		args: [...args],
		options: {seed: {type: 'string', default: '1'}, seconds: {type: 'string', default: '20'}},
	});
	const failAtMs = 5000;
	const seed = Number(values.seed);
	const options: OutageOptions = {seed, durationMs: failAtMs + (Number(values.seconds) * 1000), failAtMs};
	const outages: Outage[] = [
		{name: 'none', failingWorkers: 0},
		{name: 'one worker of 8', failingWorkers: 1},
		{name: 'two workers of 8', failingWorkers: 2},
		{name: 'four workers of 8', failingWorkers: 4},
		{name: 'all workers', failingWorkers: 8},
		{name: 'a tenth of the requests fail on any worker', failingWorkers: 0, poisonFraction: 0.1},
	];
	const rows: Array<Record<string, string | number>> = [];
	for (const outage of outages) {
		for (const createStrategy of [(simulation: SlotSimulation) => new NaiveStrategy(simulation, {seed}), (simulation: SlotSimulation) => new FairStrategy(simulation, {seed})]) {
			const result = await runOutage(createStrategy, outage, options);
			const healthyRequests = result.outageRequests.filter(request => request.caller !== poisonCaller);
			const servedCount = healthyRequests.filter(request => request.finishedAt !== undefined).length;
			rows.push({
				outage: outage.name,
				scheduler: result.name === 'naive' ? 'naive' : 'fair',
				'attempts a request': computeMeanAttempts(result.outageRequests).toFixed(3),
				'good requests served': `${(100 * servedCount / healthyRequests.length).toFixed(1)} %`,
				'failures after 3 s': result.failuresAfterSettling,
				'most set aside': result.maxSetAside,
			});
		}
	}

	console.log(`seed ${seed}, 64 slots at half load, ${values.seconds} s of outage`);
	printTable(rows);
}
