import test from 'ava';
import fc from 'fast-check';
import {
	addResources, isWithin, isWithinCap, noResources, trimDemand, type CappedStart, type Resources,
} from '../src/index.js';

const none = noResources;
const cpu = (amount: number): Resources => ({cpu: amount, memory: 0, gpu: 0});

type Case = {readonly name: string; readonly isAllowed: boolean} & CappedStart;

const cases: readonly Case[] = [
	{
		name: 'a task that fills the cap', cap: cpu(4000), used: cpu(3000), task: cpu(1000), count: 1, isAllowed: true,
	},
	{
		name: 'a task that exceeds the cap', cap: cpu(4000), used: cpu(3001), task: cpu(1000), count: 1, isAllowed: false,
	},
	{
		name: 'any task without a cap', cap: none, used: cpu(1_000_000), task: cpu(1000), count: 1, isAllowed: true,
	},
	{
		name: 'a task that exceeds a dimension without a limit', cap: cpu(4000), used: {cpu: 0, memory: 90_000, gpu: 3}, task: {cpu: 1000, memory: 10_000, gpu: 1}, count: 1, isAllowed: true,
	},
	{
		name: 'a task that exceeds one of several dimensions', cap: {cpu: 4000, memory: 0, gpu: 1}, used: {cpu: 1000, memory: 0, gpu: 1}, task: {cpu: 1000, memory: 0, gpu: 1}, count: 1, isAllowed: false,
	},
	{
		name: 'a task while the use exceeds a lowered cap', cap: cpu(1000), used: cpu(4000), task: cpu(100), count: 1, isAllowed: false,
	},
	{
		name: 'a gang that fills the cap', cap: cpu(4000), used: cpu(1000), task: cpu(1000), count: 3, isAllowed: true,
	},
	{
		name: 'a gang of which a part exceeds the cap, of an account that uses half of it', cap: cpu(4000), used: cpu(2000), task: cpu(1000), count: 3, isAllowed: false,
	},
	{
		name: 'a gang that exceeds the cap by one task, of an account that uses less than half of it', cap: cpu(4000), used: cpu(1000), task: cpu(1000), count: 4, isAllowed: true,
	},
	{
		name: 'a gang that exceeds the cap by more than one task, of an account that uses less than half of it', cap: cpu(4000), used: cpu(1000), task: cpu(1000), count: 5, isAllowed: false,
	},
	{
		name: 'a task larger than the cap of an account that uses nothing', cap: cpu(1000), used: none, task: cpu(4000), count: 1, isAllowed: true,
	},
	{
		name: 'a task larger than the cap of an account that uses only what is not capped', cap: cpu(1000), used: {cpu: 0, memory: 500, gpu: 1}, task: cpu(4000), count: 1, isAllowed: true,
	},
	{
		name: 'a task larger than the cap of an account that uses less than half of it', cap: cpu(1000), used: cpu(499), task: cpu(4000), count: 1, isAllowed: true,
	},
	{
		name: 'a task larger than the cap of an account that uses half of it', cap: cpu(1000), used: cpu(500), task: cpu(4000), count: 1, isAllowed: false,
	},
	{
		name: 'a task larger than the cap in one dimension beside use of half of another capped one', cap: {cpu: 1000, memory: 1000, gpu: 0}, used: {cpu: 0, memory: 500, gpu: 0}, task: cpu(4000), count: 1, isAllowed: false,
	},
	{
		name: 'a gang that exceeds the cap by one task, of an account that uses nothing', cap: cpu(3000), used: none, task: cpu(1000), count: 4, isAllowed: true,
	},
	{
		name: 'a gang that exceeds the cap by more than one task, of an account that uses nothing', cap: cpu(3000), used: none, task: cpu(1000), count: 5, isAllowed: false,
	},
	{
		name: 'fractional tasks whose sum is rounded above the cap', cap: cpu(0.3), used: cpu(0.1 + 0.1), task: cpu(0.1), count: 1, isAllowed: true,
	},
];

for (const {name, isAllowed, ...start} of cases) {
	test(`a cap ${isAllowed ? 'allows' : 'forbids'} ${name}`, t => {
		t.is(isWithinCap(start), isAllowed);
	});
}

const resources: fc.Arbitrary<Resources> = fc.record({cpu: fc.integer({min: 0, max: 5}), memory: fc.integer({min: 0, max: 5}), gpu: fc.integer({min: 0, max: 2})});
const start = fc.record({task: resources, count: fc.constantFrom(1, 1, 1, 2, 3), ends: fc.integer({min: 0, max: 2})});

function sum(amounts: readonly Resources[]): Resources {
	let total = none;
	for (const amount of amounts) {
		total = addResources(total, amount);
	}

	return total;
}

// Guards against sums of starts that exceed a cap by more than one task, and against an account under half of its cap that can start nothing.
test('starts and ends in any order keep an account within its cap and one task, and one under half of it may start any task', t => {
	t.notThrows(() => {
		fc.assert(fc.property(resources, fc.array(start, {maxLength: 60}), (cap, starts) => {
			const running: Resources[] = [];
			for (const {task, count, ends} of starts) {
				const used = sum(running);
				const isAllowed = isWithinCap({
					cap, used, task, count,
				});
				const capped = (amount: Resources): Resources => ({cpu: cap.cpu > 0 ? amount.cpu : 0, memory: cap.memory > 0 ? amount.memory : 0, gpu: cap.gpu > 0 ? amount.gpu : 0});
				const twice = capped(addResources(used, used));
				const isUnderHalf = (['cpu', 'memory', 'gpu'] as const).every(dimension => cap[dimension] <= 0 || twice[dimension] < cap[dimension]);
				if (isUnderHalf && count === 1 && !isAllowed) {
					return false;
				}

				if (isAllowed) {
					const after = capped(addResources(used, task, count));
					const isOneOver = isUnderHalf && isWithin(capped(addResources(used, task, count - 1)), cap);
					if (!isWithin(after, cap) && !isOneOver) {
						return false;
					}

					running.push(...Array.from({length: count}, () => task));
				}

				running.splice(0, ends);
			}

			return true;
		}), {numRuns: 500, seed: 7});
	});
});

const demandCases: ReadonlyArray<readonly [string, Resources, Resources, Resources, Resources]> = [
	['without a cap is left as it is', cpu(9000), none, cpu(5000), cpu(9000)],
	['is trimmed to what the cap leaves', cpu(9000), cpu(6000), cpu(4000), cpu(2000)],
	['is nothing above a lowered cap', cpu(9000), cpu(1000), cpu(4000), none],
	['is trimmed in each dimension', {cpu: 900, memory: 900, gpu: 2}, {cpu: 0, memory: 500, gpu: 1}, {cpu: 100, memory: 100, gpu: 0}, {cpu: 900, memory: 400, gpu: 1}],
];

for (const [name, demand, cap, used, expected] of demandCases) {
	test(`a demand ${name}`, t => {
		t.deepEqual(trimDemand(demand, {cap, used}), expected);
	});
}
