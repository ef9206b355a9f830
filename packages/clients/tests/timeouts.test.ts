import {ManualClock} from '@tamarackwind/core';
import test from 'ava';
import {AdaptiveTimeout} from '../src/index.js';

/** Answers as the time before each and its duration, in milliseconds. */
type Case = {readonly name: string; readonly answers: ReadonlyArray<readonly [number, number]>; readonly afterMs: number; readonly expectedMs: number};

const cases: readonly Case[] = [
	{
		name: 'no answer yet', answers: [], afterMs: 0, expectedMs: 1000,
	},
	{
		name: 'quick answers', answers: [[0, 4], [10, 12]], afterMs: 0, expectedMs: 1000,
	},
	{
		name: 'a slow answer among quick ones', answers: [[0, 4], [10, 700], [10, 4]], afterMs: 100, expectedMs: 2100,
	},
	{
		name: 'answers beyond the bound', answers: [[0, 1500]], afterMs: 0, expectedMs: 2200,
	},
	{
		name: 'a slow answer long ago', answers: [[0, 700], [4000, 400]], afterMs: 2000, expectedMs: 1200,
	},
	{
		name: 'nothing recent', answers: [[0, 700]], afterMs: 6000, expectedMs: 1000,
	},
];

for (const {name, answers, afterMs, expectedMs} of cases) {
	test(`timeout after ${name}`, async t => {
		const clock = ManualClock.create();
		const timeout = AdaptiveTimeout.create({
			clock, minMs: 1000, maxMs: 2200, factor: 3, recentMs: 5000,
		});
		for (const [beforeMs, elapsedMs] of answers) {
			await clock.advance(beforeMs);
			timeout.recordAnswer(elapsedMs);
		}

		await clock.advance(afterMs);
		t.is(timeout.ms, expectedMs);
	});
}
