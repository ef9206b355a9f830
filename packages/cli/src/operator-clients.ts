/**
 * Client of an entry's operator port, with output and exit codes shared by the commands.
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {
	IssuesError, VerdictError, createIssuesError, readErrorMessage, type Issue, type Verdict,
} from '@tamarackwind/core';
import {Agent, request} from 'undici';
import {type Argv} from 'yargs';
import {exitCodes} from './exit-codes.js';

/** Options of all commands that call an entry. */
export type OperatorOptions = {
	readonly entry: string;
	readonly tokenFile?: string;
	readonly caFile?: string;
	readonly json?: boolean;
};

/** Adds the options of commands that call an entry. */
export function withOperatorOptions<T>(yargs: Argv<T>): Argv<T & OperatorOptions> {
	return yargs
		.option('entry', {type: 'string', demandOption: true, describe: 'URL of an entry\'s operator port; environment variable TAMARACKWIND_ENTRY'})
		.option('token-file', {type: 'string', describe: 'File that contains the operator\'s bearer token; environment variable TAMARACKWIND_TOKEN_FILE'})
		.option('ca-file', {type: 'string', describe: 'File of the CA certificate that signed the entry\'s certificate; environment variable TAMARACKWIND_CA_FILE'})
		.option('json', {type: 'boolean', describe: 'Print the output as JSON'});
}

/** Response of the operator port. */
export type OperatorResponse<T> = {readonly status: number; readonly body: T};

/** Body of an error response of the operator port. */
export type OperatorErrorBody = {readonly code: string; readonly message: string; readonly issues?: readonly Issue[]; readonly verdict?: Verdict};

/**
 * Sends one request to the operator port and returns the body of the response.
 *
 * @throws {VerdictError} if the entry can't be reached or refuses the request.
 * @throws {IssuesError} if the entry reports issues in the request body.
 */
export async function callOperatorPort<T>(options: OperatorOptions, method: 'GET' | 'POST' | 'PUT' | 'DELETE', path: string, json?: unknown): Promise<T> {
	const token = options.tokenFile === undefined ? undefined : (await readFile(options.tokenFile, 'utf8')).trim();
	const ca = options.caFile === undefined ? undefined : await readFile(options.caFile, 'utf8');
	const response = await sendRequest<T>(options.entry, token, {
		method, path, json, ca,
	});
	if (response.status < 400) {
		return response.body;
	}

	const {code, message, issues, verdict} = response.body as OperatorErrorBody;
	if (issues !== undefined) {
		throw createIssuesError(issues);
	}

	throw new VerdictError(message, {verdict: response.status >= 500 ? verdict ?? 'may-have-run' : 'not-run', code: toErrorCode(response.status, code)});
}

function toErrorCode(status: number, code: string): string {
	if (status === 409) {
		return 'conflict';
	}

	return status >= 500 ? 'unavailable' : code;
}

async function sendRequest<T>(entry: string, token: string | undefined, {method, path, json, ca}: {readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE'; readonly path: string; readonly json: unknown; readonly ca: string | undefined}): Promise<OperatorResponse<T>> {
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

/** Runs a command; prints the message of a thrown error and sets the exit code. */
export async function runCommand(run: () => Promise<void>): Promise<void> {
	try {
		await run();
	} catch (error) {
		process.stderr.write(`${readErrorMessage(error)}\n`);
		process.exitCode = toExitCode(error);
	}
}

function toExitCode(error: unknown): number {
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
