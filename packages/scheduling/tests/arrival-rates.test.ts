import test from 'ava';
import fc from 'fast-check';
import {
	ArrivalRates, computeAllowedJobs, defaultRateLimit, hashFraction, isWithinShare,
} from '../src/index.js';

const statusMs = 600;
const {windowMs} = defaultRateLimit;

const allowed: ReadonlyArray<[weight: number, jobs: number]> = [[1, 25.5], [10, 75], [100, 570]];

for (const [weight, jobs] of allowed) {
	test(`an account of weight ${weight} is entitled to ${jobs} jobs in 5 s`, t => {
		t.is(Math.round(10 * computeAllowedJobs(weight, defaultRateLimit)), 10 * jobs);
	});
}

type Case = {
	readonly name: string;
	/** Times before now at which jobs arrived, in milliseconds. */
	readonly ages: readonly number[];
	readonly weight?: number;
	readonly isContended?: boolean;
	readonly share: number | undefined;
};

const createAges = (count: number, ageMs = 100): number[] => Array.from({length: count}, () => ageMs);
const cases: readonly Case[] = [
	{name: 'at its rate is not limited', ages: createAges(25), share: undefined},
	{name: 'above its rate gets the share of its rate', ages: createAges(51), share: 0.5},
	{
		name: 'above its rate is not limited while no other account waits', ages: createAges(51), isContended: false, share: undefined,
	},
	{name: 'is not limited for jobs before the last 5 s', ages: [...createAges(25), ...createAges(100, windowMs + 1)], share: undefined},
	{
		name: 'of a larger weight gets more', ages: createAges(114), weight: 10, share: 0.6579,
	},
	{name: 'is always left some jobs', ages: createAges(5000), share: 0.01},
];

for (const {name, ages, weight = 1, isContended = true, share} of cases) {
	test(`an account ${name}`, t => {
		const now = 10_000;
		const rates = ArrivalRates.create();
		for (const [index, ageMs] of ages.entries()) {
			rates.record('north', `job-${index}`, now - ageMs);
		}

		t.is(rates.computeShares({now, getWeight: () => weight, isContended: () => isContended}).get('north'), share);
	});
}

test('the jobs to accept depend on the id alone, and make up the share', t => {
	const ids = Array.from({length: 4000}, (_, index) => `job-${index}`);
	const accepted = ids.filter(id => isWithinShare(id, 0.3));
	t.true(Math.abs((accepted.length / ids.length) - 0.3) < 0.03, `${accepted.length}`);
	t.true(accepted.every(id => isWithinShare(id, 0.4)), 'a larger share accepts the same jobs and more');
});

test('hashes for different purposes are independent', t => {
	const ids = Array.from({length: 2000}, (_, index) => `job-${index}`);
	const both = ids.filter(id => hashFraction('acceptance', id) < 0.5 && hashFraction('retry', id) < 0.5);
	t.true(Math.abs((both.length / ids.length) - 0.25) < 0.05, `${both.length}`);
});

/** Plays an account that submits at a steady rate to entries that apply each share `delayMs` late; returns the jobs accepted in the last 10 s, by second. */
function countAccepted(submissionsPerS: number, weight: number, delayMs: number): number {
	const rates = ArrivalRates.create();
	const published: Array<{readonly at: number; readonly share: number}> = [];
	const durationMs = 40_000;
	let accepted = 0;
	let publishedAt = Number.NEGATIVE_INFINITY;
	for (let index = 0; index < (submissionsPerS * durationMs) / 1000; index++) {
		const at = (index * 1000) / submissionsPerS;
		if (at - publishedAt >= statusMs) {
			publishedAt = at;
			published.push({at, share: rates.computeShares({now: at, getWeight: () => weight, isContended: () => true}).get('north') ?? 1});
		}

		const id = `job-${index}`;
		if (isWithinShare(id, published.findLast(entry => entry.at <= at - delayMs)?.share ?? 1)) {
			rates.record('north', id, at);
			accepted += at >= durationMs - 10_000 ? 1 : 0;
		}
	}

	return accepted / 10;
}

// Guards against shares that swing, since only accepted jobs are seen, and against accounts that get less than their rate.
test('an account gets its rate and little more, however much it submits and however late its share is applied', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.integer({min: 2, max: 20}), fc.integer({min: 1, max: 20}), fc.integer({min: 0, max: 1500}), (factor, weight, delayMs) => {
			const rate = computeAllowedJobs(weight, defaultRateLimit) / 5;
			const accepted = countAccepted(rate * factor, weight, delayMs);
			return accepted >= weight && accepted < rate * 1.4;
		}), {seed: 3, numRuns: 40});
	});
});

test('an account within its rate is never limited', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.integer({min: 1, max: 50}), weight => Math.abs(countAccepted(weight, weight, statusMs) - weight) <= 0.1), {seed: 3, numRuns: 20});
	});
});
