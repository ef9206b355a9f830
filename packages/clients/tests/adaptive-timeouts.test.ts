import {ManualClock} from '@tamarackwind/core';
import test from 'ava';
import {AdaptiveTimeout} from '../src/index.js';

/** Each response is the time before it and its response time, in milliseconds. */
type TimeoutCase = {readonly name: string; readonly responses: ReadonlyArray<readonly [number, number]>; readonly afterMs: number; readonly expectedMs: number};

const cases: readonly TimeoutCase[] = [
	{
		name: 'no response yet', responses: [], afterMs: 0, expectedMs: 1000,
	},
	{
		name: 'fast responses', responses: [[0, 4], [10, 12]], afterMs: 0, expectedMs: 1000,
	},
	{
		name: 'a slow response among fast ones', responses: [[0, 4], [10, 700], [10, 4]], afterMs: 100, expectedMs: 2100,
	},
	{
		name: 'a response time above the upper bound', responses: [[0, 1500]], afterMs: 0, expectedMs: 2200,
	},
	{
		name: 'a slow response outside the window', responses: [[0, 700], [4000, 400]], afterMs: 2000, expectedMs: 1200,
	},
	{
		name: 'no response in the window', responses: [[0, 700]], afterMs: 6000, expectedMs: 1000,
	},
];

for (const {name, responses, afterMs, expectedMs} of cases) {
	test(`timeout after ${name}`, async t => {
		const clock = ManualClock.create();
		const timeout = AdaptiveTimeout.create({
			clock, minMs: 1000, maxMs: 2200, factor: 3, windowMs: 5000,
		});
		for (const [beforeMs, elapsedMs] of responses) {
			await clock.advance(beforeMs);
			timeout.recordResponseTime(elapsedMs);
		}

		await clock.advance(afterMs);
		t.is(timeout.ms, expectedMs);
	});
}
