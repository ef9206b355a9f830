import {type AccountName} from '@tamarackwind/core';
import {noResources, type Resources} from '@tamarackwind/scheduling';
import {getProgressPartition, type ClientAccount} from '@tamarackwind/workflows';
import test from 'ava';
import {
	accountFaultKinds, createStep, EmulatedSystem, faultKinds, furtherFaultKinds, playHistory, sparePool, type EmulatedEntry, type FaultKind,
} from '../src/index.js';

const capped = 'capped' as AccountName;
const free = 'free' as AccountName;

function createAccount(name: AccountName, cap: Partial<Resources>): ClientAccount {
	return {
		name, weight: 1, cap: {...noResources, ...cap}, keyHashes: [],
	};
}

async function createSystem(cap: Partial<Resources>): Promise<EmulatedSystem> {
	const system = await EmulatedSystem.create({seed: 3, accounts: [createAccount(capped, cap), createAccount(free, {})]});
	await system.clock.run(4000);
	return system;
}

/** Delays the transactions of one pool's progress by an entry, beginning with the one that fences off earlier holders. */
function delayOpening({tables}: EmulatedEntry, system: EmulatedSystem, pool: string, ms: number): void {
	const commit = tables.commit.bind(tables);
	const partition = getProgressPartition(pool as Parameters<typeof getProgressPartition>[0]);
	tables.commit = async transaction => {
		if (transaction.writes.some(write => write.partition === partition)) {
			await system.clock.sleep(ms);
		}

		return commit(transaction);
	};
}

const readUse = (system: EmulatedSystem): number => system.fleet.computeAccountUse(capped).cpu;

// Guards against a new holder that starts tasks of an account before it knows what earlier holders assigned in other pools.
test('a new holder starts capped tasks only once it has read the tasks of earlier holders in all pools', async t => {
	const system = await createSystem({cpu: 4000});
	const {clock, fleet} = system;
	void system.submit([createStep({count: 3})], 12_000, {account: capped, pool: 'south'});
	await clock.run(1500);
	t.is(readUse(system), 3000);
	const holder = system.holder!;
	for (const entry of system.entries.filter(other => other !== holder)) {
		delayOpening(entry, system, 'south', 3000);
	}

	system.killEntry(holder);
	void system.submit([createStep({count: 6})], 1000, {account: capped, pool: 'north'});
	const other = system.submit([createStep({count: 2})], 3000, {account: free, pool: 'north'});
	await clock.run(4500);
	t.is(fleet.countRunning(await other), 2);
	t.is(readUse(system), 3000);
	const [north] = [...system.holder!.scheduler.pools];
	t.is(north!.waits.summaries.get('account-cap')?.tasks, 6);
	await clock.run(1000);
	t.is(readUse(system), 4000);
	await clock.run(25_000);
	t.deepEqual(fleet.violations, []);
	t.is(fleet.counts.done, 11);
});

// Guards against accounts whose work in all pools stands for as long as one pool can't be opened.
test('a pool that is not opened holds capped accounts up in the others until the runs of earlier holders there have ended', async t => {
	const system = await createSystem({cpu: 4000});
	const {clock, fleet} = system;
	void system.submit([createStep({count: 3, isLongRunning: true})], 1000, {account: capped, pool: 'south'});
	await clock.run(1500);
	const holder = system.holder!;
	for (const entry of system.entries.filter(other => other !== holder)) {
		delayOpening(entry, system, 'south', 30_000);
	}

	system.killEntry(holder);
	const submission = system.submit([createStep({count: 3, isLongRunning: true})], 1000, {account: capped, pool: 'north'});
	await clock.run(10_000);
	const job = await submission;
	t.is(fleet.countRunning(job), 0);
	await clock.run(15_000);
	t.is(fleet.countRunning(job), 3);
	t.is(readUse(system), 3000);
	await clock.run(60_000);
	t.is(readUse(system), 4000);
	t.deepEqual(fleet.violations, []);
});

const largeCases = [
	{name: 'a long-running task', step: {isLongRunning: true, resources: {cpu: 3500, memory: 10, gpu: 0}}, running: 1},
	{name: 'a gang', step: {isGang: true, count: 4}, running: 4},
	{
		name: 'a task of another pool', step: {resources: {cpu: 4000, memory: 10, gpu: 0}}, pool: 'south', running: 1,
	},
] as const;

// Guards against accepted work that stands for as long as smaller work of its account takes what becomes free of the cap.
for (const {name, step, running, ...rest} of largeCases) {
	test(`${name} that needs over half of its account's cap starts beside a stream of small tasks`, async t => {
		const system = await createSystem({cpu: 6000});
		const {clock, fleet} = system;
		const pool = 'pool' in rest ? rest.pool : 'north';
		for (let at = 0; at < 30_000; at += 200) {
			clock.schedule(at, () => {
				void system.submit([createStep({resources: {cpu: 1000, memory: 10, gpu: 0}})], 1000, {account: capped, pool: 'north'});
			});
		}

		await clock.run(3000);
		const submission = system.submit([createStep(step)], 20_000, {account: capped, pool});
		await clock.run(7000);
		t.is(fleet.countRunning(await submission), running);
		t.true(readUse(system) > 3500);
		t.deepEqual(fleet.violations, []);
	});
}

