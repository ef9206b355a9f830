import test from 'ava';
import fc from 'fast-check';
import {
	computeRetryAfterS, estimatePool, estimateStartMs, findRefusal, maxEstimateAgeMs, type ArrivingJob, type BacklogJob, type LatePosition, type PoolEstimate,
} from '../src/index.js';

const cpu = 1000;
const seed = 5;
const arriving: ArrivingJob = {
	id: '5c0e7a21d94b36f8', priority: 1, criticalPathMs: 1000, objectiveMs: 2200, work: 500 * cpu,
};

/** Creates a job in time whose waiting work takes the pool `workMs`. */
function createBacklog(workMs: number, fields: Partial<BacklogJob> = {}): BacklogJob {
	return {
		priority: 1, tier: 'inTime', position: 1000, remainingWork: workMs * cpu, waitingWork: workMs * cpu, openWork: workMs * cpu, ...fields,
	};
}

function estimate(jobs: readonly BacklogJob[], fields: {readonly cpu?: number; readonly hasIdleVm?: boolean; readonly latePosition?: LatePosition} = {}): PoolEstimate | undefined {
	return estimatePool(jobs, {
		cpu, hasIdleVm: false, latePosition: 'deadline', ...fields,
	});
}

type Case = {readonly name: string; readonly jobs: readonly BacklogJob[]; readonly job?: Partial<ArrivingJob>; readonly latePosition?: LatePosition; readonly startMs: number};

const late = {tier: 'late', position: 3000} as const;
const cases: readonly Case[] = [
	{name: 'at once in an empty pool', jobs: [], startMs: 0},
	{name: 'behind a job of an earlier deadline', jobs: [createBacklog(300)], startMs: 300},
	{name: 'before a job of a later deadline', jobs: [createBacklog(300, {position: 2300})], startMs: 0},
	{name: 'behind any job of a higher priority', jobs: [createBacklog(300, {priority: 0, position: 9000})], startMs: 300},
	{name: 'before any job of a lower priority', jobs: [createBacklog(300, {priority: 2})], startMs: 0},
	{name: 'before the late and deferred jobs while it can be in time', jobs: [createBacklog(300), createBacklog(5000, late), createBacklog(5000, {tier: 'deferred'})], startMs: 300},
	{name: 'behind late and deferred jobs too if it can\'t', jobs: [createBacklog(1300), createBacklog(500, late), createBacklog(200, {tier: 'deferred'})], startMs: 2000},
	{name: 'behind a deferred job that costs no more than itself', jobs: [createBacklog(300), createBacklog(500, {tier: 'deferred'})], startMs: 800},
	{name: 'before a deferred job of a higher priority, while it can be in time', jobs: [createBacklog(300), createBacklog(500, {tier: 'deferred', priority: 0})], startMs: 300},
	{name: 'before late jobs whose time ends later, if it can\'t be in time', jobs: [createBacklog(1300), createBacklog(500, {...late, position: 7000})], startMs: 1300},
	{
		name: 'before late jobs with more work, where these are ordered by work', jobs: [createBacklog(1300), createBacklog(600, {...late, position: 600 * cpu})], latePosition: 'work', startMs: 1300,
	},
	{
		name: 'behind late jobs with less work, where these are ordered by work', jobs: [createBacklog(1300), createBacklog(400, {...late, position: 400 * cpu})], latePosition: 'work', startMs: 1700,
	},
	{name: 'behind the work of steps that are not open only once it is late', jobs: [createBacklog(900, {waitingWork: 4000 * cpu})], startMs: 900},
	{name: 'before expired and long-running jobs', jobs: [createBacklog(1300), createBacklog(9000, {tier: 'expired'}), createBacklog(9000, {tier: 'longRunning'})], startMs: 1300},
];

for (const {name, jobs, job, latePosition, startMs} of cases) {
	test(`a job gets capacity ${name}`, t => {
		t.is(estimateStartMs(estimate(jobs, {latePosition})!, {...arriving, ...job}), startMs);
	});
}

test('a pool without CPU has no estimate', t => {
	t.is(estimate([createBacklog(100)], {cpu: 0}), undefined);
});

// Guards against a status that exceeds the row of the lease.
test('an estimate of many jobs has few points and errs towards an early start', t => {
	const jobs = Array.from({length: 1000}, (_, index) => createBacklog(1, {position: index}));
	const pool = estimate(jobs)!;
	t.true(pool.priorities[0]!.inTime.points.length <= 8);
	const startMs = estimateStartMs(pool, {...arriving, criticalPathMs: 1, objectiveMs: 600});
	t.true(startMs <= 600 && startMs >= 600 - 125, `${startMs} ms`);
});

