import {type VmId} from '@tamarackwind/core';
import {type StepSpec} from '@tamarackwind/scheduling';
import {getProgressPartition} from '@tamarackwind/workflows';
import test from 'ava';
import {createStep, EmulatedSystem, type EmulatedEntry} from '../src/index.js';

const warmUpMs = 4000;
/** Time for which a pool is not opened by the entries that take over, in milliseconds. */
const unopenedMs = 40_000;
/** Time in which another entry takes over after the holder was killed, and orders VMs, in milliseconds. */
const takeoverMs = 15_000;
const sampleMs = 50;
const vmOrderTimeoutMs = 1000;
const serviceLoaded = 'service loaded';
const orderMessages = ['VM moved', 'upkeep ordered'];

type Partition = ReturnType<typeof getProgressPartition>;

/** Delays the first transaction of a pool's progress by an entry, which fences off earlier holders. */
function delayFence({tables}: EmulatedEntry, {clock}: EmulatedSystem, partition: Partition, ms: number): void {
	const commit = tables.commit.bind(tables);
	let isFirst = true;
	tables.commit = async transaction => {
		if (isFirst && transaction.writes.some(write => write.partition === partition)) {
			isFirst = false;
			await clock.sleep(ms);
		}

		return commit(transaction);
	};
}

/** Has the reads of a pool's progress by an entry fail. */
function failReads({tables}: EmulatedEntry, {clock}: EmulatedSystem, partition: Partition, ms: number): void {
	const readRange = tables.readRange.bind(tables);
	const until = clock.readMonotonic() + ms;
	tables.readRange = async (table, options) => {
		if (options?.partition === partition && clock.readMonotonic() < until) {
			throw new Error('rows cannot be read');
		}

		return readRange(table, options);
	};
}

/** Kills the holder. The entries that are left open a pool late. */
function killHolder(system: EmulatedSystem, pool: string, apply: typeof delayFence, ms = unopenedMs): void {
	const holder = system.holder!;
	const partition = getProgressPartition(pool as Parameters<typeof getProgressPartition>[0]);
	for (const entry of system.entries.filter(other => other !== holder)) {
		apply(entry, system, partition, ms);
	}

	system.killEntry(holder);
}

function listVms({fleet}: EmulatedSystem, pool: string): VmId[] {
	return fleet.listVms().filter(vm => vm.pool as string === pool).map(({id}) => id);
}

/** Returns the VMs of a wave whose maintenance has begun. */
async function readBegun({tables, clock}: EmulatedSystem, wave: string): Promise<readonly VmId[]> {
	const reading = tables.getRow({table: 'waves', key: wave});
	await clock.run(sampleMs);
	return ((await reading)?.value as {readonly begun: readonly VmId[]} | undefined)?.begun ?? [];
}

function createLastingStep(step: Partial<StepSpec>): StepSpec {
	return createStep({isLongRunning: true, antiAffinity: 1, ...step});
}

type Case = {readonly name: string; readonly apply: typeof delayFence};

const cases: readonly Case[] = [
	{name: 'cannot be fenced off', apply: delayFence},
	{name: 'cannot be read', apply: failReads},
];

// Guards against accepted work that waits for room beside idle VMs of another pool for as long as a third pool is not open (issue 50).
for (const {name, apply} of cases) {
	test(`tasks get idle VMs of another pool while a third pool ${name}`, async t => {
		const system = await EmulatedSystem.create({seed: 7, pools: [['north', 5], ['south', 5], ['west', 12]]});
		const {clock, fleet} = system;
		await clock.run(warmUpMs);
		const southern = listVms(system, 'south');
		killHolder(system, 'south', apply);
		const submitted = system.submit([createLastingStep({count: 9, resources: {cpu: 6000, memory: 100, gpu: 0}})], 1000, {pool: 'north'});
		await clock.run(takeoverMs);
		t.is(fleet.countRunning(await submitted), 9);
		t.deepEqual(listVms(system, 'south'), southern);
		t.deepEqual(fleet.violations, []);
	});
}

