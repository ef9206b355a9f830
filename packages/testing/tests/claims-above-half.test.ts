import {type AccountName} from '@tamarackwind/core';
import {noResources, type Resources, type StepSpec} from '@tamarackwind/scheduling';
import {type ClientAccount} from '@tamarackwind/workflows';
import test from 'ava';
import {createStep, EmulatedSystem, StandingCheck} from '../src/index.js';

const capped = 'capped' as AccountName;
const free = 'free' as AccountName;
const calmMs = 20_000;

function createAccount(name: AccountName, cap: Partial<Resources>): ClientAccount {
	return {
		name, weight: 1, cap: {...noResources, ...cap}, keyHashes: [],
	};
}

function createCpuStep(cpu: number, step: Partial<StepSpec> = {}): StepSpec {
	return createStep({resources: {cpu, memory: 10, gpu: 0}, ...step});
}

type Case = {
	readonly name: string;
	/** Step of the account for which the other pool has no room. */
	readonly blocked: StepSpec;
	/** CPU that the account's other tasks use all the while, in thousandths of a core. */
	readonly usedCpu: number;
};

const cases: readonly Case[] = [
	{name: 'no other step and 3.4 of its cap of 6 cores in use', blocked: createCpuStep(0), usedCpu: 3400},
	{name: 'a long-running task without room and 2.4 of its cap of 6 cores in use', blocked: createCpuStep(5000, {isLongRunning: true}), usedCpu: 2400},
	{name: 'a long-running task without room and 3.4 of its cap of 6 cores in use', blocked: createCpuStep(5000, {isLongRunning: true}), usedCpu: 3400},
	{name: 'a task without room and 3.4 of its cap of 6 cores in use', blocked: createCpuStep(5000), usedCpu: 3400},
];

// Guards against a claim to a cap that a step without room keeps for as long as the other work of its account needs half of the cap or more.
for (const {name, blocked, usedCpu} of cases) {
	test(`a job that fits into its account's cap twice does not stand beside ${name}`, async t => {
		const system = await EmulatedSystem.create({seed: 3, accounts: [createAccount(capped, {cpu: 6000}), createAccount(free, {})], pools: [['north', 2], ['south', 3]]});
		const {clock, fleet} = system;
		await clock.run(4000);
		void system.submit([createCpuStep(7500, {isLongRunning: true, count: 2})], 1000, {account: free, pool: 'north'});
		void system.submit([createCpuStep(usedCpu)], 60_000, {account: capped, pool: 'south'});
		await clock.run(3000);
		if (blocked.resources.cpu > 0) {
			void system.submit([blocked], 1000, {account: capped, pool: 'north'});
		}

		await clock.run(3000);
		t.is(fleet.computeAccountUse(capped).cpu, usedCpu);
		const check = StandingCheck.create({system});
		const submitted = system.submit([createCpuStep(1000)], 1000, {account: capped, pool: 'south'});
		await clock.run(calmMs);
		const id = await submitted;
		check.close();
		t.deepEqual(check.violations.filter(violation => violation.includes(id)), []);
		t.true(fleet.hasBeenDone(`${id}.0.0.0`));
		t.deepEqual(fleet.violations, []);
	});
}
