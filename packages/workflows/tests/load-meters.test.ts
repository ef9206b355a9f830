import {ManualClock} from '@tamarackwind/core';
import test from 'ava';
import {LoadMeter} from '../src/index.js';

type Case = readonly [name: string, durations: ReadonlyArray<readonly [activity: string, ms: number]>, expected: Record<string, {count: number; totalMs: number; maxMs: number}>];

const cases: readonly Case[] = [
	['no activity', [], {}],
	['one run', [['plan', 3]], {plan: {count: 1, totalMs: 3, maxMs: 3}}],
	['several runs of two activities', [['plan', 3], ['call', 40], ['plan', 7]], {plan: {count: 2, totalMs: 10, maxMs: 7}, call: {count: 1, totalMs: 40, maxMs: 40}}],
];

for (const [name, durations, expected] of cases) {
	test(`a load meter sums up ${name} and starts anew`, t => {
		const meter = LoadMeter.create(ManualClock.create());
		for (const [activity, ms] of durations) {
			meter.record(activity, ms);
		}

		t.deepEqual(Object.fromEntries(meter.takeInterval()), expected);
		t.is(meter.takeInterval().size, 0);
	});
}

test('a run that throws is recorded', t => {
	const meter = LoadMeter.create(ManualClock.create());
	t.throws(() => meter.track('plan', () => {
		throw new Error('no plan');
	}));
	t.is(meter.takeInterval().get('plan')?.count, 1);
});
