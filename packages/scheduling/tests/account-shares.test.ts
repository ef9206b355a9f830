import test from 'ava';
import fc from 'fast-check';
import {
	addResources, computeDominantShare, computeFairShares, noResources, rankShare, shareClasses, type Resources, type ShareClaim, type ShareState,
} from '../src/index.js';

const cpu = (amount: number): Resources => ({cpu: amount, memory: 0, gpu: 0});
const infinite = Number.POSITIVE_INFINITY;

type Case = {readonly name: string; readonly claims: ReadonlyArray<readonly [Resources, number]>; readonly capacity: Resources; readonly shares: readonly number[]};

const cases: readonly Case[] = [
	{
		name: 'is unlimited while all demands fit', claims: [[cpu(40), 1], [cpu(60), 1]], capacity: cpu(100), shares: [infinite, infinite],
	},
	{
		name: 'is the same for all that demand more', claims: [[cpu(80), 1], [cpu(200), 1]], capacity: cpu(100), shares: [0.5, 0.5],
	},
	{
		name: 'grows by what others leave', claims: [[cpu(10), 1], [cpu(60), 1], [cpu(60), 1]], capacity: cpu(90), shares: [40 / 90, 40 / 90, 40 / 90],
	},
	{
		name: 'follows the weights', claims: [[cpu(100), 1], [cpu(100), 3]], capacity: cpu(100), shares: [0.25, 0.75],
	},
	{
		name: 'leaves what a heavy account does not demand to the others', claims: [[cpu(100), 1], [cpu(30), 9]], capacity: cpu(100), shares: [0.7, 6.3],
	},
	{
		name: 'is the dominant one', claims: [[{cpu: 100, memory: 400, gpu: 0}, 1], [{cpu: 300, memory: 100, gpu: 0}, 1]], capacity: {cpu: 90, memory: 180, gpu: 0}, shares: [0.6666, 0.6666],
	},
	{
		name: 'is unlimited for an account whose resources nobody else asks for', claims: [[cpu(200), 1], [{cpu: 0, memory: 50, gpu: 0}, 1]], capacity: {cpu: 100, memory: 100, gpu: 0}, shares: [1, infinite],
	},
	{
		name: 'ignores accelerators in a pool without any', claims: [[{cpu: 200, memory: 0, gpu: 4}, 1], [cpu(200), 1]], capacity: cpu(100), shares: [0.5, 0.5],
	},
	{
		name: 'of an account that demands nothing is unlimited', claims: [[noResources, 1], [cpu(200), 1]], capacity: cpu(100), shares: [infinite, 1],
	},
	{
		name: 'is none in a pool without capacity', claims: [[cpu(10), 1]], capacity: noResources, shares: [infinite],
	},
];

for (const {
	name, claims, capacity, shares,
} of cases) {
	test(`the fair share ${name}`, t => {
		const computed = computeFairShares(claims.map(([demand, weight]) => ({demand, weight})), capacity);
		for (const [index, share] of shares.entries()) {
			t.true(computed[index] === share || Math.abs(computed[index]! - share) < 0.001, `${index}: ${computed[index]} is not ${share}`);
		}
	});
}

const amount = fc.integer({min: 0, max: 200});
const claim: fc.Arbitrary<ShareClaim> = fc.record({demand: fc.record({cpu: amount, memory: amount, gpu: fc.constantFrom(0, 0, 0, 1, 8)}), weight: fc.constantFrom(1, 1, 2, 5, 0.5)});
const capacity = fc.record({cpu: fc.integer({min: 1, max: 400}), memory: fc.integer({min: 0, max: 400}), gpu: fc.integer({min: 0, max: 4})});
const dimensions = ['cpu', 'memory', 'gpu'] as const;

/** Computes what an account gets: its demand, scaled down to its share. */
function computeGrant({demand}: ShareClaim, share: number, total: Resources): Resources {
	const dominant = computeDominantShare(demand, total);
	return dominant > share ? addResources(noResources, demand, share / dominant) : demand;
}

// Guards against shares that add up to more than the pool, that leave capacity to nobody, or that favour one account over another.
test('fair shares fit into the capacity, use it up, and are equal by weight wherever an account is held back', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(claim, {minLength: 1, maxLength: 20}), capacity, (claims, total) => {
			const shares = computeFairShares(claims, total);
			const grants = claims.map((one, index) => computeGrant(one, shares[index]!, total));
			let sum = noResources;
			for (const grant of grants) {
				sum = addResources(sum, grant);
			}

			const isFeasible = dimensions.every(dimension => total[dimension] === 0 || sum[dimension] <= total[dimension] * (1 + 1e-6));
			const isUsedUp = (dimension: keyof Resources): boolean => total[dimension] > 0 && sum[dimension] >= total[dimension] * (1 - 1e-6);
			const levels = grants.map((grant, index) => computeDominantShare(grant, total) / claims[index]!.weight);
			// One of the resources that the account asks for is used up, and nobody who uses it has risen higher by weight.
			const getHighest = (dimension: keyof Resources): number => Math.max(...levels.filter((_, index) => claims[index]!.demand[dimension] > 0));
			const isReason = (dimension: keyof Resources, index: number): boolean => claims[index]!.demand[dimension] > 0 && isUsedUp(dimension) && getHighest(dimension) <= levels[index]! + 1e-6;
			const isJustified = claims.every(({demand}, index) => computeDominantShare(demand, total) <= shares[index]! + 1e-9 || dimensions.some(dimension => isReason(dimension, index)));
			return isFeasible && isJustified;
		}), {numRuns: 2000, seed: 17});
	});
});

type RankCase = {readonly name: string; readonly state: Partial<ShareState>; readonly rank: number};

const rankCases: readonly RankCase[] = [
	{name: 'within the share', state: {used: 0.1}, rank: shareClasses.below},
	{name: 'that fills the share', state: {used: 0.4}, rank: shareClasses.below},
	{name: 'that exceeds the share in part', state: {used: 0.45}, rank: shareClasses.last},
	{name: 'at the share', state: {used: 0.5}, rank: shareClasses.over},
	{name: 'two tasks above the share', state: {used: 0.7}, rank: shareClasses.over + 2},
	{name: 'of an account that has just used more than its share', state: {used: 0.1, past: 0.6}, rank: shareClasses.over},
	{name: 'above the share, whatever the account has used before', state: {used: 0.6, past: 0.9}, rank: shareClasses.over + 1},
	{name: 'that needs nothing, above the share', state: {used: 0.9, need: 0}, rank: shareClasses.over},
	{name: 'without a limit of the share', state: {used: 0.9, entitled: infinite}, rank: shareClasses.below},
];

for (const {name, state, rank} of rankCases) {
	test(`a start ${name} has rank ${rank}`, t => {
		t.is(rankShare({
			used: 0, past: 0, need: 0.1, entitled: 0.5, ...state,
		}), rank);
	});
}
