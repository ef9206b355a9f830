import {
	ManualClock, type PoolName, type VmId, type ZoneName,
} from '@tamarackwind/core';
import {noResources} from '@tamarackwind/scheduling';
import test from 'ava';
import {
	VmOccupancies, type FleetVm, type PoolScheduler, type Task, type VmOccupancy, type WorkerSession,
} from '../src/index.js';

const entryReturnMs = 2500;
const worker = 'worker-1' as VmId;

type Case = {
	readonly name: string;
	readonly worker?: VmId;
	readonly isKnown?: boolean;
	readonly doubtfulTasks?: number;
	/** Age of the latest reading of the registry at each update, in milliseconds. */
	readonly readingAgeMs?: number;
	/** Time for which the VM has been listed, in milliseconds. */
	readonly listedMs: number;
	readonly status: VmOccupancy['status'];
	readonly tasks: number;
};

const cases: readonly Case[] = [
	{
		name: 'a VM without a worker', listedMs: 0, status: 'assumed', tasks: 0,
	},
	{
		name: 'a VM whose worker has a session', worker, isKnown: true, listedMs: 0, status: 'listed', tasks: 1,
	},
	{
		name: 'a VM whose worker is missing', worker, listedMs: entryReturnMs - 100, status: 'unknown', tasks: 0,
	},
	{
		name: 'a VM whose worker is missing for longer than an entry takes to return', worker, listedMs: entryReturnMs + 100, status: 'assumed', tasks: 0,
	},
	{
		name: 'a VM whose worker is missing and may run tasks', worker, doubtfulTasks: 2, listedMs: entryReturnMs + 100, status: 'assumed', tasks: 2,
	},
	{
		name: 'a VM whose worker is missing from an old reading of the registry', worker, readingAgeMs: 5000, listedMs: 10 * entryReturnMs, status: 'unknown', tasks: 0,
	},
];

const vm: FleetVm = {
	id: 'vm-1' as VmId, pool: 'north' as PoolName, state: 'up', zone: 'z' as ZoneName, labels: [], capacity: noResources, worker,
};

/** Creates the occupancies of a pool with at most one session and with doubtful tasks. */
function createOccupancies(clock: ManualClock, findSession: () => WorkerSession | undefined, {doubtfulTasks = 0, readingAgeMs = 0}: Partial<Case> = {}): VmOccupancies {
	const pool = {findWorkerSession: findSession, listDoubtfulTasks: () => Array.from({length: doubtfulTasks}, () => ({} as unknown as Task))} as unknown as PoolScheduler;
	return VmOccupancies.create({
		clock, entryReturnMs, getRegistryReadAt: () => clock.readMonotonic() - readingAgeMs, listPools: () => [pool], findPool: () => undefined,
	});
}

const session = {tasks: new Set([{} as unknown as Task])} as unknown as WorkerSession;

// Guards against VMs that count as empty because their workers are not known (review/8).
for (const {name, worker: listed, isKnown = false, listedMs, status, tasks, ...options} of cases) {
	test(`${name} after ${listedMs} ms is ${status} with ${tasks} tasks`, async t => {
		const clock = ManualClock.create();
		const occupancies = createOccupancies(clock, () => isKnown ? session : undefined, options);
		for (let ms = 0; ms <= listedMs; ms += 100) {
			occupancies.update([{...vm, worker: listed}]);
			await clock.advance(100);
		}

		const occupancy = occupancies.describe({...vm, worker: listed});
		t.is(occupancy.status, status);
		t.is(occupancy.tasks.size, tasks);
	});
}

test('a worker that has returned and is missing again counts anew', async t => {
	const clock = ManualClock.create();
	let isKnown = false;
	const occupancies = createOccupancies(clock, () => isKnown ? session : undefined);
	for (const isKnownNow of [false, true, false]) {
		isKnown = isKnownNow;
		occupancies.update([vm]);
		await clock.advance(entryReturnMs - 100);
	}

	t.is(occupancies.describe(vm).status, 'unknown');
});
