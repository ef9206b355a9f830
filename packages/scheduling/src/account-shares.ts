/**
 * Divides the capacity of a pool among accounts by weighted max-min fairness of their dominant shares. The dominant share of an account is
 * the largest of the shares of the pool's CPU, memory and accelerators that it uses.
 */
import {dimensions} from './account-caps.js';
import {addResources, type Resources} from './models.js';

/** What an account uses in a pool and waits for, and its weight. */
export type ShareClaim = {readonly demand: Resources; readonly weight: number};

/** State of an account when its next start is ordered among those of others, as dominant shares of the pool. */
export type ShareState = {
	/** What the account uses in the pool. */
	readonly used: number;
	/** What it used on average over the last seconds. */
	readonly past: number;
	/** What its next start needs. */
	readonly need: number;
	/** What it is entitled to. */
	readonly entitled: number;
};

/** Classes of a start, in the order in which accounts get capacity; an account above its share has `over` and one more for each task above. */
export const shareClasses = {
	/** The account stays within its share. */
	below: 0,
	/** The account is below its share, and the start brings it above. */
	last: 1,
	/** The account is at its share, or was over the last seconds. */
	over: 2,
} as const;

/** Rounding error of sums of shares. */
const roundingSlack = 1e-9;

/** Computes the largest share of a capacity that an amount takes; dimensions of which there is none don't count. */
export function computeDominantShare(amount: Resources, capacity: Resources): number {
	let share = 0;
	for (const dimension of dimensions) {
		share = capacity[dimension] > 0 ? Math.max(share, amount[dimension] / capacity[dimension]) : share;
	}

	return share;
}

/**
 * Computes the dominant share to which each account is entitled: all of them rise together, in proportion to their weights, until an account
 * has what it demands or a resource that it asks for is used up. The share of an account is infinite if none of its resources is.
 *
 * @example
 * const capacity = {cpu: 90, memory: 0, gpu: 0};
 * const claims = [10, 60, 60].map(cpu => ({demand: {cpu, memory: 0, gpu: 0}, weight: 1}));
 * computeFairShares(claims, capacity); // 40 of 90 each
 */
export function computeFairShares(claims: readonly ShareClaim[], capacity: Resources): number[] {
	const fills = claims.map(claim => Fill.create(claim, capacity));
	const usedUpAt = computeSaturationLevels(fills.filter(({fullAt}) => fullAt > 0));
	return fills.map(({weight, rates}) => weight * Math.min(...dimensions.map(dimension => rates[dimension] > 0 ? usedUpAt[dimension] : Number.POSITIVE_INFINITY)));
}

/** Ranks the next start of an account by its share, as one of the classes; lower ones come first. */
export function rankShare({used, past, need, entitled}: ShareState): number {
	if (used >= entitled - roundingSlack) {
		return shareClasses.over + (need > 0 ? Math.floor(((used - entitled) / need) + roundingSlack) : 0);
	}

	if (past >= entitled) {
		return shareClasses.over;
	}

	return used + need > entitled + roundingSlack ? shareClasses.last : shareClasses.below;
}

/** Growth of an account's use of each resource with the common level, which is the dominant share by weight. */
class Fill {
	static create({demand, weight}: ShareClaim, capacity: Resources): Fill {
		const dominant = computeDominantShare(demand, capacity);
		const getRate = (dimension: keyof Resources) => dominant > 0 && capacity[dimension] > 0 ? (weight * demand[dimension]) / (capacity[dimension] * dominant) : 0;
		return new Fill(weight, dominant / weight, {cpu: getRate('cpu'), memory: getRate('memory'), gpu: getRate('gpu')});
	}

	private constructor(
		readonly weight: number,
		/** Level at which the account has what it demands. */
		readonly fullAt: number,
		/** Share of each resource by level. */
		readonly rates: Resources,
	) {}
}

/** Computes the level at which each resource is used up; infinite for one that is not. */
function computeSaturationLevels(fills: readonly Fill[]): Resources {
	const levels = {cpu: Number.POSITIVE_INFINITY, memory: Number.POSITIVE_INFINITY, gpu: Number.POSITIVE_INFINITY};
	let rising = fills.toSorted((a, b) => a.fullAt - b.fullAt);
	let rates = sumRates(rising);
	/** Shares of accounts that rise no more. */
	let settled: Resources = {cpu: 0, memory: 0, gpu: 0};
	let position = 0;
	while (position < rising.length) {
		const {fullAt, rates: own} = rising[position]!;
		const next = findNextSaturation(rates, settled, levels);
		if (next === undefined || fullAt <= next.level) {
			settled = addResources(settled, own, fullAt);
			rates = addResources(rates, own, -1);
			position++;
		} else {
			levels[next.dimension] = next.level;
			const stopped = rising.slice(position).filter(fill => fill.rates[next.dimension] > 0);
			settled = addResources(settled, sumRates(stopped), next.level);
			rising = rising.slice(position).filter(fill => fill.rates[next.dimension] <= 0);
			rates = sumRates(rising);
			position = 0;
		}
	}

	return levels;
}

function findNextSaturation(rates: Resources, settled: Resources, levels: Resources): {readonly dimension: keyof Resources; readonly level: number} | undefined {
	let next: {readonly dimension: keyof Resources; readonly level: number} | undefined;
	for (const dimension of dimensions) {
		const level = rates[dimension] > roundingSlack ? Math.max(0, 1 - settled[dimension]) / rates[dimension] : Number.POSITIVE_INFINITY;
		if (levels[dimension] === Number.POSITIVE_INFINITY && level < (next?.level ?? Number.POSITIVE_INFINITY)) {
			next = {dimension, level};
		}
	}

	return next;
}

function sumRates(fills: readonly Fill[]): Resources {
	let sum: Resources = {cpu: 0, memory: 0, gpu: 0};
	for (const {rates} of fills) {
		sum = addResources(sum, rates);
	}

	return sum;
}
