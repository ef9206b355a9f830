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
		tracker.updateListing(pool, workers, 0.25);
		return tracker;
	});
	return {clock, trackers};
}

type OutcomeGroup = {readonly vm: number; readonly caller: string; readonly isSuccess: boolean; readonly times?: number};

const createSuccesses = (caller: string, vms: readonly number[]): OutcomeGroup[] => vms.map(vm => ({vm, caller, isSuccess: true}));
const createFailures = (caller: string, vms: readonly number[], times = 1): OutcomeGroup[] => vms.map(vm => ({
	vm, caller, isSuccess: false, times,
}));

const cases: Array<{readonly name: string; readonly outcomes: OutcomeGroup[]; readonly expected: number[]}> = [
	{name: 'failures on one worker of a caller that succeeds on others', outcomes: [...createSuccesses('a', [1, 2]), ...createFailures('a', [3], 3)], expected: [3]},
	{name: 'failures on one worker of three callers that use no other', outcomes: [...createFailures('a', [3]), ...createFailures('b', [3]), ...createFailures('c', [3])], expected: [3]},
	{name: 'two failures', outcomes: [...createSuccesses('a', [1, 2]), ...createFailures('a', [3], 2)], expected: []},
	{name: 'a worker that mostly succeeds', outcomes: [...createSuccesses('a', [3, 3, 3, 3, 1]), ...createFailures('a', [3], 3)], expected: []},
	{name: 'a request that fails on every worker', outcomes: createFailures('poison', [1, 2, 3, 4, 5, 6, 7, 8]), expected: []},
	{name: 'repeated requests that fail on every worker', outcomes: Array.from({length: 5}, () => createFailures('poison', [1, 2, 3, 4, 5, 6, 7, 8])).flat(), expected: []},
	{name: 'failures on one worker of a single caller that uses no other', outcomes: createFailures('poison', [3], 9), expected: []},
	{name: 'failures on four workers, with at most a quarter of the pool set aside', outcomes: [...createSuccesses('a', [5, 6, 7, 8]), ...createFailures('a', [1, 2, 3, 4], 5)], expected: [1, 2]},
];

for (const {name, outcomes, expected} of cases) {
	test(`workers set aside after ${name}`, async t => {
		const {clock, trackers: [first, second]} = createTrackers();
		for (const {vm, caller, isSuccess, times = 1} of outcomes) {
			for (let index = 0; index < times; index++) {
				first!.recordOutcome(`vm-${vm}`, caller, isSuccess);
			}
		}

		first!.flush();
		await clock.advance(10);
		for (const tracker of [first!, second!]) {
			t.deepEqual(workers.filter(({vmId}) => tracker.isSetAside(vmId)).map(({vmId}) => vmId), expected.map(vm => `vm-${vm}`));
		}
	});
}

test('failures at several entries are added up', async t => {
	const {clock, trackers} = createTrackers();
	for (const [index, tracker] of trackers.entries()) {
		tracker.recordOutcome('vm-1', 'a', true);
		tracker.recordOutcome('vm-3', 'a', false);
		tracker.recordOutcome('vm-3', index === 0 ? 'a' : 'b', false);
	}

	t.false(trackers.some(tracker => tracker.isSetAside('vm-3')));
	trackers[0]!.flush();
	trackers[1]!.flush();
	await clock.advance(10);
	t.true(trackers.every(tracker => tracker.isSetAside('vm-3')));
});

function failWorker(tracker: HealthTracker): void {
	tracker.recordOutcome('vm-1', 'a', true);
	for (let index = 0; index < 3; index++) {
		tracker.recordOutcome('vm-3', 'a', false);
	}
}

test('a worker is restored after three successful probes, one at a time', async t => {
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
		tracker!.recordOutcome('vm-3', 'a', true);
		await clock.advance(200);
	}

	t.false(tracker!.isSetAside('vm-3'));
});

test('failed probes are retried with increasing delays, and non-idempotent requests probe only after a longer delay', async t => {
	const {clock, trackers: [tracker]} = createTrackers();
	failWorker(tracker!);
	let probes = 0;
	for (let second = 0; second < 60; second++) {
		await clock.advance(1000);
		if (tracker!.isProbeDue('vm-3', true)) {
			probes++;
			tracker!.beginProbe('vm-3');
			tracker!.recordOutcome('vm-3', 'a', false);
		}
	}

	t.true(probes >= 3 && probes <= 6);
	await clock.advance(200_000);
	t.true(tracker!.isProbeDue('vm-3', false));
});

test('a new incarnation starts without failures', t => {
	const {trackers: [tracker]} = createTrackers();
	failWorker(tracker!);
	tracker!.updateListing(pool, workers.map((vm, index) => index === 2 ? createVm(3, '2') : vm), 0.25);
	t.false(tracker!.isSetAside('vm-3'));
	tracker!.recordOutcome('vm-3', 'a', false);
	t.false(tracker!.isSetAside('vm-3'));
});