const overload = estimate([createBacklog(1300), createBacklog(5000, late)])!;
const refusals: ReadonlyArray<[string, {readonly estimate: PoolEstimate; readonly ageMs: number} | undefined, Partial<ArrivingJob>, boolean]> = [
	['whose estimated end is beyond three times its objective', {estimate: overload, ageMs: 500}, {}, true],
	['whose estimated end is within three times its objective', {estimate: estimate([createBacklog(1300), createBacklog(4000, late)])!, ageMs: 500}, {}, false],
	['of a pool with an idle VM', {estimate: {...overload, hasIdleVm: true}, ageMs: 500}, {}, false],
	['without an estimate', undefined, {}, false],
	['by an estimate of 2 s', {estimate: overload, ageMs: maxEstimateAgeMs}, {}, false],
	['by an estimate just below 2 s', {estimate: overload, ageMs: maxEstimateAgeMs - 1}, {}, true],
	['of a higher priority than all others', {estimate: overload, ageMs: 500}, {priority: 0}, false],
];

for (const [name, known, fields, isRefused] of refusals) {
	test(`a job ${name} is ${isRefused ? 'refused' : 'not refused'}`, t => {
		t.is(findRefusal({...arriving, ...fields}, known) !== undefined, isRefused);
	});
}

const backlogArbitrary: fc.Arbitrary<BacklogJob> = fc.record({
	priority: fc.integer({min: 0, max: 3}), tier: fc.constantFrom('inTime', 'deferred', 'late', 'expired'), position: fc.integer({min: -2000, max: 9000}), openMs: fc.integer({min: 0, max: 800}), closedMs: fc.integer({min: 0, max: 800}),
}).map(({priority, tier, position, openMs, closedMs}) => ({
	priority, tier, position, openWork: openMs * cpu, waitingWork: (openMs + closedMs) * cpu, remainingWork: (openMs + closedMs) * cpu,
}));
const arrivingArbitrary: fc.Arbitrary<ArrivingJob> = fc.record({
	id: fc.string({minLength: 16, maxLength: 16}), priority: fc.integer({min: 0, max: 3}), criticalPathMs: fc.integer({min: 1, max: 4000}), objectiveMs: fc.integer({min: 600, max: 7000}), work: fc.integer({min: 1, max: 9_000_000}),
});

/** Computes the start of a job that arrives without the approximation by points. */
function computeStartMs(jobs: readonly BacklogJob[], {priority, criticalPathMs, objectiveMs, work}: ArrivingJob): number {
	const isBefore = (job: BacklogJob, position: number): boolean => job.priority < priority || (job.priority === priority && Math.ceil(job.position) <= position);
	const sum = (list: readonly BacklogJob[], key: 'openWork' | 'waitingWork'): number => list.reduce((total, job) => total + job[key], 0) / cpu;
	const inTime = jobs.filter(({tier}) => tier === 'inTime');
	const inTimeMs = sum(inTime.filter(job => isBefore(job, objectiveMs)), 'openWork');
	const before = [...inTime, ...jobs.filter(({tier}) => tier === 'deferred'), ...jobs.filter(job => job.tier === 'late' && isBefore(job, 3 * objectiveMs))];
	const isDeferred = jobs.some(job => job.tier === 'deferred' && job.priority === priority && job.remainingWork <= work);
	return !isDeferred && inTimeMs + criticalPathMs <= objectiveMs ? inTimeMs : Math.max(inTimeMs, sum(before, 'waitingWork'));
}

// Guards against a refusal of a job that the work before it leaves time for.
test('an estimate is never later than the work before the job', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(backlogArbitrary, {maxLength: 40}), arrivingArbitrary, (jobs, job) => estimateStartMs(estimate(jobs)!, job) <= Math.ceil(computeStartMs(jobs, job))), {seed, numRuns: 1000});
	});
});

test('a refused caller is asked to return after a whole number of seconds, at least one, between the estimate and one and a half times of it', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.integer({min: 0, max: 60_000}), fc.string(), (estimateMs, id) => {
			const seconds = computeRetryAfterS(estimateMs, id);
			const least = Math.max(1, estimateMs / 1000);
			return Number.isInteger(seconds) && seconds >= 1 && seconds >= Math.floor(least) && seconds <= Math.ceil(least * 1.5);
		}), {seed});
	});
});

// Guards against callers that were refused together and return together.
test('the times to return are spread', t => {
	const seconds = new Set(Array.from({length: 100}, (_, index) => computeRetryAfterS(8000, `job-${index}`)));
	t.deepEqual([...seconds].toSorted((a, b) => a - b), [8, 9, 10, 11, 12]);
});
