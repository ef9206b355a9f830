import {type JobId} from '@tamarackwind/core';
import test from 'ava';
import {
	createStep, EmulatedSystem, StandingCheck,
} from '../src/index.js';

const warmUpMs = 4000;
const observationMs = 20_000;
/** More than a planning pass tries before it stops. */
const unplaceableJobs = 60;
const jobs = 6;

type Case = {readonly name: string; readonly createUnplaceable: (index: number) => ReturnType<typeof createStep>};

const cases: readonly Case[] = [
	{name: 'that need a label which no worker has', createUnplaceable: () => createStep({isLongRunning: true, requirement: 'b'})},
	{name: 'that need different labels', createUnplaceable: index => createStep({isLongRunning: true, requirement: `kind-${index}`})},
	{name: 'that are larger than a worker', createUnplaceable: index => createStep({isLongRunning: true, resources: {cpu: 100_000 - index, memory: 1000, gpu: 0}})},
	{name: 'of a gang that does not fit', createUnplaceable: index => createStep({isGang: true, count: 400 - index})},
	{
		name: 'that have no worker left for their anti-affinity', createUnplaceable: () => createStep({
			isLongRunning: true, antiAffinity: 1, count: 9, resources: {cpu: 10, memory: 10, gpu: 0},
		}),
	},
];

// Guards against tasks without a possible worker that keep all other tasks of their pool waiting (review/5, LOST).
for (const {name, createUnplaceable} of cases) {
	test(`tasks ${name} do not keep others waiting`, async t => {
		const system = await EmulatedSystem.create({seed: 1, pools: [['north', 8], ['spare', 0]]});
		const {clock, fleet} = system;
		await clock.run(warmUpMs);
		for (let index = 0; index < unplaceableJobs; index++) {
			void system.submit([createUnplaceable(index)], 800);
		}

		await clock.run(2000);
		const check = StandingCheck.create({system, isCalmRequired: false});
		const others: JobId[] = [];
		for (let index = 0; index < jobs; index++) {
			void (async () => {
				others.push(await system.submit([createStep({count: 2})], 800));
			})();
		}

		await clock.run(observationMs);
		check.close();
		const states = Promise.all(others.map(async id => system.getState(id)));
		await clock.run(500);
		t.deepEqual(await states, Array.from({length: jobs}, () => 'succeeded'));
		t.deepEqual(fleet.violations, []);
		t.deepEqual(check.violations.filter(text => others.some(id => text.includes(id))), []);
	});
}
