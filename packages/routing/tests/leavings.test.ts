import {
	ManualClock, type EntryId, type PoolName, type VmId,
} from '@tamarackwind/core';
import {MemoryPeerHub} from '@tamarackwind/peer';
import {type VmRecord} from '@tamarackwind/clients';
import test from 'ava';
import {LeavingVms} from '../src/index.js';

const north = 'north' as PoolName;
const south = 'south' as PoolName;

function createVm(pool: PoolName, incarnation = '1'): VmRecord {
	return {
		vmId: 'vm-1', kind: 'worker', incarnation, address: '127.0.0.1', port: 1, region: 'r', zone: 'z', rack: 'k', state: 'live', pool, cores: 1, memoryMb: 1, accelerators: 0,
	};
}

const other = {...createVm(north), vmId: 'vm-2'};

const cases: Array<{readonly name: string; readonly learn: (one: LeavingVms) => void}> = [
	{
		name: 'an answer of it', learn(one) {
			one.noteLeaving('vm-1' as VmId);
		},
	},
	{
		name: 'the list of one entry', learn(one) {
			one.noteListing(north, [other]);
		},
	},
];

for (const {name, learn} of cases) {
	test(`a VM that leaves gets no new work anywhere once it is known from ${name}`, async t => {
		const clock = ManualClock.create();
		const hub = MemoryPeerHub.create(clock, 1);
		const [one, two] = ['entry-1', 'entry-2'].map(entry => LeavingVms.create({clock, bus: hub.createBus(entry as EntryId)}));
		one!.noteListing(north, [createVm(north), other]);
		two!.noteListing(north, [createVm(north), other]);
		t.false(two!.isLeaving(north, createVm(north)));
		learn(one!);
		await clock.advance(3000);
		t.true(two!.isLeaving(north, createVm(north)));
		t.false(two!.isLeaving(north, other));
		t.false(two!.isLeaving(north, createVm(north, '2')), 'a new incarnation is another VM');
		t.false(two!.isLeaving(south, createVm(south)), 'it may serve the pool that it moved to');
	});
}

test('a VM that comes back to the list may serve again', async t => {
	const clock = ManualClock.create();
	const leaving = LeavingVms.create({clock, bus: MemoryPeerHub.create(clock).createBus('entry-1' as EntryId)});
	leaving.noteListing(north, [createVm(north), other]);
	leaving.noteLeaving('vm-1' as VmId);
	t.true(leaving.isLeaving(north, createVm(north)));
	leaving.noteListing(north, [other]);
	leaving.noteListing(north, [createVm(north), other]);
	t.false(leaving.isLeaving(north, createVm(north)));
	leaving.noteLeaving('vm-1' as VmId);
	await clock.advance(60_000);
	t.false(leaving.isLeaving(north, createVm(north)), 'a list that goes on naming it is believed in the end');
});
