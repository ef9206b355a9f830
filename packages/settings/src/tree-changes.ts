/**
 * Diffs of settings trees, and their application to another tree.
 */
import {isDeepStrictEqual} from 'node:util';
import {isPlainObject, type PlainObject} from './resolutions.js';

/** Keys from the root of the tree to a value. */
export type TreePath = readonly string[];

/** A value that differs between two trees; `undefined` stands for an absent value. */
export type TreeChange = {
	readonly path: TreePath;
	readonly before: unknown;
	readonly after: unknown;
};

/**
 * Lists the values that differ. Objects are compared key by key, arrays and scalars as a whole.
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

/** Reports whether two paths are equal or one is an ancestor of the other. */
export function isOverlapping(one: TreePath, other: TreePath): boolean {
	return one.slice(0, other.length).every((key, index) => key === other[index]);
}

/** Lists the paths of `mine` that overlap with `theirs`, except where both set the same value. */
export function findOverlaps(mine: readonly TreeChange[], theirs: readonly TreeChange[]): TreePath[] {
	return mine
		.filter(change => theirs.some(other => isOverlapping(change.path, other.path) && !isSameChange(change, other)))
		.map(({path}) => path);
}

function isSameChange(one: TreeChange, other: TreeChange): boolean {
	return isDeepStrictEqual(one.path, other.path) && isDeepStrictEqual(one.after, other.after);
}

/** Returns a tree with the changes applied; does not modify the given tree. */
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

/** Returns the value at a path, or `undefined` if there is none. */
export function findValue(tree: unknown, path: TreePath): unknown {
	let node = tree;
	for (const key of path) {
		node = isPlainObject(node) && Object.hasOwn(node, key) ? node[key] : undefined;
	}

	return node;
}

/** Lists the leaves of a tree: scalars, arrays and empty objects. */
export function listLeaves(tree: unknown, path: TreePath = []): Array<{readonly path: TreePath; readonly value: unknown}> {
	if (!isPlainObject(tree) || Object.keys(tree).length === 0) {
		return [{path, value: tree}];
	}

	return Object.entries(tree).flatMap(([key, value]) => listLeaves(value, [...path, key]));
}

/** Parses a path such as `deployments.fixture.pools.north`; an empty text is the root. */
export function parseTreePath(text: string): TreePath {
	return text === '' ? [] : text.split('.');
}

/** Formats a path with dots, as `parseTreePath` reads it. */
export function formatTreePath(path: TreePath): string {
	return path.join('.');
}

/** Reports whether any of `rights`, given as formatted paths, equals a path or one of its ancestors. */
export function isPathCovered(rights: readonly string[], path: TreePath): boolean {
	return rights.some(right => {
		const parts = parseTreePath(right);
		return parts.length <= path.length && parts.every((key, index) => key === path[index]);
	});
}
