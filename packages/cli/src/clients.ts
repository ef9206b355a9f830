/**
 * Client of an entry's operator port.
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {
	IssuesError, VerdictError, createIssuesError, readErrorMessage, type Issue, type Verdict,
} from '@tamarackwind/core';
import {Agent, request} from 'undici';
import {type Argv} from 'yargs';
import {exitCodes} from './exits.js';

/** Options of every command that talks to an entry. */
export type OperatorOptions = {
	readonly entry: string;
	readonly tokenFile?: string;
	readonly caFile?: string;
	readonly json?: boolean;
};

/** Adds the options of commands that talk to an entry. */
export function withOperatorOptions<T>(yargs: Argv<T>): Argv<T & OperatorOptions> {
	return yargs
		.option('entry', {type: 'string', demandOption: true, describe: 'URL of an entry\'s operator port; TAMARACKWIND_ENTRY'})
		.option('token-file', {type: 'string', describe: 'File that holds the operator\'s bearer token; TAMARACKWIND_TOKEN_FILE'})
		.option('ca-file', {type: 'string', describe: 'File of the authority behind the entry\'s certificate; TAMARACKWIND_CA_FILE'})
		.option('json', {type: 'boolean', describe: 'Print JSON'});
}

/** Answer of the operator port. */
export type OperatorAnswer<T> = {readonly status: number; readonly body: T};

/** Body of a refusal by the operator port. */
export type OperatorRefusal = {readonly code: string; readonly message: string; readonly issues?: readonly Issue[]; readonly verdict?: Verdict};

/**
 * Sends one call to the operator port.
 *
 * @throws {VerdictError} when the entry can't be reached or refuses.
 * @throws {IssuesError} when the entry names faults in what was sent.
 */
export async function callOperatorPort<T>(options: OperatorOptions, method: 'GET' | 'POST' | 'PUT' | 'DELETE', path: string, json?: unknown): Promise<T> {
	const token = options.tokenFile === undefined ? undefined : (await readFile(options.tokenFile, 'utf8')).trim();
	const ca = options.caFile === undefined ? undefined : await readFile(options.caFile, 'utf8');
	const answer = await sendCall<T>(options.entry, token, {
		method, path, json, ca,
	});
	if (answer.status < 400) {
		return answer.body;
	}

	const {code, message, issues, verdict} = answer.body as OperatorRefusal;
	if (issues !== undefined) {
		throw createIssuesError(issues);
	}

	throw new VerdictError(message, {verdict: answer.status >= 500 ? verdict ?? 'may-have-run' : 'not-run', code: readRefusalCode(answer.status, code)});
}

function readRefusalCode(status: number, code: string): string {
	if (status === 409) {
		return 'conflict';
	}

	return status >= 500 ? 'unavailable' : code;
}

async function sendCall<T>(entry: string, token: string | undefined, {method, path, json, ca}: {readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE'; readonly path: string; readonly json: unknown; readonly ca: string | undefined}): Promise<OperatorAnswer<T>> {
	try {
		const response = await request(new URL(path, entry), {
			method,
			dispatcher: ca === undefined ? undefined : new Agent({connect: {ca}}),
			headers: {
				...(token === undefined ? {} : {authorization: `Bearer ${token}`}),
				...(json === undefined ? {} : {'content-type': 'application/json'}),
			},
			body: json === undefined ? undefined : JSON.stringify(json),
		});
		return {status: response.statusCode, body: await response.body.json() as T};
	} catch (error) {
		throw new VerdictError(`entry ${entry} did not answer: ${readErrorMessage(error)}`, {verdict: 'may-have-run', code: 'unavailable'});
	}
}

/** Runs a command; prints what it throws and sets the exit code. */
export async function runCommand(run: () => Promise<void>): Promise<void> {
	try {
		await run();
	} catch (error) {
		process.stderr.write(`${readErrorMessage(error)}\n`);
		process.exitCode = readExitCode(error);
	}
}

function readExitCode(error: unknown): number {
	if (error instanceof IssuesError) {
		return exitCodes.badInput;
	}

	if (error instanceof VerdictError && error.code === 'conflict') {
		return exitCodes.conflict;
	}

	return error instanceof VerdictError && error.code === 'unavailable' ? exitCodes.unavailable : exitCodes.failed;
}

function formatCell(value: unknown): string {
	return typeof value === 'string' ? value : JSON.stringify(value) ?? '';
}

/** Prints rows as aligned columns, or as JSON. */
export function printRows(rows: ReadonlyArray<Readonly<Record<string, unknown>>>, {json}: Pick<OperatorOptions, 'json'>): void {
	if (json) {
		process.stdout.write(`${JSON.stringify(rows, undefined, 2)}\n`);
		return;
	}

	const columns = Object.keys(rows[0] ?? {});
	const lines = [columns, ...rows.map(row => columns.map(column => formatCell(row[column])))];
	const widths = columns.map((_, index) => Math.max(...lines.map(line => line[index]!.length)));
	for (const line of lines) {
		process.stdout.write(`${line.map((cell, index) => cell.padEnd(widths[index]!)).join('  ').trimEnd()}\n`);
	}
}
