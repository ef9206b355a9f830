import {type VmId} from '@tamarackwind/core';
import test from 'ava';
import {createStep, EmulatedSystem, sparePool} from '../src/index.js';

const outageMs = 60_000;
/** Time in which a reserve is lent and the VM has arrived: that of the wait, of a move, and of the passes between them, in milliseconds. */
const maxLoanMs = 15_000;

type Case = {readonly name: string; readonly apply: (system: EmulatedSystem, vm: VmId) => void};

const cases: readonly Case[] = [
	{
		name: 'whose workers cannot be reached', apply({fleet}, vm) {
			fleet.cutPath(vm, outageMs);
		},
	},
	{
		name: 'whose workers turn calls away', apply({fleet}, vm) {
			fleet.shedCalls(vm, outageMs);
		},
	},
];

// Guards against reserves that are kept from accepted work for as long as its own pool has VMs but no worker for it: such work is not told to wait for room.
for (const {name, apply} of cases) {
	test(`a job of a pool ${name} runs on a VM of another pool's reserve`, async t => {
		const system = await EmulatedSystem.create({seed: 7, pools: [['north', 2], ['south', 5], [sparePool, 0]]});
		const {clock, fleet} = system;
		await clock.run(4000);
		for (const {id} of fleet.listVms().filter(({pool}) => pool as string === 'north')) {
			apply(system, id);
		}

		await clock.run(4000);
		const submitted = system.submit([createStep({resources: {cpu: 6000, memory: 100, gpu: 0}})], 60_000, {pool: 'north'});
		await clock.run(maxLoanMs);
		t.is(fleet.countRunning(await submitted), 1);
	});
}

// Guards against loans that leave a pool only with VMs whose workers take no work.
test('a job runs beside a pool with too much work, although most workers of its own pool cannot be reached', async t => {
	const system = await EmulatedSystem.create({seed: 7, pools: [['north', 6], ['south', 6], [sparePool, 0]]});
	const {clock, fleet} = system;
	await clock.run(4000);
	for (const {id} of fleet.listVms().filter(({pool}) => pool as string === 'south').slice(0, 4)) {
		fleet.cutPath(id, outageMs);
	}

	for (let job = 0; job < 10; job++) {
		void system.submit([createStep({count: 60, resources: {cpu: 6000, memory: 100, gpu: 0}})], 4000, {pool: 'north'});
	}

	await clock.run(30_000);
	const submitted = system.submit([createStep({isLongRunning: true, resources: {cpu: 1000, memory: 100, gpu: 0}})], 1000, {pool: 'south'});
	await clock.run(9000);
	t.is(fleet.countRunning(await submitted), 1);
});
