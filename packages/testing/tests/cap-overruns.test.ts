import {type AccountName} from '@tamarackwind/core';
import {noResources} from '@tamarackwind/scheduling';
import {getProgressPartition, type ClientAccount} from '@tamarackwind/workflows';
import test from 'ava';
import {createStep, EmulatedSystem} from '../src/index.js';

const capped = 'capped' as AccountName;
const capCpu = 4000;
/** Share of a cap by which the users let an account exceed it, beside one task more. */
const overage = 0.1;
const account: ClientAccount = {
	name: capped, weight: 1, cap: {...noResources, cpu: capCpu}, keyHashes: [],
};

/** Delays the writes of one pool's progress by the holder, as a busy partition of the store does. */
function delayWrites(system: EmulatedSystem, pool: string, ms: number): void {
	const {tables} = system.holder!;
	const commit = tables.commit.bind(tables);
	const partition = getProgressPartition(pool as Parameters<typeof getProgressPartition>[0]);
	tables.commit = async transaction => {
		if (transaction.writes.some(write => write.partition === partition)) {
			await system.clock.sleep(ms);
		}

		return commit(transaction);
	};
}

/** Records the starts that bring the account above its cap, the users' overage and the started task. */
function observeOverruns({fleet}: EmulatedSystem): string[] {
	const overruns: string[] = [];
	const startRun = fleet.startRun.bind(fleet);
	fleet.startRun = (incarnation, order, isLate) => {
		const before = fleet.computeAccountUse(capped).cpu;
		const outcome = startRun(incarnation, order, isLate);
		const {cpu} = fleet.computeAccountUse(capped);
		const limit = (capCpu * (1 + overage)) + (cpu - before);
		if (cpu > before && cpu > limit) {
			overruns.push(`a start of ${cpu - before} brings the account to ${cpu}, above ${limit}`);
		}

		return outcome;
	};

	return overruns;
}

const cases: ReadonlyArray<{readonly name: string; readonly delayMs: number; readonly largeCpu: number}> = [
	{name: 'written at once', delayMs: 0, largeCpu: 3600},
	{name: 'written 300 ms later', delayMs: 300, largeCpu: 3600},
	{name: 'written 300 ms later, beside a task larger than the cap', delayMs: 300, largeCpu: 6000},
];

// Guards against starts over a cap: tasks that are charged before a larger one may exceed the cap can start after it.
for (const {name, delayMs, largeCpu} of cases) {
	test(`small tasks of an account do not start over its cap beside a large one that may exceed it: their assignment is ${name}`, async t => {
		const system = await EmulatedSystem.create({seed: 3, accounts: [account], pools: [['north', 3], ['south', 3]]});
		const {clock, fleet} = system;
		await clock.run(4000);
		delayWrites(system, 'south', delayMs);
		const overruns = observeOverruns(system);
		void system.submit([createStep({count: 19, resources: {cpu: 100, memory: 10, gpu: 0}})], 5000, {account: capped, pool: 'south'});
		await clock.run(100);
		void system.submit([createStep({resources: {cpu: largeCpu, memory: 10, gpu: 0}})], 5000, {account: capped, pool: 'north'});
		await clock.run(20_000);
		t.is(fleet.counts.done, 20);
		t.deepEqual(overruns, []);
	});
}
