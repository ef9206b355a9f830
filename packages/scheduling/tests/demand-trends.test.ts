import {type PoolName} from '@tamarackwind/core';
import test from 'ava';
import {DemandTrend} from '../src/index.js';

const pool = 'north' as PoolName;

type Case = {readonly name: string; readonly samples: ReadonlyArray<readonly [atMs: number, cpu: number]>; readonly expected: number};

const cases: readonly Case[] = [
	{name: 'an unknown pool has no demand', samples: [], expected: 0},
	{name: 'steady demand stays as it is', samples: [[0, 40_000], [500, 40_000], [1000, 40_000]], expected: 40_000},
	{name: 'growing demand is extrapolated over a move', samples: [[0, 40_000], [500, 42_000], [1000, 44_000]], expected: 52_000},
	{name: 'falling demand is not extrapolated', samples: [[0, 40_000], [1000, 30_000]], expected: 30_000},
	{name: 'a sudden jump is limited', samples: [[0, 1000], [200, 50_000]], expected: 80_000},
	{name: 'growth before the window does not count', samples: [[0, 0], [1000, 40_000], [2000, 40_000], [3000, 40_000]], expected: 40_000},
	{name: 'two samples close together count as one window', samples: [[0, 40_000], [100, 41_000]], expected: 43_000},
];

for (const {name, samples, expected} of cases) {
	test(`demand trend: ${name}`, t => {
		const trend = DemandTrend.create();
		for (const [at, cpu] of samples) {
			trend.observe(pool, cpu, at);
		}

		t.is(Math.round(trend.estimateDemand(pool)), expected);
	});
}
