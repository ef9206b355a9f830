import test from 'ava';
import fc from 'fast-check';
import {
	compareRanks, DeadlineOrder, LeastCostOrder, rankJob, type OrderedJob, type PlannedJob,
} from '../src/index.js';

const now = 10_000;
const cpu = 1000;
const seed = 7;
const policy = {
	priority: 0, maxAttempts: 3, slackFactor: 1.6, targetLatencyMs: 600,
};
const [deadlineOrder, leastCostOrder] = [DeadlineOrder.create(), LeastCostOrder.create()];

function createOrdered(fields: Partial<OrderedJob> = {}): OrderedJob {
	return {
		policy, isLongRunning: false, submittedAt: now - 500, criticalPathMs: 1000, remainingMs: 1000, remainingWork: 1000, isDeferred: false, ...fields,
	};
}

const late = {submittedAt: now - 2000};
const expired = {submittedAt: now - 9000};
const ranks: ReadonlyArray<[string, OrderedJob, OrderedJob]> = [
	['long-running jobs come before jobs in time', createOrdered({isLongRunning: true, submittedAt: now}), createOrdered()],
	['the earlier deadline comes first, whatever the work', createOrdered({remainingWork: 9000}), createOrdered({submittedAt: now - 400})],
	['a deferred job comes after all jobs in time, whatever its priority', createOrdered({policy: {...policy, priority: 3}}), createOrdered({isDeferred: true, submittedAt: now - 900})],
	['a deferred job comes before a late one', createOrdered({isDeferred: true}), createOrdered(late)],
	['a late job with less work comes before one with an earlier deadline', createOrdered({submittedAt: now - 2000, remainingWork: 500}), createOrdered({submittedAt: now - 3000})],
	['a late job of higher priority comes first, whatever the work', createOrdered({...late, remainingWork: 9000}), createOrdered({...late, remainingWork: 1, policy: {...policy, priority: 1}})],
	['a late job comes before an expired one', createOrdered({...late, remainingWork: 9000}), createOrdered({...expired, remainingWork: 1})],
	['an expired job with less work comes first', createOrdered({...expired, remainingWork: 1}), createOrdered({submittedAt: now - 9500, remainingWork: 2})],
];

for (const [name, first, second] of ranks) {
	test(`least cost: ${name}`, t => {
		t.true(compareRanks(leastCostOrder.rank(first, now).rank, leastCostOrder.rank(second, now).rank) < 0);
	});
}

const orderedArbitrary: fc.Arbitrary<OrderedJob> = fc.record({
	priority: fc.integer({min: 0, max: 3}), isLongRunning: fc.boolean(), ageMs: fc.integer({min: 0, max: 12_000}), criticalPathMs: fc.integer({min: 1, max: 4000}), doneShare: fc.double({min: 0, max: 1, noNaN: true}), remainingWork: fc.integer({min: 0, max: 50_000}),
}).map(({priority, isLongRunning, ageMs, criticalPathMs, doneShare, remainingWork}) => createOrdered({
	policy: {...policy, priority}, isLongRunning, submittedAt: now - ageMs, criticalPathMs, remainingMs: criticalPathMs * doneShare, remainingWork,
}));

// Guards against a change of behaviour where the settings ask for no order.
test('the order of deadlines ranks as before', t => {
	t.notThrows(() => {
		fc.assert(fc.property(orderedArbitrary, fc.boolean(), (job, isDeferred) => compareRanks(deadlineOrder.rank({...job, isDeferred}, now).rank, rankJob(job, now)) === 0), {seed});
	});
});

test('the order of deadlines defers nothing', t => {
	t.is(deadlineOrder.chooseDeferred().size, 0);
});

// Guards against another order while the capacity is enough.
test('least cost keeps the order of deadlines among jobs that can be in time and are not deferred', t => {
	t.notThrows(() => {
		fc.assert(fc.property(orderedArbitrary, orderedArbitrary, (a, b) => {
			const isUsual = [a, b].every(job => rankJob(job, now)[0] < 2000);
			const order = Math.sign(compareRanks(leastCostOrder.rank(a, now).rank, leastCostOrder.rank(b, now).rank));
			return !isUsual || order === Math.sign(compareRanks(rankJob(a, now), rankJob(b, now)));
		}), {seed});
	});
});

// Guards against a rank that is kept although the job has become late meanwhile.
test('least cost: a rank holds until its time and changes after it', t => {
	const {rank, until} = leastCostOrder.rank(createOrdered(), now);
	t.deepEqual(leastCostOrder.rank(createOrdered(), until).rank, rank);
	t.notDeepEqual(leastCostOrder.rank(createOrdered(), until + 1).rank, rank);
});

type Planned = PlannedJob & {readonly name: string};

/** Creates a job whose work takes the pool `workMs`. */
function createPlanned(name: string, workMs: number, deadlineMs: number, fields: Partial<PlannedJob> = {}): Planned {
	return {
		name, priority: 0, deadline: now + deadlineMs, remainingMs: 100, remainingWork: workMs * cpu, openWork: workMs * cpu, isKept: false, ...fields,
	};
}

