/**
 * `npm run bench -- order [--seeds N] [--cycles N]`: share of jobs in time by kind and longest wait under each order of jobs, for one pool in
 * bursts of 5 s.
 */
import {parseArgs} from 'node:util';
import {DeadlineOrder, LeastCostOrder, type JobOrder} from '@tamarackwind/scheduling';
import {
	computeOutcome, EarliestDeadlineOrder, LeastSlackOrder, shortKinds, ShortestWorkOrder, simulateOrder, type JobKind, type OrderScenario,
} from './order-simulations.js';
import {printTable} from './slot-simulations.js';

type Way = {readonly name: string; readonly order: JobOrder; readonly options?: Partial<OrderScenario>};

const ways: readonly Way[] = [
	{name: 'today (timeliness, priority, deadline)', order: DeadlineOrder.create()},
	{name: 'earliest deadline', order: new EarliestDeadlineOrder()},
	{name: 'shortest remaining work', order: new ShortestWorkOrder()},
	{name: 'least slack', order: new LeastSlackOrder()},
	{name: 'least cost', order: LeastCostOrder.create()},
	{name: 'least cost, overtaken without limit', order: LeastCostOrder.create(), options: {maxOvertakes: Number.POSITIVE_INFINITY}},
	{name: 'today, with refusal', order: DeadlineOrder.create(), options: {isRefusing: true}},
	{name: 'least cost, with refusal', order: LeastCostOrder.create(), options: {isRefusing: true}},
];

const uniformKinds: readonly JobKind[] = [{
	name: 'same', taskMs: 1000, cpu: 1000, twoStepShare: 1,
}];

/** Kinds whose jobs of one deadline ask for different work. */
const mixedKinds = shortKinds.flatMap(kind => [500, 1000, 4000].map(cpu => ({...kind, cpu})));

const scenarios: ReadonlyArray<{readonly name: string; readonly options: Omit<OrderScenario, 'seed' | 'cycles'>}> = [
	...[0.9, 1.3, 2, 3].map(burstLoad => ({name: `burst of ${burstLoad} times the pool, tasks of one core`, options: {burstLoad}})),
	...[1.3, 2, 3, 4].map(burstLoad => ({name: `burst of ${burstLoad} times the pool, tasks of 0.5, 1 and 4 cores`, options: {burstLoad, kinds: mixedKinds}})),
	{name: 'burst of 2 times the pool, tasks of one core, workers of 0.6 to 1.4 times the speed', options: {burstLoad: 2, speedSpread: 0.4}},
	{name: 'burst of 2 times the pool, tasks of 0.5, 1 and 4 cores, workers of 0.6 to 1.4 times the speed', options: {burstLoad: 2, kinds: mixedKinds, speedSpread: 0.4}},
	{name: 'burst of 2 times the pool, all jobs of one size', options: {burstLoad: 2, kinds: uniformKinds}},
];

/** Groups of kinds that have a column each: kinds of one name, and those of one CPU where it differs. */
function listGroups(kinds: readonly JobKind[]): Array<{readonly name: string; readonly kinds: ReadonlySet<JobKind>}> {
	const names = [...new Set(kinds.map(({name}) => name))].map(name => ({name, kinds: new Set(kinds.filter(kind => kind.name === name))}));
	const cpus = [...new Set(kinds.map(({cpu}) => cpu))];
	return [...names, ...(cpus.length === 1 ? [] : cpus.map(cpu => ({name: `${cpu / 1000} cores`, kinds: new Set(kinds.filter(kind => kind.cpu === cpu))})))];
}

function formatSeconds(ms: number): string {
	return (ms / 1000).toFixed(1);
}

function formatShare(share: number): string {
	return `${(100 * share).toFixed(1)} %`;
}

export async function runBench(args: readonly string[]): Promise<void> {
	const {values} = parseArgs({args: [...args], options: {seeds: {type: 'string', default: '2'}, cycles: {type: 'string', default: '4'}}});
	const seeds = Array.from({length: Number(values.seeds)}, (_, index) => index + 1);
	for (const {name, options} of scenarios) {
		const groups = listGroups(options.kinds ?? shortKinds);
		const rows = ways.map(way => {
			const jobs = seeds.flatMap(seed => simulateOrder(way.order, {
				seed, cycles: Number(values.cycles), ...options, ...way.options,
			}));
			const all = computeOutcome(jobs);
			return {
				order: way.name,
				'in time': formatShare(all.inTimeShare),
				...Object.fromEntries(groups.map(group => [group.name, formatShare(computeOutcome(jobs.filter(job => group.kinds.has(job.kind))).inTimeShare)])),
				'within 3 x': formatShare(all.valueShare),
				refused: formatShare(all.refusedShare),
				'longest wait s': formatSeconds(all.longestWaitMs),
				'estimate off by s, p50, p90': all.estimateErrorMs.map(ms => formatSeconds(ms)).join(', '),
			};
		});
		console.log(`\n${name}: ${simulateOrder(ways[0]!.order, {seed: 1, cycles: 1, ...options}).length} jobs a burst`);
		printTable(rows);
	}
}
