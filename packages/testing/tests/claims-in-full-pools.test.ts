import {type AccountName} from '@tamarackwind/core';
import {noResources, type StepSpec} from '@tamarackwind/scheduling';
import test from 'ava';
import {createStep, EmulatedSystem} from '../src/index.js';

const capped = 'capped' as AccountName;
const calmMs = 30_000;
const smallIntervalMs = 500;

function createCpuStep(cpu: number, step: Partial<StepSpec> = {}): StepSpec {
	return createStep({resources: {cpu, memory: 10, gpu: 0}, ...step});
}

type Case = {
	readonly name: string;
	readonly workers: number;
	/** Step that needs more than what the account's small tasks leave of its cap of 6 cores. */
	readonly large: StepSpec;
};

const cases: readonly Case[] = [
	{name: 'a task of 4 cores, with room in its pool', workers: 2, large: createCpuStep(4000)},
	{name: 'a task of 4 cores, where the small tasks leave 2 cores of the pool', workers: 1, large: createCpuStep(4000)},
	{name: 'a gang of 2 tasks of 2 cores, where the small tasks leave 2 cores of the pool', workers: 1, large: createCpuStep(2000, {isGang: true, count: 2})},
	{name: 'a long-running task of 4 cores, where the small tasks leave 2 cores of the pool', workers: 1, large: createCpuStep(4000, {isLongRunning: true})},
];

// Guards against steps that wait for the cap of their account without an end, as its smaller work uses the cap and, by that, the room of the pool.
for (const {name, workers, large} of cases) {
	test(`small tasks of the same account do not keep a large step from starting: ${name}`, async t => {
		const system = await EmulatedSystem.create({
			seed: 3, accounts: [{
				name: capped, weight: 1, cap: {...noResources, cpu: 6000}, keyHashes: [],
			}], pools: [['south', workers]],
		});
		const {clock, fleet} = system;
		await clock.run(4000);
		for (let index = 0; index < 10; index++) {
			void system.submit([createCpuStep(1000)], 700 + (index * 137), {account: capped, pool: 'south'});
		}

		await clock.run(1500);
		const submitted = system.submit([large], 1000, {account: capped, pool: 'south'});
		for (let passedMs = 0; passedMs < calmMs; passedMs += smallIntervalMs) {
			for (let index = 0; index < 6; index++) {
				void system.submit([createCpuStep(1000)], 700 + (index * 137), {account: capped, pool: 'south'});
			}

			await clock.run(smallIntervalMs);
		}

		const task = `${await submitted}.0.0.0`;
		t.true(fleet.hasBeenDone(task) || fleet.isRunning(task));
		t.deepEqual(fleet.violations, []);
	});
}
