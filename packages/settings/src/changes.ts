/**
 * Differences between two trees of settings, and their replay over a third.
 */
import {isDeepStrictEqual} from 'node:util';
import {isPlainObject, type PlainObject} from './resolutions.js';

/** Keys from the root of the tree to a value. */
export type TreePath = readonly string[];

/** A value that differs between two trees; an absent one is `undefined`. */
export type TreeChange = {
	readonly path: TreePath;
	readonly before: unknown;
	readonly after: unknown;
};

/**
 * Lists the values that differ, objects key by key; lists and single values count as wholes.
 *
 * @example
 * diffTrees({service: {maxAttempts: 2}}, {service: {maxAttempts: 3}});
 * // [{path: ['service', 'maxAttempts'], before: 2, after: 3}]
 */
export function diffTrees(before: unknown, after: unknown, path: TreePath = []): TreeChange[] {
	if (isDeepStrictEqual(before, after)) {
		return [];
	}

	if (!isPlainObject(before) || !isPlainObject(after)) {
		return [{path, before, after}];
	}

	const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])].toSorted();
	return keys.flatMap(key => diffTrees(before[key], after[key], [...path, key]));
}

/** Tells whether two changes touch the same value, or one a part of what the other replaces. */
export function isOverlapping(one: TreePath, other: TreePath): boolean {
	return one.slice(0, other.length).every((key, index) => key === other[index]);
}

/** Lists the paths of `mine` that `theirs` changed too, but for those that both changed to the same value. */
export function findOverlaps(mine: readonly TreeChange[], theirs: readonly TreeChange[]): TreePath[] {
	return mine
		.filter(change => theirs.some(other => isOverlapping(change.path, other.path) && !isSameChange(change, other)))
		.map(({path}) => path);
}

function isSameChange(one: TreeChange, other: TreeChange): boolean {
	return isDeepStrictEqual(one.path, other.path) && isDeepStrictEqual(one.after, other.after);
}

/** Replays changes over a tree; leaves the tree itself as it is. */
export function applyChanges(tree: unknown, changes: readonly TreeChange[]): unknown {
	let result = tree;
	for (const {path, after} of changes) {
		result = replaceValue(result, path, after);
	}

	return result;
}

function replaceValue(node: unknown, path: TreePath, value: unknown): unknown {
	const [key, ...rest] = path;
	if (key === undefined) {
		return value;
	}

	const {[key]: child, ...others} = isPlainObject(node) ? node : {};
	const replaced = replaceValue(child, rest, value);
	return replaced === undefined ? others : {...others, [key]: replaced};
}

/** Gives the value at a path. */
export function findValue(tree: unknown, path: TreePath): unknown {
	let node = tree;
	for (const key of path) {
		node = isPlainObject(node) && Object.hasOwn(node, key) ? node[key] : undefined;
	}

	return node;
}

/** Lists the single values and lists of a tree. */
export function listLeaves(tree: unknown, path: TreePath = []): Array<{readonly path: TreePath; readonly value: unknown}> {
	if (!isPlainObject(tree) || Object.keys(tree).length === 0) {
		return [{path, value: tree}];
	}

	return Object.entries(tree).flatMap(([key, value]) => listLeaves(value, [...path, key]));
}

/** Parses a path such as `deployments.fixture.pools.north`; the empty text is the root. */
export function parseTreePath(text: string): TreePath {
	return text === '' ? [] : text.split('.');
}

/** Formats a path for people. */
export function formatTreePath(path: TreePath): string {
	return path.join('.');
}

/** Tells whether a right, given as the text of a path, covers a path. */
export function isCovered(rights: readonly string[], path: TreePath): boolean {
	return rights.some(right => {
		const parts = parseTreePath(right);
		return parts.length <= path.length && parts.every((key, index) => key === path[index]);
	});
}
