/**
 * Operations on sequences of any length. The arguments of a call are limited by the size of the stack, so `Math.max(...values)` and
 * `list.push(...items)` throw a `RangeError` from some 100,000 elements on.
 */

/** Returns the largest of `least` and the values. */
export function findMaximum(values: Iterable<number>, least: number): number {
	let maximum = least;
	for (const value of values) {
		maximum = Math.max(maximum, value);
	}

	return maximum;
}

/** Appends the items to the list. */
export function appendAll<T>(list: T[], items: Iterable<T>): void {
	for (const item of items) {
		list.push(item);
	}
}