// Guards against starts that were allowed under half of the cap, and reach their workers after one that exceeds it.
test('a task that exceeds the cap starts once each other run of its account has begun', async t => {
	const system = await createSystem({cpu: 4000});
	const {clock, fleet} = system;
	const small = system.submit([createStep({count: 19, resources: {cpu: 100, memory: 10, gpu: 0}})], 20_000, {account: capped, pool: 'south'});
	const large = system.submit([createStep({resources: {cpu: 3000, memory: 10, gpu: 0}})], 2000, {account: capped, pool: 'north'});
	await clock.run(1000);
	t.is(fleet.countRunning(await small), 19);
	t.is(fleet.countRunning(await large), 1);
	t.deepEqual(fleet.violations, []);
});

// Guards against starts that follow from a cap that is no longer in force, and against runs that are stopped for a lowered one.
test('a version that lowers a cap stops nothing, and the next starts wait for it', async t => {
	const system = await createSystem({cpu: 6000});
	const {clock, fleet} = system;
	void system.submit([createStep({count: 12})], 5000, {account: capped});
	await clock.run(1500);
	t.is(readUse(system), 6000);
	void system.configureAccounts([createAccount(capped, {cpu: 2000})]);
	await clock.run(2000);
	t.is(readUse(system), 6000);
	t.is(fleet.counts.starts, 6);
	await clock.run(4000);
	t.is(readUse(system), 2000);
	void system.configureAccounts([createAccount(capped, {cpu: 3000})]);
	await clock.run(300);
	t.is(readUse(system), 3000);
	await clock.run(20_000);
	t.is(fleet.counts.done, 12);
	t.deepEqual(fleet.violations, []);
});

// Guards against a pool that waits for its own next event although the account has room again through another pool.
test('a task that waits for a cap starts as soon as a task of the account ends in another pool', async t => {
	const system = await createSystem({cpu: 2000});
	const {clock} = system;
	const first = system.submit([createStep({count: 2})], 2000, {account: capped, pool: 'south'});
	await clock.run(1000);
	const second = system.submit([createStep({count: 2})], 2000, {account: capped, pool: 'north'});
	await clock.run(1000);
	t.is(system.fleet.countRunning(await first), 2);
	t.is(system.fleet.countRunning(await second), 0);
	await clock.run(500);
	t.is(system.fleet.countRunning(await second), 2);
});

const allKinds = [...faultKinds, ...furtherFaultKinds, ...accountFaultKinds];

const histories: ReadonlyArray<readonly [number, string, readonly FaultKind[]]> = [
	[6001, 'all kinds of faults', allKinds],
	[6002, 'all kinds of faults', allKinds],
	[6003, 'caps that change', accountFaultKinds],
	[6004, 'caps that change beside takeovers', ['caps lowered', 'caps raised', 'kill holder', 'stop holder']],
	[6005, 'lost answers and late starts', ['orders lost', 'orders late', 'answers lost', 'caps lowered']],
	[6006, 'late writes and takeovers', ['writes late', 'answers lost', 'kill holder', 'cut holder from tables']],
	[6007, 'workers that restart under their ids beside late starts', ['worker restart', 'orders late', 'worker crash', 'kill holder']],
	[6008, 'outages of the store', ['tables down', 'tables silent', 'accounts removed']],
];

// Guards against starts over a cap, and against jobs that are left waiting for one.
for (const [seed, title, kinds] of histories) {
	test(`history ${seed} of jobs with accounts: ${title}`, async t => {
		const {violations, accepted} = await playHistory({seed, kinds, hasAccounts: true});
		t.deepEqual(violations, []);
		t.true(accepted > 0);
	});
}

// Guards against work of an account under half of its cap that stands, since its next task does not fit into the rest of the cap.
test('a task larger than what a cap leaves starts beside long-running ones that use less than half of the cap', async t => {
	const system = await createSystem({cpu: 4000});
	const {clock, fleet} = system;
	void system.submit([createStep({count: 1, isLongRunning: true, resources: {cpu: 1800, memory: 1000, gpu: 0}})], 1000, {account: capped, pool: 'north'});
	await clock.run(2000);
	const submitted = system.submit([createStep({count: 2, resources: {cpu: 3600, memory: 1000, gpu: 0}})], 1000, {account: capped, pool: 'south'});
	await clock.run(4000);
	t.true(fleet.hasBeenDone(`${await submitted}.0.0.0`));
	t.deepEqual(fleet.violations, []);
});

// Guards against VMs that are taken from other pools for tasks which a cap does not let start (wpk-sched-grown: 122 of 147 VMs of a pool idle).
for (const [name, accounts, vms] of [
	['the cap of their account lets start', [createAccount(capped, {cpu: 4000})], 5],
	['their account has no cap', [createAccount(capped, {})], 11],
] as const) {
	test(`a pool gets VMs for waiting tasks as far as ${name}`, async t => {
		const system = await EmulatedSystem.create({seed: 3, accounts: [...accounts], pools: [['north', 5], [sparePool, 12]]});
		const {clock, fleet} = system;
		await clock.run(4000);
		const submitted = system.submit([createStep({count: 60})], 20_000, {account: capped, pool: 'north'});
		await clock.run(8000);
		await submitted;
		t.is(fleet.listVms().filter(vm => vm.pool as string === 'north').length, vms);
		t.deepEqual(fleet.violations, []);
	});
}
