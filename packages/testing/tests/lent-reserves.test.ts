import {type StepSpec} from '@tamarackwind/scheduling';
import test from 'ava';
import {createStep, EmulatedSystem, sparePool} from '../src/index.js';

const overloadMs = 30_000;
/** Longest time without a run that the users accept for a long-running task, from its submission, in milliseconds. */
const maxStandingMs = 9000;

type Case = {readonly name: string; readonly step: Partial<StepSpec>};

const cases: readonly Case[] = [
	{name: 'a long-running job', step: {isLongRunning: true}},
	{name: 'a job', step: {}},
];

// Guards against a pool that is emptied for another one with more work than it can do, and gets no VM back as long as that lasts.
for (const {name, step} of cases) {
	test(`${name} of a pool that was idle runs beside a pool that has long had too much work (review of issue 50)`, async t => {
		const system = await EmulatedSystem.create({seed: 7, pools: [['north', 6], ['south', 6], [sparePool, 0]]});
		const {clock, fleet} = system;
		await clock.run(4000);
		for (let job = 0; job < 10; job++) {
			void system.submit([createStep({count: 60, resources: {cpu: 6000, memory: 100, gpu: 0}})], 4000, {pool: 'north'});
		}

		await clock.run(overloadMs);
		const submitted = system.submit([createStep({resources: {cpu: 1000, memory: 100, gpu: 0}, ...step})], 30_000, {pool: 'south'});
		await clock.run(maxStandingMs);
		t.true(fleet.listVms().some(({pool}) => pool as string === 'south'));
		t.is(fleet.countRunning(await submitted), 1);
	});
}
