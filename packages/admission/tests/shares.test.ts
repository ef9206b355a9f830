import {ManualClock, type CallerId} from '@tamarackwind/core';
import {defaultPoolValues, workClasses, type WorkClass} from '@tamarackwind/settings';
import test from 'ava';
import fc from 'fast-check';
import {ShareTracker, type WaitingFlow} from '../src/index.js';

const {shares} = defaultPoolValues;
const total = 64;

type Usage = {readonly workClass: WorkClass; readonly caller: string; readonly slots: number};

function createFlow(workClass: WorkClass, caller: string, weight = 1): WaitingFlow {
	return {
		workClass, caller: caller as CallerId, weight, waitingSince: 0,
	};
}

const cases: Array<{readonly name: string; readonly usages: Usage[]; readonly flows: WaitingFlow[]; readonly expected: string}> = [
	{
		name: 'a class below its floor ranks first',
		usages: [{workClass: 'urgent', caller: 'u', slots: 16}, {workClass: 'batch', caller: 'b', slots: 6}],
		flows: [createFlow('urgent', 'u'), createFlow('batch', 'b')],
		expected: 'b',
	},
	{
		name: 'above the floors, classes rank by usage per weight',
		usages: [{workClass: 'urgent', caller: 'u', slots: 24}, {workClass: 'interactive', caller: 'i', slots: 16}],
		flows: [createFlow('interactive', 'i'), createFlow('urgent', 'u')],
		expected: 'u',
	},
	{
		name: 'the caller with the fewest slots ranks first',
		usages: [{workClass: 'batch', caller: 'x', slots: 3}, {workClass: 'batch', caller: 'y', slots: 2}],
		flows: [createFlow('batch', 'x'), createFlow('batch', 'y')],
		expected: 'y',
	},
	{
		name: 'a caller with twice the weight may hold twice the slots',
		usages: [{workClass: 'batch', caller: 'x', slots: 3}, {workClass: 'batch', caller: 'y', slots: 2}],
		flows: [createFlow('batch', 'x', 2), createFlow('batch', 'y')],
		expected: 'x',
	},
];

for (const {name, usages, flows, expected} of cases) {
	test(name, t => {
		const tracker = ShareTracker.create(ManualClock.create());
		for (const {workClass, caller, slots} of usages) {
			for (let index = 0; index < slots; index++) {
				tracker.beginUse(workClass, caller as CallerId, 1);
			}
		}

		t.is(tracker.rankFlows(flows, {total, free: 20}, shares)[0]?.caller, expected as CallerId);
	});
}

test('callers within their average usage rank before a flood of other callers', async t => {
	const clock = ManualClock.create();
	const tracker = ShareTracker.create(clock);
	tracker.setAverageSlots('batch', 'usual' as CallerId, 2);
	await clock.advance(10_000);
	tracker.beginUse('batch', 'usual' as CallerId, 1);
	const flood = Array.from({length: 130}, (_, index) => createFlow('batch', `flood-${index}`));
	const rank = (): WaitingFlow | undefined => tracker.rankFlows([...flood, createFlow('batch', 'usual')], {total, free: 1}, shares)[0];
	t.is(rank()?.caller, 'usual' as CallerId);
	for (let index = 0; index < 1000; index++) {
		tracker.beginUse('batch', 'usual' as CallerId, 1);
	}

	t.not(rank()?.caller, 'usual' as CallerId, 'not after it exceeds its average usage');
});

test('long-running work leaves a reserve for classes with recent usage', async t => {
	const clock = ManualClock.create();
	const tracker = ShareTracker.create(clock);
	for (let index = 0; index < 10; index++) {
		tracker.beginUse('urgent', 'u' as CallerId, 1);
	}

	for (let index = 0; index < 10; index++) {
		tracker.endUse('urgent', 'u' as CallerId, 100);
	}

	for (let index = 0; index < 40; index++) {
		tracker.beginUse('batch', 'b' as CallerId, 1);
	}

	await clock.advance(20_000);
	const isAllowed = (free: number): boolean => tracker.rankFlows([createFlow('batch', 'b')], {total, free}, shares).length > 0;
	t.true(isAllowed(12));
	t.false(isAllowed(5), 'ten slots are reserved for urgent work');
	await clock.advance(60_000);
	t.true(isAllowed(5), 'the reserve expires after a minute without urgent work');
});

/** Computes the slots of each permanently backlogged class under a central queue: its floor, and the rest by weight. */
function computeFairSlots(waiting: readonly WorkClass[]): Map<WorkClass, number> {
	const classesAtFloor = new Set<WorkClass>();
	for (;;) {
		const otherClasses = waiting.filter(workClass => !classesAtFloor.has(workClass));
		const remainingShare = 1 - [...classesAtFloor].reduce((sum, workClass) => sum + shares[workClass].floor, 0);
		const weights = otherClasses.reduce((sum, workClass) => sum + shares[workClass].weight, 0);
		const belowFloor = otherClasses.filter(workClass => remainingShare * shares[workClass].weight / weights < shares[workClass].floor);
		if (belowFloor.length === 0) {
			return new Map(waiting.map(workClass => [workClass, total * (classesAtFloor.has(workClass) ? shares[workClass].floor : remainingShare * shares[workClass].weight / weights)]));
		}

		for (const workClass of belowFloor) {
			classesAtFloor.add(workClass);
		}
	}
}

test('permanently backlogged classes and callers get the slots of a central queue, regardless of their holding times', async t => {
	await t.notThrowsAsync(fc.assert(fc.asyncProperty(
		fc.subarray([...workClasses], {minLength: 1}),
		fc.array(fc.integer({min: 20, max: 2000}), {minLength: 2, maxLength: 6}),
		async (waiting, holdTimes) => {
			const clock = ManualClock.create();
			const tracker = ShareTracker.create(clock);
			const flows = waiting.flatMap(workClass => holdTimes.map((_, caller) => createFlow(workClass, String(caller))));
			const running: Array<WaitingFlow & {readonly endsAt: number; readonly startedAt: number}> = [];
			const held = new Map<string, number>();
			const steps = 600;
			for (let step = 0; step < steps; step++) {
				const now = step * 20;
				for (const ended of running.filter(run => run.endsAt <= now)) {
					running.splice(running.indexOf(ended), 1);
					tracker.endUse(ended.workClass, ended.caller, now - ended.startedAt);
				}

				while (running.length < total) {
					const first = tracker.rankFlows(flows, {total, free: total - running.length}, shares)[0]!;
					tracker.beginUse(first.workClass, first.caller, 1);
					running.push({...first, startedAt: now, endsAt: now + holdTimes[Number(first.caller)]!});
				}

				for (const {workClass, caller} of step < steps / 2 ? [] : running) {
					held.set(`${workClass} ${caller}`, (held.get(`${workClass} ${caller}`) ?? 0) + (2 / steps));
				}

				await clock.advance(20);
			}

			for (const [workClass, slots] of computeFairSlots(waiting)) {
				for (const caller of holdTimes.keys()) {
					const actual = held.get(`${workClass} ${caller}`) ?? 0;
					if (Math.abs(actual - (slots / holdTimes.length)) > Math.max(1.5, 0.15 * slots / holdTimes.length)) {
						throw new Error(`${workClass} ${caller} held ${actual} of ${slots / holdTimes.length}`);
					}
				}
			}
		},
	), {seed: 11, numRuns: 15}));
});
