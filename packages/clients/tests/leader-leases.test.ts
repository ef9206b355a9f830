import {ManualClock, SeededRandom} from '@tamarackwind/core';
import test from 'ava';
import fc from 'fast-check';
import {LeaderLease, MemoryTableService} from '../src/index.js';

const termMs = 1000;

function createLeases(count: number, seed = 1): {clock: ManualClock; tables: MemoryTableService; leases: LeaderLease[]} {
	const clock = ManualClock.create();
	const tables = MemoryTableService.create();
	const leases = Array.from({length: count}, (_, index) => LeaderLease.create({
		tables, clock, random: SeededRandom.create(seed + index), role: 'fleet', holder: `entry-${index + 1}`, termMs,
	}));
	return {clock, tables, leases};
}

async function refreshRepeatedly(clock: ManualClock, leases: readonly LeaderLease[], rounds: number): Promise<void> {
	for (let round = 0; round < rounds; round++) {
		await clock.advance(100);
		for (const lease of leases) {
			await lease.refresh();
		}
	}
}

test('one of nine processes acquires the lease, and another does after the holder stops renewing it', async t => {
	const {clock, leases} = createLeases(9);
	await refreshRepeatedly(clock, leases, 10);
	const holders = leases.filter(lease => lease.isHeld);
	t.is(holders.length, 1);

	const others = leases.filter(lease => lease !== holders[0]);
	await refreshRepeatedly(clock, others, 30);
	t.is(leases.filter(lease => lease.isHeld).length, 1);
	t.false(holders[0]!.isHeld);
});

test('a released lease is acquired before the term ends', async t => {
	const {clock, leases} = createLeases(2);
	await refreshRepeatedly(clock, leases.slice(0, 1), 10);
	await refreshRepeatedly(clock, leases.slice(1), 1);
	await leases[0]!.release();
	await refreshRepeatedly(clock, leases.slice(1), 7);
	t.true(leases[1]!.isHeld);
});

test('a write of a holder that was paused beyond its term conflicts', async t => {
	const {clock, tables, leases} = createLeases(2);
	await refreshRepeatedly(clock, leases.slice(0, 1), 10);
	const {check} = leases[0]!;
	await refreshRepeatedly(clock, leases.slice(1), 30);
	const outcome = await tables.commit({checks: [check!], writes: [{table: 'x', key: 'x', value: 1}]});
	t.is(outcome.status, 'conflict');
	t.true(leases[1]!.isHeld);
});

test('a takeover that races with a renewal conflicts', async t => {
	const {clock, tables, leases} = createLeases(2);
	await refreshRepeatedly(clock, leases.slice(0, 1), 10);
	const commit = tables.commit.bind(tables);
	let races = 0;
	tables.commit = async transaction => {
		tables.commit = commit;
		races++;
		await leases[0]!.refresh();
		return commit(transaction);
	};

	await refreshRepeatedly(clock, leases.slice(1), 15);
	t.is(races, 1);
	t.false(leases[1]!.isHeld);
	t.true(leases[0]!.isHeld);
});

test('after an outage of the tables the holder renews before another process acquires the lease', async t => {
	const {clock, leases} = createLeases(2);
	await refreshRepeatedly(clock, leases, 10);
	const [holder, other] = leases[0]!.isHeld ? [leases[0]!, leases[1]!] : [leases[1]!, leases[0]!];
	await clock.advance(3 * termMs);
	t.false(await other.refresh());
	t.true(await holder.refresh());
	await refreshRepeatedly(clock, leases, 30);
	t.true(holder.isHeld);
	t.is(holder.epoch, 1);
});

test('a takeover whose response was lost is detected', async t => {
	const {clock, tables, leases} = createLeases(1);
	await leases[0]!.refresh();
	await clock.advance(600);
	tables.faults.setFaults({lostAnswers: 1});
	await t.throwsAsync(leases[0]!.refresh());
	await clock.advance(100);
	t.true(await leases[0]!.refresh());
	t.is(leases[0]!.epoch, 1);
});

test('at most one lease is held at a time despite pauses and lost responses', async t => {
	const roundArbitrary = fc.record({advanceMs: fc.integer({min: 1, max: 700}), runningFlags: fc.array(fc.boolean(), {minLength: 3, maxLength: 3}), lostAnswers: fc.integer({min: 0, max: 1})});
	await t.notThrowsAsync(async () => fc.assert(fc.asyncProperty(fc.array(roundArbitrary, {maxLength: 60}), async rounds => {
		const {clock, tables, leases} = createLeases(3, 7);
		for (const {advanceMs, runningFlags, lostAnswers} of rounds) {
			await clock.advance(advanceMs);
			tables.faults.setFaults({lostAnswers});
			for (const [index, lease] of leases.entries()) {
				if (runningFlags[index]) {
					await lease.refresh().catch(() => false);
				}
			}

			if (leases.filter(lease => lease.isHeld).length > 1) {
				return false;
			}
		}

		return true;
	}), {seed: 5, numRuns: 200}));
});

const restartCases: ReadonlyArray<[string, boolean, string, boolean]> = [
	['a restarted holder acquires its lease again immediately', true, 'entry-1', true],
	['another process waits until the term ends', true, 'entry-2', false],
	['a process whose name is not unique waits until the term ends', false, 'entry-1', false],
];

for (const [name, isHolderUnique, holder, isHeld] of restartCases) {
	test(name, async t => {
		const {clock, tables, leases} = createLeases(1);
		await refreshRepeatedly(clock, leases, 10);
		t.true(leases[0]!.isHeld);
		const restarted = LeaderLease.create({
			tables, clock, random: SeededRandom.create(9), role: 'fleet', holder, termMs, isHolderUnique,
		});
		t.is(await restarted.refresh(), isHeld);
		t.is(restarted.epoch, isHeld ? 2 : undefined);
	});
}

type ReleaseCase = {readonly name: string; readonly cores: number; readonly withinMs: number};

const releaseCases: readonly ReleaseCase[] = [
	{
		name: 'of one core', cores: 1, withinMs: 100,
	},
	{
		name: 'of a third of a core', cores: 1 / 3, withinMs: 300,
	},
];

for (const {name, cores, withinMs} of releaseCases) {
	test(`a watching candidate ${name} acquires a released lease immediately`, async t => {
		const clock = ManualClock.create();
		const tables = MemoryTableService.create(clock);
		const [holder, candidate] = ['entry-1', 'entry-2'].map(holder => LeaderLease.create({
			tables, clock, random: SeededRandom.create(4), role: 'fleet', holder, termMs, cores,
		})) as [LeaderLease, LeaderLease];
		await holder.refresh();
		await clock.advance(500);
		t.true(await holder.refresh());
		t.false(await candidate.watch(tables, 500));
		const watch = candidate.watch(tables, 500);
		await clock.advance(1);
		await holder.release();
		await clock.advance(1);
		t.false(await watch);
		const acquisition = candidate.watch(tables, 500);
		await clock.advance(withinMs);
		t.true(await acquisition);
	});
}