// Guards against waves that stand for as long as a pool is not open, and against upkeeps in that pool, whose tasks and budgets are not known.
for (const {name, apply} of cases) {
	test(`a wave goes on with the VMs of open pools while another pool ${name}`, async t => {
		const system = await EmulatedSystem.create({seed: 7, pools: [['north', 6], ['south', 6]]});
		const {clock, fleet} = system;
		await clock.run(warmUpMs);
		void system.submit([createLastingStep({count: 6, mayMiss: 1})], 1000, {pool: 'south'});
		await clock.run(3000);
		killHolder(system, 'south', apply);
		const [southern, northern] = [listVms(system, 'south'), listVms(system, 'north')];
		void system.startWave('wave-1', [...southern, ...northern], 2);
		await clock.run(unopenedMs - 5000);
		t.deepEqual((await readBegun(system, 'wave-1')).toSorted(), northern.toSorted());
		await clock.run(unopenedMs);
		t.is((await readBegun(system, 'wave-1')).length, 12);
		t.deepEqual(fleet.violations, []);
	});
}

// Guards against an upkeep above the cap of its wave beside one that the holder before has ordered in a pool that is not open.
for (const cap of [1, 2]) {
	test(`upkeeps of an earlier holder in a pool that is not open count for the cap of ${cap}`, async t => {
		const system = await EmulatedSystem.create({seed: 7, pools: [['north', 6], ['south', 6]]});
		const {clock, fleet} = system;
		await clock.run(warmUpMs);
		fleet.vmOrderFault = 'late';
		void system.startWave('wave-1', [...listVms(system, 'south').slice(0, cap), ...listVms(system, 'north')], cap);
		// Each of these orders is waited for, since none is answered.
		await clock.run((cap * vmOrderTimeoutMs) - 300);
		killHolder(system, 'south', delayFence);
		await clock.run(300);
		fleet.vmOrderFault = undefined;
		let maxDown = 0;
		for (let ms = 0; ms < unopenedMs - 5000; ms += sampleMs) {
			await clock.run(sampleMs);
			maxDown = Math.max(maxDown, fleet.listVms().filter(({state}) => state === 'upkeep').length);
		}

		t.is(maxDown, cap);
		t.true((await readBegun(system, 'wave-1')).length >= 6);
		t.deepEqual(fleet.violations, []);
	});
}

// Guards against orders on a partial view after a takeover, when pools are opened one after the other.
for (const delayMs of [20, 300, 1500]) {
	test(`a new holder orders no VM before a pool is open that opens ${delayMs} ms after the others`, async t => {
		const lines: string[] = [];
		const system = await EmulatedSystem.create({
			seed: 7, pools: [['north', 5], ['south', 5], ['west', 12]], write(line) {
				lines.push(line);
			},
		});
		const {clock} = system;
		await clock.run(warmUpMs);
		lines.length = 0;
		killHolder(system, 'south', delayFence, delayMs);
		void system.submit([createLastingStep({count: 9, resources: {cpu: 6000, memory: 100, gpu: 0}})], 1000, {pool: 'north'});
		void system.startWave('wave-1', listVms(system, 'west'), 2);
		await clock.run(takeoverMs);
		const events = lines.map(line => JSON.parse(line) as Readonly<Record<string, unknown>>);
		const openedAt = events.findIndex(({message, service}) => message === serviceLoaded && service === 'south');
		const orderedAt = orderMessages.map(order => events.findIndex(({message}) => message === order));
		t.not(openedAt, -1);
		t.true(orderedAt.every(position => position > openedAt));
	});
}

// Guards against upkeeps that end runs of an earlier holder in a pool which the configuration has no longer, and against waves that such a pool holds up for good.
test('a wave leaves the VMs of a removed pool alone until the runs of earlier holders there have ended', async t => {
	const system = await EmulatedSystem.create({seed: 7, pools: [['north', 6], ['south', 6]]});
	const {clock, fleet, tables} = system;
	await clock.run(warmUpMs);
	void system.submit([createLastingStep({count: 6, mayMiss: 1})], 1000, {pool: 'south'});
	await clock.run(3000);
	const configuration = system.holder!.watcher.configuration!;
	void tables.commit({checks: [], writes: [{table: 'op', key: 'config', value: {...configuration, version: 9, pools: configuration.pools.filter(({name}) => name as string !== 'south')}}]});
	await clock.run(1000);
	system.killEntry(system.holder!);
	void system.startWave('wave-1', [...listVms(system, 'south'), ...listVms(system, 'north')], 2);
	await clock.run(unopenedMs);
	t.is((await readBegun(system, 'wave-1')).length, 12);
	t.deepEqual(fleet.violations, []);
});
