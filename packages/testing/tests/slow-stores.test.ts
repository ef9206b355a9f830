import {computeTimings, defaultBounds, type Bounds} from '@tamarackwind/workflows';
import test from 'ava';
import {EmulatedSystem} from '../src/index.js';

const {staleConfigurationMs} = computeTimings(defaultBounds);
const settlingMs = 4000;
const observationMs = 8000;
const stepMs = 10;

type Case = {
	readonly name: string;
	/** Time that the store takes for each call, in milliseconds. */
	readonly delayMs: number;
	readonly bounds?: Bounds;
};

const cases: readonly Case[] = [
	{name: 'at its usual speed', delayMs: 0},
	{name: '36 times slower', delayMs: 140},
	{name: '60 times slower', delayMs: 236},
	{name: '90 times slower', delayMs: 356},
	{name: '60 times slower, and configurations are in force within 4 s', delayMs: 236, bounds: {...defaultBounds, configurationMs: 4000}},
];

for (const {name, delayMs, bounds} of cases) {
	test(`entries take the configuration for current all the time while the store answers ${name}`, async t => {
		const system = await EmulatedSystem.create({seed: 1, entries: 1, bounds});
		const {tables, watcher} = system.entries[0]!;
		await system.clock.run(2000);
		tables.faults.delayMs = delayMs;
		await system.clock.run(settlingMs);
		let staleMs = 0;
		for (let elapsedMs = 0; elapsedMs < observationMs; elapsedMs += stepMs) {
			await system.clock.run(stepMs);
			staleMs += watcher.isFresh ? 0 : stepMs;
		}

		t.is(staleMs, 0, `stale for ${staleMs} of ${observationMs} ms, each time from an age of ${staleConfigurationMs} ms`);
	});
}
