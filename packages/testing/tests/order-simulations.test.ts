import {DeadlineOrder, LeastCostOrder, type JobOrder} from '@tamarackwind/scheduling';
import test from 'ava';
import {
	computeOutcome, EarliestDeadlineOrder, shortKinds, simulateOrder, type OrderScenario,
} from '../src/index.js';

const seeds = [1, 2];
const cycles = 2;
const mixedKinds = shortKinds.flatMap(kind => [500, 1000, 4000].map(cpu => ({...kind, cpu})));

function computeInTimeShare(order: JobOrder, options: Omit<OrderScenario, 'seed' | 'cycles'>): number {
	return computeOutcome(seeds.flatMap(seed => simulateOrder(order, {seed, cycles, ...options}))).inTimeShare;
}

type Case = {
	readonly name: string;
	readonly options: Omit<OrderScenario, 'seed' | 'cycles'>;
	/** Smallest gain of the least cost over today's order, in shares of all jobs. */
	readonly minGain: number;
};

// Guards against an order that serves fewer callers in time than the one it replaces.
const cases: readonly Case[] = [
	{name: 'within the capacity', options: {burstLoad: 0.9}, minGain: 0},
	{name: 'of twice the capacity with jobs of one CPU', options: {burstLoad: 2}, minGain: -0.005},
	{name: 'of three times the capacity with jobs of one CPU', options: {burstLoad: 3}, minGain: -0.005},
	{name: 'of twice the capacity with jobs of different CPU', options: {burstLoad: 2, kinds: mixedKinds}, minGain: 0.005},
	{name: 'of three times the capacity with jobs of different CPU', options: {burstLoad: 3, kinds: mixedKinds}, minGain: 0.005},
	{name: 'of twice the capacity with workers of different speed', options: {burstLoad: 2, kinds: mixedKinds, speedSpread: 0.4}, minGain: 0.005},
];

for (const {name, options, minGain} of cases) {
	test(`orders: in bursts ${name}, the least cost serves at least as many callers in time`, t => {
		const [today, leastCost] = [computeInTimeShare(DeadlineOrder.create(), options), computeInTimeShare(LeastCostOrder.create(), options)];
		t.true(leastCost >= today + minGain, `${leastCost} against ${today}`);
	});
}

test('orders: in bursts beyond the capacity, today\'s order serves more callers in time than the deadlines alone', t => {
	t.true(computeInTimeShare(DeadlineOrder.create(), {burstLoad: 2}) > computeInTimeShare(new EarliestDeadlineOrder(), {burstLoad: 2}));
});

// Guards against refusals of jobs that would have had a value.
test('orders: jobs are refused only where some would end after three times their objective', t => {
	const options = {burstLoad: 3, isRefusing: true};
	for (const order of [DeadlineOrder.create(), LeastCostOrder.create()]) {
		const {refusedShare, valueShare} = computeOutcome(simulateOrder(order, {seed: 1, cycles, ...options}));
		t.is(refusedShare, 0);
		t.is(valueShare, 1);
	}
});
