import {ManualClock, type CallerId} from '@tamarackwind/core';
import {defaultPoolValues, workClasses, type WorkClass} from '@tamarackwind/settings';
import test from 'ava';
import fc from 'fast-check';
import {ShareLedger, type Claimant} from '../src/index.js';

const {shares} = defaultPoolValues;
const total = 64;

type Use = {readonly workClass: WorkClass; readonly caller: string; readonly slots: number};

function createClaimant(workClass: WorkClass, caller: string, weight = 1): Claimant {
	return {
		workClass, caller: caller as CallerId, weight, waitingSince: 0,
	};
}

const cases: Array<{readonly name: string; readonly uses: Use[]; readonly claimants: Claimant[]; readonly expected: string}> = [
	{
		name: 'a class below its floor comes first',
		uses: [{workClass: 'urgent', caller: 'u', slots: 16}, {workClass: 'batch', caller: 'b', slots: 6}],
		claimants: [createClaimant('urgent', 'u'), createClaimant('batch', 'b')],
		expected: 'b',
	},
	{
		name: 'above the floors the weights decide',
		uses: [{workClass: 'urgent', caller: 'u', slots: 24}, {workClass: 'interactive', caller: 'i', slots: 16}],
		claimants: [createClaimant('interactive', 'i'), createClaimant('urgent', 'u')],
		expected: 'u',
	},
	{
		name: 'the caller that holds least comes first',
		uses: [{workClass: 'batch', caller: 'x', slots: 3}, {workClass: 'batch', caller: 'y', slots: 2}],
		claimants: [createClaimant('batch', 'x'), createClaimant('batch', 'y')],
		expected: 'y',
	},
	{
		name: 'a caller of twice the weight may hold twice as much',
		uses: [{workClass: 'batch', caller: 'x', slots: 3}, {workClass: 'batch', caller: 'y', slots: 2}],
		claimants: [createClaimant('batch', 'x', 2), createClaimant('batch', 'y')],
		expected: 'x',
	},
];

for (const {name, uses, claimants, expected} of cases) {
	test(name, t => {
		const ledger = ShareLedger.create(ManualClock.create());
		for (const {workClass, caller, slots} of uses) {
			for (let index = 0; index < slots; index++) {
				ledger.beginUse(workClass, caller as CallerId, 1);
			}
		}

		t.is(ledger.rankClaimants(claimants, {total, free: 20}, shares)[0]?.caller, expected as CallerId);
	});
}

test('callers that keep to their usual use come before a flood of many others', async t => {
	const clock = ManualClock.create();
	const ledger = ShareLedger.create(clock);
	ledger.setUsualSlots('batch', 'usual' as CallerId, 2);
	await clock.advance(10_000);
	ledger.beginUse('batch', 'usual' as CallerId, 1);
	const flood = Array.from({length: 130}, (_, index) => createClaimant('batch', `flood-${index}`));
	const rank = (): Claimant | undefined => ledger.rankClaimants([...flood, createClaimant('batch', 'usual')], {total, free: 1}, shares)[0];
	t.is(rank()?.caller, 'usual' as CallerId);
	for (let index = 0; index < 1000; index++) {
		ledger.beginUse('batch', 'usual' as CallerId, 1);
	}

	t.not(rank()?.caller, 'usual' as CallerId, 'no longer once it takes far more than usual');
});

test('work that gives its slots back late leaves room for classes that were there lately', async t => {
	const clock = ManualClock.create();
	const ledger = ShareLedger.create(clock);
	for (let index = 0; index < 10; index++) {
		ledger.beginUse('urgent', 'u' as CallerId, 1);
	}

	for (let index = 0; index < 10; index++) {
		ledger.endUse('urgent', 'u' as CallerId, 100);
	}

	for (let index = 0; index < 40; index++) {
		ledger.beginUse('batch', 'b' as CallerId, 1);
	}

	await clock.advance(20_000);
	const isAllowed = (free: number): boolean => ledger.rankClaimants([createClaimant('batch', 'b')], {total, free}, shares).length > 0;
	t.true(isAllowed(12));
	t.false(isAllowed(5), 'urgent work may want ten slots at once');
	await clock.advance(60_000);
	t.true(isAllowed(5), 'not when it stayed away for a minute');
});

/** What a plain central queue would give each class that always waits: its floor, and the rest by weight. */
function computeFair(waiting: readonly WorkClass[]): Map<WorkClass, number> {
	const fixed = new Set<WorkClass>();
	for (;;) {
		const free = waiting.filter(workClass => !fixed.has(workClass));
		const left = 1 - [...fixed].reduce((sum, workClass) => sum + shares[workClass].floor, 0);
		const weights = free.reduce((sum, workClass) => sum + shares[workClass].weight, 0);
		const below = free.filter(workClass => left * shares[workClass].weight / weights < shares[workClass].floor);
		if (below.length === 0) {
			return new Map(waiting.map(workClass => [workClass, total * (fixed.has(workClass) ? shares[workClass].floor : left * shares[workClass].weight / weights)]));
		}

		for (const workClass of below) {
			fixed.add(workClass);
		}
	}
}

test('classes and callers that always wait hold what a plain central queue gives them, whatever their holding times', async t => {
	await t.notThrowsAsync(fc.assert(fc.asyncProperty(
		fc.subarray([...workClasses], {minLength: 1}),
		fc.array(fc.integer({min: 20, max: 2000}), {minLength: 2, maxLength: 6}),
		async (waiting, holdTimes) => {
			const clock = ManualClock.create();
			const ledger = ShareLedger.create(clock);
			const claimants = waiting.flatMap(workClass => holdTimes.map((_, caller) => createClaimant(workClass, String(caller))));
			const running: Array<Claimant & {readonly endsAt: number; readonly startedAt: number}> = [];
			const held = new Map<string, number>();
			const steps = 600;
			for (let step = 0; step < steps; step++) {
				const now = step * 20;
				for (const ended of running.filter(run => run.endsAt <= now)) {
					running.splice(running.indexOf(ended), 1);
					ledger.endUse(ended.workClass, ended.caller, now - ended.startedAt);
				}

				while (running.length < total) {
					const first = ledger.rankClaimants(claimants, {total, free: total - running.length}, shares)[0]!;
					ledger.beginUse(first.workClass, first.caller, 1);
					running.push({...first, startedAt: now, endsAt: now + holdTimes[Number(first.caller)]!});
				}

				for (const {workClass, caller} of step < steps / 2 ? [] : running) {
					held.set(`${workClass} ${caller}`, (held.get(`${workClass} ${caller}`) ?? 0) + (2 / steps));
				}

				await clock.advance(20);
			}

			for (const [workClass, slots] of computeFair(waiting)) {
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
