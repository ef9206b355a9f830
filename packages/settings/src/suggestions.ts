/**
 * Suggests the nearest known name for an unknown one.
 */

const maxDistanceRatio = 0.4;

/** Computes the Levenshtein distance: the insertions, deletions and replacements that turn one text into another. */
export function computeEditDistance(one: string, other: string): number {
	let previous = Array.from({length: other.length + 1}, (_, index) => index);
	for (let row = 1; row <= one.length; row++) {
		const current = [row];
		for (let column = 1; column <= other.length; column++) {
			const cost = one[row - 1] === other[column - 1] ? 0 : 1;
			current.push(Math.min(current[column - 1]! + 1, previous[column]! + 1, previous[column - 1]! + cost));
		}

		previous = current;
	}

	return previous.at(-1)!;
}

/** Returns the known name nearest to an unknown one, or `undefined` if none is similar. */
export function suggestName(unknown: string, known: readonly string[]): string | undefined {
	const ranked = known
		.map(name => ({name, distance: computeEditDistance(unknown.toLowerCase(), name.toLowerCase())}))
		.toSorted((a, b) => a.distance - b.distance);
	const [nearest] = ranked;
	return nearest !== undefined && nearest.distance <= Math.max(1, Math.ceil(unknown.length * maxDistanceRatio)) ? nearest.name : undefined;
}
