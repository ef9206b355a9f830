import {type AccountName, type VmId} from '@tamarackwind/core';
import {noResources, type Resources, type StepSpec} from '@tamarackwind/scheduling';
import {type ClientAccount} from '@tamarackwind/workflows';
import test from 'ava';
import {
	createStep, EmulatedSystem, StandingCheck, type EmulatedFleet,
} from '../src/index.js';

const capped = 'capped' as AccountName;
const silenceMs = 30_000;
/** Time from the submission of the unconfirmed work to the silence, in milliseconds: its starts are on their way then. */
const startMs = 20;
/** Time from the large job to the small one, in milliseconds: the claim of the large job holds others up by then. */
const smallAfterMs = 2500;

function createAccount(name: AccountName, cap: Partial<Resources>): ClientAccount {
	return {
		name, weight: 1, cap: {...noResources, ...cap}, keyHashes: [],
	};
}

function createCpuStep(cpu: number, step: Partial<StepSpec> = {}): StepSpec {
	return createStep({resources: {cpu, memory: 10, gpu: 0}, ...step});
}

type Case = {readonly name: string; readonly disturb: (fleet: EmulatedFleet, vm: VmId) => void};

const cases: readonly Case[] = [
	{
		name: 'answers no calls', disturb(fleet, vm) {
			fleet.setSilent(vm, silenceMs);
		},
	},
	{
		name: 'is unreachable', disturb(fleet, vm) {
			fleet.setUnreachable(vm, silenceMs);
		},
	},
];

// Guards against an account that stands in all pools while one run stays unconfirmed: a task that exceeds the cap waits for it, and its claim holds up all other work of the account.
for (const {name, disturb} of cases) {
	test(`an account under half of its cap does not stand in one pool while a worker of another pool ${name}`, async t => {
		const system = await EmulatedSystem.create({seed: 3, accounts: [createAccount(capped, {cpu: 4000})], pools: [['north', 3], ['south', 1]]});
		const {clock, fleet} = system;
		await clock.run(6000);
		const check = StandingCheck.create({system});
		void system.submit([createCpuStep(100, {count: 10})], 1000, {account: capped, pool: 'south'});
		await clock.run(startMs);
		disturb(fleet, fleet.listVms().find(({pool}) => (pool as string) === 'south')!.id);
		// Only its begin counts: the pool of the jobs that are judged is not disturbed.
		check.recordDisturbance(clock.readMonotonic());
		const large = system.submit([createCpuStep(3950)], 200, {account: capped, pool: 'north'});
		await clock.run(smallAfterMs);
		const small = system.submit([createCpuStep(100)], 200, {account: capped, pool: 'north'});
		await clock.run(silenceMs);
		check.close();
		const ids = [await large, await small];
		t.deepEqual(check.violations.filter(violation => ids.some(id => violation.includes(id))), []);
		t.deepEqual(fleet.violations, []);
	});
}
