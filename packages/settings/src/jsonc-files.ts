/**
 * Parses JSON with comments and validates it against a schema; issues carry their file and line.
 */
import {createIssuesError, type SafeParseResult} from '@tamarackwind/core';
import {
	findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode, type Node, type ParseError,
} from 'jsonc-parser';
import type * as z from 'zod';
import {convertSchemaIssues} from './checks.js';

/** Returns the line of an offset, counted from 1. */
export function countLine(text: string, offset: number): number {
	let line = 1;
	for (let index = 0; index < offset; index++) {
		if (text[index] === '\n') {
			line++;
		}
	}

	return line;
}

function findLine(text: string, root: Node, path: ReadonlyArray<string | number>): number {
	for (let {length} = path; length >= 0; length--) {
		const node = findNodeAtLocation(root, path.slice(0, length));
		if (node !== undefined) {
			return countLine(text, node.parent?.type === 'property' ? node.parent.offset : node.offset);
		}
	}

	return 1;
}

/**
 * Parses JSON with comments and validates it against a schema, without throwing.
 *
 * @example
 * const result = safeParseJsonc(settingsTreeSchema, text, 'settings.jsonc');
 * if (!result.success) console.error(result.error.message);
 */
export function safeParseJsonc<Schema extends z.ZodType>(schema: Schema, text: string, file: string): SafeParseResult<z.infer<Schema>> {
	const errors: ParseError[] = [];
	const root = parseTree(text, errors, {allowTrailingComma: true});
	if (root === undefined || errors.length > 0) {
		const issues = errors.map(error => ({
			code: 'invalid_json', path: [], message: printParseErrorCode(error.error), file, line: countLine(text, error.offset),
		}));
		return {
			success: false, error: createIssuesError(issues.length > 0
				? issues
				: [{
					code: 'invalid_json', path: [], message: 'file is empty', file, line: 1,
				}]),
		};
	}

	const parsed = schema.safeParse(getNodeValue(root));
	if (parsed.success) {
		return {success: true, data: parsed.data};
	}

	const issues = convertSchemaIssues(schema, parsed.error.issues).map(issue => ({...issue, file, line: findLine(text, root, issue.path)}));
	return {success: false, error: createIssuesError(issues)};
}

/**
 * Parses JSON with comments and validates it against a schema.
 *
 * @throws {IssuesError} with every issue found.
 */
export function parseJsonc<Schema extends z.ZodType>(schema: Schema, text: string, file: string): z.infer<Schema> {
	const result = safeParseJsonc(schema, text, file);
	if (!result.success) {
		throw result.error;
	}

	return result.data;
}
