/**
 * `npm run bench -- slots [--seed N] [--service-ms N] [--seconds N]`: waiting time, idle slots and messages of each strategy for sharing
 * slots among 9 entries.
 */
import {parseArgs} from 'node:util';
import {FairStrategy} from './scheduler-strategies.js';
import {
	SlotSimulation, computeQuantile, generateRequests, listWaitTimes, printTable, runSimulation, type ArrivalPattern, type SlotSimulationResult, type SlotStrategy,
} from './slot-simulations.js';
import {
	PeriodicLoans, IdealCentralQueue, LocalLeastInFlight, PowerOfTwoChoices,
} from './slot-strategies.js';

/** Slots per pool at the current size of the deployments. */
const poolSlots = 64;
const burstMs = 4000;
/** Load during a burst, relative to the pool's capacity. */
const burstLoad = 1.3;
const burstFactor = 5;
const troughFactor = 1 / 20;

export type SlotRunOptions = {readonly seed: number; readonly meanServiceMs: number; readonly durationMs: number};

/** Plans arrivals whose rate rises, pool by pool in turn, to five times the mean, above the pool's capacity, and otherwise drops to a twentieth. */
export function planLoadSwings(simulation: SlotSimulation, meanServiceMs: number): ArrivalPattern[] {
	const meanRate = burstLoad * poolSlots * 1000 / meanServiceMs / burstFactor;
	return simulation.pools.map((pool, index) => ({
		group: pool.name,
		pool: pool.name,
		workClass: 'interactive',
		callers: ['caller-1'],
		readRate: at => meanRate * (Math.floor(at / burstMs) % simulation.pools.length === index ? burstFactor : troughFactor),
		maxRate: meanRate * burstFactor,
		meanServiceMs,
	}));
}

/** Simulates one strategy under the swinging load. */
export async function runLoadSwings(createStrategy: (simulation: SlotSimulation) => SlotStrategy, {seed, meanServiceMs, durationMs}: SlotRunOptions): Promise<SlotSimulationResult & {name: string}> {
	const simulation = new SlotSimulation({seed});
	const requests = generateRequests(simulation, planLoadSwings(simulation, meanServiceMs), durationMs);
	const strategy = createStrategy(simulation);
	return {name: strategy.name, ...await runSimulation(simulation, strategy, requests, {durationMs, drainMs: 30_000})};
}

export async function runBench(args: readonly string[]): Promise<void> {
	const {values} = parseArgs({
		args: [...args],
		options: {seed: {type: 'string', default: '1'}, 'service-ms': {type: 'string', default: '200'}, seconds: {type: 'string', default: '60'}},
	});
	const options = {seed: Number(values.seed), meanServiceMs: Number(values['service-ms']), durationMs: Number(values.seconds) * 1000};
	const strategies: Array<(simulation: SlotSimulation) => SlotStrategy> = [
		simulation => new IdealCentralQueue(simulation),
		simulation => new LocalLeastInFlight(simulation),
		simulation => new PowerOfTwoChoices(simulation, 100),
		simulation => new PowerOfTwoChoices(simulation, 20),
		simulation => new PeriodicLoans(simulation, 100),
		simulation => new PeriodicLoans(simulation, 20),
		simulation => new FairStrategy(simulation, {seed: options.seed}),
	];
	const rows: Array<Record<string, string | number>> = [];
	let ideal: {p50: number; p99: number} | undefined;
	for (const createStrategy of strategies) {
		const result = await runLoadSwings(createStrategy, options);
		const waits = listWaitTimes(result.requests);
		const [p50, p99] = [computeQuantile(waits, 0.5), computeQuantile(waits, 0.99)];
		ideal ??= {p50, p99};
		rows.push({
			way: result.name,
			started: `${waits.length}/${result.requests.length}`,
			'p50 ms': p50.toFixed(1),
			'p99 ms': p99.toFixed(1),
			'p50 / ideal': (p50 / ideal.p50).toFixed(2),
			'p99 / ideal': (p99 / ideal.p99).toFixed(2),
			'idle while waiting': `${(100 * result.idleFraction).toFixed(1)} %`,
			'most in flight on a worker': result.maxInFlight,
			'messages a second': result.messagesPerSecond.toFixed(0),
			'bytes a second and entry': result.bytesPerEntrySecond.toFixed(0),
		});
	}

	console.log(`seed ${options.seed}, mean service ${options.meanServiceMs} ms, ${options.durationMs / 1000} s`);
	printTable(rows);
}
