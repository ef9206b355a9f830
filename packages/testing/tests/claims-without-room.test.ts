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
	/** CPU of each long-running task that has no room in its pool, in thousandths of a core. */
	readonly blockedCpu: readonly number[];
};

const cases: readonly Case[] = [
	{name: 'one long-running task', blockedCpu: [3500]},
	{name: 'two long-running tasks', blockedCpu: [3500, 3600]},
	{name: 'three long-running tasks', blockedCpu: [3400, 3500, 3600]},
];

// Guards against claims to a cap that renew each other while none of their steps has room, and hold up other work of an account under half of its cap.
for (const {name, blockedCpu} of cases) {
	test(`a job does not stand for its account's cap beside ${name} of the account for which another pool has no room`, async t => {
		const system = await EmulatedSystem.create({seed: 3, accounts: [createAccount(capped, {cpu: 6000}), createAccount(free, {})], pools: [['north', 2], ['south', 3]]});
		const {clock, fleet} = system;
		await clock.run(4000);
		void system.submit([createCpuStep(7500, {isLongRunning: true, count: 2})], 1000, {account: free, pool: 'north'});
		void system.submit([createCpuStep(1000, {count: 5})], 3000, {account: capped, pool: 'south'});
		await clock.run(1500);
		const blocked = Promise.all(blockedCpu.map(async cpu => system.submit([createCpuStep(cpu, {isLongRunning: true})], 1000, {account: capped, pool: 'north'})));
		await clock.run(4000);
		await blocked;
		void system.submit([createCpuStep(1000, {count: 2})], 60_000, {account: capped, pool: 'south'});
		await clock.run(3000);
		t.is(fleet.computeAccountUse(capped).cpu, 2000);
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
