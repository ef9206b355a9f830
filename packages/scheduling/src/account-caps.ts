/**
 * Decides whether an account's cap allows a start. The cap is compared with what the account has assigned over all pools.
 */
import {noResources, type Resources} from './models.js';

/** A start of one task or of a whole gang, and what its account may use. */
export type CappedStart = {
	/** Limits by dimension; 0 means no limit. */
	readonly cap: Resources;
	/** What the account uses already. */
	readonly used: Resources;
	/** What one task needs. */
	readonly task: Resources;
	/** Number of tasks that start together. */
	readonly count: number;
};

/** Resource dimensions in the order in which refusals name them. */
export const dimensions = ['cpu', 'memory', 'gpu'] as const;

/** Share of a limit by which the rounding of summed fractional resources may exceed it. */
const roundingShare = 1e-9;

/** Reports whether a cap limits any dimension. */
export function isCapped(cap: Resources): boolean {
	return dimensions.some(dimension => cap[dimension] > 0);
}

/**
 * Reports whether a cap allows a start. An account that uses less than half of its cap in each capped dimension may exceed it by one task: such an account
 * must not wait, and its next task may need more than the rest of the cap, or all of it if the job was accepted under a higher cap.
 *
 * @example
 * const task = {cpu: 1000, memory: 500, gpu: 0};
 * isWithinCap({cap: {cpu: 4000, memory: 0, gpu: 0}, used: {cpu: 3500, memory: 500, gpu: 0}, task, count: 1}); // false
 */
export function isWithinCap({cap, used, task, count}: CappedStart): boolean {
	return hasCapRoom(cap, used, task, count) || (hasCapRoom(cap, used, task, count - 1) && isUnderHalf(cap, used));
}

/** Trims a demand to what a cap leaves beside what is used already. */
export function trimDemand(demand: Resources, {cap, used}: Pick<CappedStart, 'cap' | 'used'>): Resources {
	const limit = (dimension: keyof Resources) => cap[dimension] > 0 ? Math.max(0, Math.min(demand[dimension], cap[dimension] - used[dimension])) : demand[dimension];
	return {cpu: limit('cpu'), memory: limit('memory'), gpu: limit('gpu')};
}

/** Reports whether a cap has room for a number of tasks beside what is used, without exceeding it; written without allocations, as passes ask for each queue. */
export function hasCapRoom(cap: Resources, used: Resources, task: Resources, count: number): boolean {
	return hasRoomInDimension(cap.cpu, used.cpu + (task.cpu * count))
		&& hasRoomInDimension(cap.memory, used.memory + (task.memory * count))
		&& hasRoomInDimension(cap.gpu, used.gpu + (task.gpu * count));
}

function hasRoomInDimension(limit: number, amount: number): boolean {
	return limit <= 0 || amount <= limit * (1 + roundingShare);
}

/** Reports whether less than half of the cap is used in each capped dimension. */
export function isUnderHalf(cap: Resources, used: Resources): boolean {
	return dimensions.every(dimension => cap[dimension] <= 0 || used[dimension] < cap[dimension] / 2);
}
