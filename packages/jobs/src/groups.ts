/**
 * Groups items by key.
 */

/** Groups items by a key, in order of first appearance. */
export function groupByKey<T>(items: Iterable<T>, readKey: (item: T) => string): Map<string, T[]> {
	const groups = new Map<string, T[]>();
	for (const item of items) {
		const key = readKey(item);
		const group = groups.get(key);
		if (group === undefined) {
			groups.set(key, [item]);
		} else {
			group.push(item);
		}
	}

	return groups;
}
