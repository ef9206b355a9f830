/**
 * A tree of settings that stands in several files of a directory.
 */
import {readdir, readFile, stat} from 'node:fs/promises';
import path from 'node:path';
import {createIssuesError, type Issue, type Result} from '@tamarackwind/core';
import {
	parseTree, printParseErrorCode, type Node, type ParseError,
} from 'jsonc-parser';
import {safeParseTree} from './checks.js';
import {countLine} from './files.js';
import {type SettingsTree} from './schemas.js';

/** Where a value stands. */
export type TreePlace = {readonly file: string; readonly line: number};

/** A tree with the place of each of its values, by the text of its path. */
export type PlacedTree = {readonly tree: SettingsTree; readonly places: Readonly<Record<string, TreePlace>>};

type Collected = {readonly tree: Record<string, unknown>; readonly places: Record<string, TreePlace>; readonly issues: Issue[]};

/** Lists the settings files of a directory, or the one file that is named, in order. */
async function listFiles(target: string): Promise<string[]> {
	if (!(await stat(target)).isDirectory()) {
		return [target];
	}

	const names = await readdir(target, {recursive: true});
	return names.filter(name => /\.jsonc?$/v.test(name)).toSorted().map(name => path.join(target, name));
}

/**
 * Reads a tree from every `.json` and `.jsonc` file of a directory, without throwing on faults of the settings. Objects
 * of several files merge key by key; a value that stands in two files is a fault.
 *
 * @example
 * const result = await safeLoadTree('settings');
 * if (result.success) console.log(result.data.places['service.deadlineMs']);
 */
export async function safeLoadTree(target: string): Promise<Result<PlacedTree>> {
	const collected: Collected = {tree: {}, places: {}, issues: []};
	for (const file of await listFiles(target)) {
		collectFile(collected, file, await readFile(file, 'utf8'));
	}

	if (collected.issues.length > 0) {
		return {success: false, error: createIssuesError(collected.issues)};
	}

	const parsed = safeParseTree(collected.tree);
	if (parsed.success) {
		return {success: true, data: {tree: parsed.data, places: collected.places}};
	}

	return {success: false, error: createIssuesError(parsed.error.issues.map(issue => ({...issue, ...findPlace(collected.places, issue.path)})))};
}

function collectFile(collected: Collected, file: string, text: string): void {
	const errors: ParseError[] = [];
	const root = parseTree(text, errors, {allowTrailingComma: true});
	for (const {error, offset} of errors) {
		collected.issues.push({
			code: 'invalid_json', path: [], message: printParseErrorCode(error), file, line: countLine(text, offset),
		});
	}

	if (root?.type === 'object') {
		collectNode(collected, root, {
			file, text, path: [], target: collected.tree,
		});
	} else if (errors.length === 0) {
		collected.issues.push({
			code: 'invalid_json', path: [], message: 'expected an object', file, line: 1,
		});
	}
}

type NodeContext = {readonly file: string; readonly text: string; readonly path: readonly string[]; readonly target: Record<string, unknown>};

function collectNode(collected: Collected, node: Node, ctx: NodeContext): void {
	for (const property of node.children ?? []) {
		const [keyNode, valueNode] = property.children!;
		const key = keyNode!.value as string;
		const keyPath = [...ctx.path, key];
		const place = {file: ctx.file, line: countLine(ctx.text, property.offset)};
		const known = collected.places[keyPath.join('.')];
		const isObject = valueNode?.type === 'object';
		if (known !== undefined && !(isObject && isRecord(ctx.target[key]))) {
			collected.issues.push({
				code: 'defined_twice', path: keyPath, message: `value stands in ${known.file}:${known.line} already`, ...place,
			});
			continue;
		}

		collected.places[keyPath.join('.')] ??= place;
		if (isObject) {
			const target = isRecord(ctx.target[key]) ? ctx.target[key] : {};
			ctx.target[key] = target;
			collectNode(collected, valueNode, {...ctx, path: keyPath, target});
		} else {
			ctx.target[key] = readNode(valueNode);
		}
	}
}

function readNode(node: Node | undefined): unknown {
	return node?.type === 'array' ? node.children?.map(child => readNode(child)) ?? [] : readScalar(node);
}

function readScalar(node: Node | undefined): unknown {
	return node?.type === 'object' ? Object.fromEntries((node.children ?? []).map(({children}) => [children![0]!.value as string, readNode(children![1])])) : node?.value as unknown;
}

function isRecord(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Finds the place of a value, or of the nearest one that holds it. */
function findPlace(places: Readonly<Record<string, TreePlace>>, issuePath: Issue['path']): TreePlace | undefined {
	for (let {length} = issuePath; length > 0; length--) {
		const place = places[issuePath.slice(0, length).join('.')];
		if (place !== undefined) {
			return place;
		}
	}

	return undefined;
}