type Case = {readonly name: string; readonly jobs: readonly Planned[]; readonly cpu?: number; readonly deferred: readonly string[]};

const cases: readonly Case[] = [
	{name: 'nothing while all jobs can be in time', jobs: [createPlanned('a', 500, 100), createPlanned('b', 500, 600), createPlanned('c', 500, 1100)], deferred: []},
	{name: 'the job with the most work, although its deadline is the earliest', jobs: [createPlanned('large', 900, 500), createPlanned('b', 100, 600), createPlanned('c', 100, 700)], deferred: ['large']},
	{name: 'the job that would be late if it has the most work', jobs: [createPlanned('a', 300, 500), createPlanned('large', 900, 350)], deferred: ['large']},
	{name: 'as many as it takes', jobs: [createPlanned('a', 500, 100), createPlanned('b', 600, 300), createPlanned('c', 100, 300), createPlanned('d', 100, 300)], deferred: ['b', 'a']},
	{name: 'the later of two jobs with equal work', jobs: [createPlanned('a', 500, 200), createPlanned('b', 500, 250)], deferred: ['b']},
	{name: 'no job that can\'t be in time anyway', jobs: [createPlanned('late', 5000, 50), createPlanned('b', 100, 200)], deferred: []},
	{name: 'no job that keeps its place', jobs: [createPlanned('large', 900, 500, {isKept: true}), createPlanned('b', 100, 600), createPlanned('c', 100, 2000)], deferred: ['b']},
	{name: 'none for a job that keeps its place and would be late', jobs: [createPlanned('a', 500, 200), createPlanned('kept', 900, 300, {isKept: true})], deferred: []},
	{name: 'none for the work of a lower priority', jobs: [createPlanned('a', 500, 600), createPlanned('low', 900, 300, {priority: 1})], deferred: ['low']},
	{name: 'none of a higher priority for the sake of a lower one', jobs: [createPlanned('high', 900, 300), createPlanned('low', 100, 600, {priority: 1})], deferred: ['low']},
	{name: 'by all remaining work, of which only open steps take capacity', jobs: [createPlanned('two steps', 300, 300, {remainingWork: 1200 * cpu}), createPlanned('one step', 400, 350), createPlanned('c', 100, 500)], deferred: ['two steps']},
	{
		name: 'nothing in a pool without CPU', jobs: [createPlanned('a', 900, 200), createPlanned('b', 900, 200)], cpu: 0, deferred: [],
	},
];

for (const {name, jobs, deferred, cpu: poolCpu = cpu} of cases) {
	test(`least cost defers ${name}`, t => {
		t.deepEqual([...leastCostOrder.chooseDeferred(jobs, {now, cpu: poolCpu})].map(job => job.name), [...deferred]);
	});
}

const plannedArbitrary: fc.Arbitrary<Planned> = fc.record({workMs: fc.integer({min: 1, max: 1000}), deadlineMs: fc.integer({min: 100, max: 3000})}).map(({workMs, deadlineMs}) => createPlanned('', workMs, deadlineMs));

function sortByDeadline(jobs: readonly Planned[]): Planned[] {
	return jobs.toSorted((a, b) => a.deadline - b.deadline);
}

/** Reports whether all jobs end in time when the pool begins them in the order of their deadlines. */
function areInTime(jobs: readonly Planned[]): boolean {
	let workBefore = 0;
	return sortByDeadline(jobs).every(job => {
		const endsAt = now + (workBefore / cpu) + job.remainingMs;
		workBefore += job.openWork;
		return endsAt <= job.deadline;
	});
}

/** Counts the jobs of the largest subset that ends in time. */
function countMostInTime(jobs: readonly Planned[]): number {
	let most = 0;
	for (let subset = 0; subset < 2 ** jobs.length; subset++) {
		const chosen = jobs.filter((_, index) => (subset & (1 << index)) !== 0);
		most = chosen.length > most && areInTime(chosen) ? chosen.length : most;
	}

	return most;
}

// Guards against a plan that serves fewer callers in time than another one would.
test('least cost keeps as many jobs in time as any choice could', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(plannedArbitrary, {maxLength: 9}), jobs => {
			const deferred = leastCostOrder.chooseDeferred(jobs, {now, cpu});
			const kept = jobs.filter(job => !deferred.has(job));
			return areInTime(kept) && kept.length === countMostInTime(jobs);
		}), {seed, numRuns: 300});
	});
});

// Guards against another order than today's while the capacity is enough.
test('least cost defers nothing exactly while all jobs can be in time', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(plannedArbitrary, {maxLength: 30}), jobs => (leastCostOrder.chooseDeferred(jobs, {now, cpu}).size === 0) === areInTime(jobs)), {seed, numRuns: 300});
	});
});
