import {ManualClock, type EntryId, type PoolName} from '@tamarackwind/core';
import {MemoryPeerHub} from '@tamarackwind/peer';
import {type VmRecord} from '@tamarackwind/clients';
import test from 'ava';
import {HealthTracker} from '../src/index.js';

const pool = 'north' as PoolName;

function createVm(index: number, incarnation = '1'): VmRecord {
	return {
		vmId: `vm-${index}`, kind: 'worker', incarnation, address: '127.0.0.1', port: 1, region: 'r', zone: 'z', rack: 'k', state: 'live', pool, cores: 1, memoryMb: 1, accelerators: 0,
	};
}

const workers = Array.from({length: 8}, (_, index) => createVm(index + 1));

type Fixture = {readonly clock: ManualClock; readonly trackers: HealthTracker[]};

function createTrackers(): Fixture {
	const clock = ManualClock.create();
	const hub = MemoryPeerHub.create(clock);
	const trackers = ['entry-1', 'entry-2'].map(name => {
		const tracker = HealthTracker.create({clock, bus: hub.createBus(name as EntryId)});
		tracker.noteListing(pool, workers, 0.25);
		return tracker;
	});
	return {clock, trackers};
}

type Run = {readonly vm: number; readonly caller: string; readonly isSuccess: boolean; readonly times?: number};

const good = (caller: string, vms: readonly number[]): Run[] => vms.map(vm => ({vm, caller, isSuccess: true}));
const bad = (caller: string, vms: readonly number[], times = 1): Run[] => vms.map(vm => ({
	vm, caller, isSuccess: false, times,
}));

const cases: Array<{readonly name: string; readonly runs: Run[]; readonly expected: number[]}> = [
	{name: 'a worker that fails what succeeds elsewhere', runs: [...good('a', [1, 2]), ...bad('a', [3], 3)], expected: [3]},
	{name: 'a worker that fails three lone callers', runs: [...bad('a', [3]), ...bad('b', [3]), ...bad('c', [3])], expected: [3]},
	{name: 'two failures', runs: [...good('a', [1, 2]), ...bad('a', [3], 2)], expected: []},
	{name: 'a worker that mostly succeeds', runs: [...good('a', [3, 3, 3, 3, 1]), ...bad('a', [3], 3)], expected: []},
	{name: 'a request that breaks each worker it meets', runs: bad('poison', [1, 2, 3, 4, 5, 6, 7, 8]), expected: []},
	{name: 'a request that is sent again and again to break each worker', runs: Array.from({length: 5}, () => bad('poison', [1, 2, 3, 4, 5, 6, 7, 8])).flat(), expected: []},
	{name: 'a lone caller that fails on one worker', runs: bad('poison', [3], 9), expected: []},
	{name: 'four failing workers, of which a quarter of the pool may go', runs: [...good('a', [5, 6, 7, 8]), ...bad('a', [1, 2, 3, 4], 5)], expected: [1, 2]},
];

for (const {name, runs, expected} of cases) {
	test(`set aside after ${name}`, async t => {
		const {clock, trackers: [one, other]} = createTrackers();
		for (const {vm, caller, isSuccess, times = 1} of runs) {
			for (let index = 0; index < times; index++) {
				one!.noteOutcome(`vm-${vm}`, caller, isSuccess);
			}
		}

		one!.flush();
		await clock.advance(10);
		for (const tracker of [one!, other!]) {
			t.deepEqual(workers.filter(({vmId}) => tracker.isSetAside(vmId)).map(({vmId}) => vmId), expected.map(vm => `vm-${vm}`));
		}
	});
}

test('failures at several entries count together', async t => {
	const {clock, trackers} = createTrackers();
	for (const [index, tracker] of trackers.entries()) {
		tracker.noteOutcome('vm-1', 'a', true);
		tracker.noteOutcome('vm-3', 'a', false);
		tracker.noteOutcome('vm-3', index === 0 ? 'a' : 'b', false);
	}

	t.false(trackers.some(tracker => tracker.isSetAside('vm-3')));
	trackers[0]!.flush();
	trackers[1]!.flush();
	await clock.advance(10);
	t.true(trackers.every(tracker => tracker.isSetAside('vm-3')));
});

function failWorker(tracker: HealthTracker): void {
	tracker.noteOutcome('vm-1', 'a', true);
	for (let index = 0; index < 3; index++) {
		tracker.noteOutcome('vm-3', 'a', false);
	}
}

test('a worker is taken back by three probes that succeed, one at a time', async t => {
	const {clock, trackers: [tracker]} = createTrackers();
	failWorker(tracker!);
	t.true(tracker!.isSetAside('vm-3'));
	t.false(tracker!.isProbeDue('vm-3', true));
	await clock.advance(1000);
	for (let probe = 0; probe < 3; probe++) {
		t.true(tracker!.isSetAside('vm-3'));
		t.true(tracker!.isProbeDue('vm-3', true));
		t.false(tracker!.isProbeDue('vm-3', false));
		tracker!.beginProbe('vm-3');
		t.false(tracker!.isProbeDue('vm-3', true));
		tracker!.noteOutcome('vm-3', 'a', true);
		await clock.advance(200);
	}

	t.false(tracker!.isSetAside('vm-3'));
});

test('failed probes come ever more rarely, and work that may not run twice probes only when no other does', async t => {
	const {clock, trackers: [tracker]} = createTrackers();
	failWorker(tracker!);
	let probes = 0;
	for (let second = 0; second < 60; second++) {
		await clock.advance(1000);
		if (tracker!.isProbeDue('vm-3', true)) {
			probes++;
			tracker!.beginProbe('vm-3');
			tracker!.noteOutcome('vm-3', 'a', false);
		}
	}

	t.true(probes >= 3 && probes <= 6);
	await clock.advance(200_000);
	t.true(tracker!.isProbeDue('vm-3', false));
});

test('a new incarnation starts clean', t => {
	const {trackers: [tracker]} = createTrackers();
	failWorker(tracker!);
	tracker!.noteListing(pool, workers.map((vm, index) => index === 2 ? createVm(3, '2') : vm), 0.25);
	t.false(tracker!.isSetAside('vm-3'));
	tracker!.noteOutcome('vm-3', 'a', false);
	t.false(tracker!.isSetAside('vm-3'));
});
