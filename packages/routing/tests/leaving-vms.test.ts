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

const cases: Array<{readonly name: string; readonly observe: (first: LeavingVms) => void}> = [
	{
		name: 'its own response', observe(first) {
			first.markLeaving('vm-1' as VmId);
		},
	},
	{
		name: 'the pool list at one entry', observe(first) {
			first.updateListing(north, [other]);
		},
	},
];

for (const {name, observe} of cases) {
	test(`a VM marked as leaving by ${name} gets no new work at any entry`, async t => {
		const clock = ManualClock.create();
		const hub = MemoryPeerHub.create(clock, 1);
		const [first, second] = ['entry-1', 'entry-2'].map(entry => LeavingVms.create({clock, bus: hub.createBus(entry as EntryId)}));
		first!.updateListing(north, [createVm(north), other]);
		second!.updateListing(north, [createVm(north), other]);
		t.false(second!.isLeaving(north, createVm(north)));
		observe(first!);
		await clock.advance(3000);
		t.true(second!.isLeaving(north, createVm(north)));
		t.false(second!.isLeaving(north, other));
		t.false(second!.isLeaving(north, createVm(north, '2')), 'a new incarnation is not leaving');
		t.false(second!.isLeaving(south, createVm(south)), 'it may serve its new pool');
	});
}

test('a VM that is listed again may serve again', async t => {
	const clock = ManualClock.create();
	const leaving = LeavingVms.create({clock, bus: MemoryPeerHub.create(clock).createBus('entry-1' as EntryId)});
	leaving.updateListing(north, [createVm(north), other]);
	leaving.markLeaving('vm-1' as VmId);
	t.true(leaving.isLeaving(north, createVm(north)));
	leaving.updateListing(north, [other]);
	leaving.updateListing(north, [createVm(north), other]);
	t.false(leaving.isLeaving(north, createVm(north)));
	leaving.markLeaving('vm-1' as VmId);
	await clock.advance(60_000);
	t.false(leaving.isLeaving(north, createVm(north)), 'the mark expires while the VM is still listed');
});
