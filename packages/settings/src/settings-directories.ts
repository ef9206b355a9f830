/**
 * Loads a settings tree from the files of a directory.
 */
import {readdir, readFile, stat} from 'node:fs/promises';
import path from 'node:path';
import {createIssuesError, type Issue, type SafeParseResult} from '@tamarackwind/core';
import {
	parseTree, printParseErrorCode, type Node, type ParseError,
} from 'jsonc-parser';
import {safeParseTree} from './checks.js';
import {countLine} from './jsonc-files.js';
import {type SettingsTree} from './schemas.js';

/** Location of a value. */
export type ValueLocation = {readonly file: string; readonly line: number};

/** A tree with the location of each of its values, keyed by formatted path. */
export type LocatedTree = {readonly tree: SettingsTree; readonly places: Readonly<Record<string, ValueLocation>>};

type TreeAccumulator = {readonly tree: Record<string, unknown>; readonly places: Record<string, ValueLocation>; readonly issues: Issue[]};

/** Lists the settings files of a directory in sorted order, or the file itself if the target is one. */
async function listFiles(target: string): Promise<string[]> {
	if (!(await stat(target)).isDirectory()) {
		return [target];
	}

	const names = await readdir(target, {recursive: true});
	return names.filter(name => /\.jsonc?$/v.test(name)).toSorted().map(name => path.join(target, name));
}

/**
 * Reads a tree from every `.json` and `.jsonc` file of a directory, without throwing on invalid settings. Objects from
 * several files are merged key by key; a value defined in two files is an issue.
 *
 * @example
 * const result = await safeLoadTree('settings');
 * if (result.success) console.log(result.data.places['service.deadlineMs']);
 */
export async function safeLoadTree(target: string): Promise<SafeParseResult<LocatedTree>> {
	const accumulator: TreeAccumulator = {tree: {}, places: {}, issues: []};
	for (const file of await listFiles(target)) {
		collectFile(accumulator, file, await readFile(file, 'utf8'));
	}

	if (accumulator.issues.length > 0) {
		return {success: false, error: createIssuesError(accumulator.issues)};
	}

	const parsed = safeParseTree(accumulator.tree);
	if (parsed.success) {
		return {success: true, data: {tree: parsed.data, places: accumulator.places}};
	}

	return {success: false, error: createIssuesError(parsed.error.issues.map(issue => ({...issue, ...findLocation(accumulator.places, issue.path)})))};
}

function collectFile(accumulator: TreeAccumulator, file: string, text: string): void {
	const errors: ParseError[] = [];
	const root = parseTree(text, errors, {allowTrailingComma: true});
	for (const {error, offset} of errors) {
		accumulator.issues.push({
			code: 'invalid_json', path: [], message: printParseErrorCode(error), file, line: countLine(text, offset),
		});
	}

	if (root?.type === 'object') {
		collectNode(accumulator, root, {
			file, text, path: [], target: accumulator.tree,
		});
	} else if (errors.length === 0) {
		accumulator.issues.push({
			code: 'invalid_json', path: [], message: 'expected an object', file, line: 1,
		});
	}
}

type NodeContext = {readonly file: string; readonly text: string; readonly path: readonly string[]; readonly target: Record<string, unknown>};

function collectNode(accumulator: TreeAccumulator, node: Node, ctx: NodeContext): void {
	for (const property of node.children ?? []) {
		const [keyNode, valueNode] = property.children!;
		const key = keyNode!.value as string;
		const keyPath = [...ctx.path, key];
		const location = {file: ctx.file, line: countLine(ctx.text, property.offset)};
		const known = accumulator.places[keyPath.join('.')];
		const isObject = valueNode?.type === 'object';
		if (known !== undefined && !(isObject && isRecord(ctx.target[key]))) {
			accumulator.issues.push({
				code: 'defined_twice', path: keyPath, message: `value stands in ${known.file}:${known.line} already`, ...location,
			});
			continue;
		}

		accumulator.places[keyPath.join('.')] ??= location;
		if (isObject) {
			const target = isRecord(ctx.target[key]) ? ctx.target[key] : {};
			ctx.target[key] = target;
			collectNode(accumulator, valueNode, {...ctx, path: keyPath, target});
		} else {
			ctx.target[key] = readNode(valueNode);
		}
	}
}

function readNode(node: Node | undefined): unknown {
	return node?.type === 'array' ? node.children?.map(child => readNode(child)) ?? [] : readObjectOrScalar(node);
}

function readObjectOrScalar(node: Node | undefined): unknown {
	return node?.type === 'object' ? Object.fromEntries((node.children ?? []).map(({children}) => [children![0]!.value as string, readNode(children![1])])) : node?.value as unknown;
}

function isRecord(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Returns the location of a value, or of its nearest ancestor with a location. */
function findLocation(places: Readonly<Record<string, ValueLocation>>, issuePath: Issue['path']): ValueLocation | undefined {
	for (let {length} = issuePath; length > 0; length--) {
		const location = places[issuePath.slice(0, length).join('.')];
		if (location !== undefined) {
			return location;
		}
	}

	return undefined;
}
