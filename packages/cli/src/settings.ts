/**
 * `tamarackwind settings`: checks, applies, shows and explains the settings tree, and checks configurations of the platform.
 */
import {randomUUID} from 'node:crypto';
import {readFile, stat} from 'node:fs/promises';
import process from 'node:process';
import {createIssuesError, VerdictError} from '@tamarackwind/core';
import {checkConfigurationSize, checkConfigurationText, isConfigurationText} from '@tamarackwind/platform/configuration-files';
import {
	diffTrees, formatTreePath, safeLoadTree, type LocatedTree, type TreeChange,
} from '@tamarackwind/settings';
import {formatFinding, type ConfigurationFinding} from '@tamarackwind/workflows';
import wrapAnsi from 'wrap-ansi';
import {type Argv, type CommandModule} from 'yargs';
import {
	callOperatorPort, printRows, runCommand, withOperatorOptions, type OperatorOptions,
} from './operator-clients.js';
import {exitCodes} from './exit-codes.js';

type Command<T> = CommandModule<Record<string, unknown>, T>;
type StoredTree = {readonly version: number; readonly tree: unknown};
type Outcome = {readonly status: 'in-force' | 'pending' | 'checked'; readonly changeId: string; readonly version: number; readonly paths: readonly string[]};
type HistoryRow = {readonly version: number; readonly at: number; readonly operator: string; readonly changeId: string; readonly paths: readonly string[]; readonly why?: string};
type ChangeOptions = OperatorOptions & {readonly base: number; readonly change?: string; readonly why?: string; readonly dryRun?: boolean};

type CheckOptions = {readonly target: string; readonly against?: string; readonly linkMbps?: number; readonly boundMs: number; readonly json?: boolean};
type ApplyOptions = ChangeOptions & {readonly directory: string; readonly rebase?: boolean};
type ShowOptions = OperatorOptions & {readonly atVersion?: number; readonly change?: string};
type ExplainedValue = {readonly path: string; readonly value: unknown; readonly from: string; readonly file?: string; readonly line?: number; readonly operator?: string; readonly version?: number};

/** The shortest of the users' bounds, in milliseconds. */
const defaultBoundMs = 2000;
const severities = ['error', 'warning', 'notice'] as const;
/** Width of the output of findings, in columns. */
const outputColumns = 100;
/** Aligns further lines of a finding with its path, after the severity. */
const continuationIndent = ' '.repeat('warning '.length);

/** Attempts to send a change whose response was lost; all carry the same change id. */
const maxAttempts = 3;

async function loadTree(directory: string): Promise<LocatedTree> {
	const result = await safeLoadTree(directory);
	if (!result.success) {
		throw result.error;
	}

	return result.data;
}

function withDirectory<T>(yargs: Argv<T>): Argv<T & {directory: string}> {
	return yargs.positional('directory', {type: 'string', demandOption: true, describe: 'Directory of settings files, or one file'});
}

function withChangeOptions<T>(yargs: Argv<T>): Argv<T & ChangeOptions> {
	return withOperatorOptions(yargs)
		.option('base', {type: 'number', demandOption: true, describe: 'Version that the change is based on; see "settings show"'})
		.option('change', {type: 'string', describe: 'Id of the change; a change with the same id is applied only once'})
		.option('why', {type: 'string', describe: 'Reason, for the audit trail'})
		.option('dry-run', {type: 'boolean', describe: 'Check the change without applying it'});
}

function printJson(value: unknown): void {
	process.stdout.write(`${JSON.stringify(value, undefined, 2)}\n`);
}

function printChanges(changes: readonly TreeChange[], options: OperatorOptions): void {
	printRows(changes.map(({path, before, after}) => ({path: formatTreePath(path), before, after})), options);
}

function printOutcome(outcome: Outcome, options: OperatorOptions): void {
	if (options.json) {
		printJson(outcome);
	} else {
		process.stdout.write(`change ${outcome.changeId}: ${outcome.status}, version ${outcome.version}\n${outcome.paths.map(path => `  ${path}\n`).join('')}`);
	}

	if (outcome.status === 'pending') {
		process.stderr.write(`the change is accepted but not yet in force on every entry; check it with: settings show --change ${outcome.changeId}\n`);
		process.exitCode = exitCodes.pending;
	}
}

/** Reads a file that is meant as a configuration in the platform's format; returns `undefined` for settings files. */
async function readConfigurationText(target: string, against: string | undefined): Promise<string | undefined> {
	if ((await stat(target)).isDirectory()) {
		if (against !== undefined) {
			throw createIssuesError([{code: 'not_a_file', path: [], message: `"${target}" is a directory; --against compares two files`}]);
		}

		return undefined;
	}

	const text = await readFile(target, 'utf8');
	return against !== undefined || isConfigurationText(text) ? text : undefined;
}

/** Prints findings; errors go to standard error, and to the JSON output as well. */
function printFindings(findings: readonly ConfigurationFinding[], {json}: Pick<CheckOptions, 'json'>): void {
	for (const finding of findings) {
		const isError = finding.severity === 'error';
		if (isError || !json) {
			(isError ? process.stderr : process.stdout).write(`${wrapLine(formatFinding(finding))}\n`);
		}
	}

	const counts = severities.map(severity => ({severity, count: findings.filter(finding => finding.severity === severity).length}));
	if (json) {
		printJson(findings);
	} else {
		process.stdout.write(`${counts.map(({severity, count}) => `${severity}s: ${count}`).join(', ')}\n`);
	}

	if (findings.some(({severity}) => severity === 'error')) {
		process.exitCode = exitCodes.badInput;
	}
}

function wrapLine(line: string): string {
	return wrapAnsi(line, outputColumns - continuationIndent.length, {hard: true}).replaceAll('\n', `\n${continuationIndent}`);
}

/** Sends a change; retries it with the same id if the response was lost. */
async function sendChange(options: ChangeOptions, method: 'PUT' | 'POST', path: string, body: Record<string, unknown>): Promise<void> {
	const changeId = options.change ?? randomUUID();
	const json = {
		...body, changeId, baseVersion: options.base, why: options.why, isDryRun: options.dryRun,
	};
	for (let attempt = 1; ; attempt++) {
		try {
			printOutcome(await callOperatorPort<Outcome>(options, method, path, json), options);
			return;
		} catch (error) {
			const isResponseLost = error instanceof VerdictError && error.verdict === 'may-have-run';
			if (!isResponseLost || attempt === maxAttempts) {
				throw isResponseLost ? new VerdictError(`${error.message}; look for it later by: settings show --change ${changeId}`, {verdict: error.verdict, code: error.code}) : error;
			}
		}
	}
}

const checkCommand: Command<CheckOptions> = {
	command: 'check <target>',
	describe: 'Check settings files, or a configuration of the platform, without an entry',
	builder: yargs => yargs
		.positional('target', {type: 'string', demandOption: true, describe: 'Directory of settings files, one such file, or a file with a configuration in the platform\'s format'})
		.option('against', {type: 'string', describe: 'File with another version of the configuration, such as the one in force, to list the differences to'})
		.option('link-mbps', {type: 'number', describe: 'Rate of the slowest link of an entry in megabits per second, to warn of a configuration that it doesn\'t carry in time'})
		.option('bound-ms', {type: 'number', default: defaultBoundMs, describe: 'Time within which a configuration must be in force, in milliseconds'})
		.option('json', {type: 'boolean', describe: 'Print the output as JSON'})
		.example('$0 settings check settings', 'Check the schema, references, budgets and shares')
		.example('$0 settings check new.json --against current.json', 'Check a configuration and list its differences to the one in force') as unknown as Argv<CheckOptions>,
	async handler({target, against, linkMbps, boundMs, json}) {
		await runCommand(async () => {
			const configurationText = await readConfigurationText(target, against);
			if (configurationText !== undefined) {
				const findings = checkConfigurationText(configurationText, against === undefined ? undefined : await readFile(against, 'utf8'));
				const sizeFindings = linkMbps === undefined ? [] : checkConfigurationSize(configurationText, {linkMbps, boundMs});
				printFindings([...findings, ...sizeFindings], {json});
				return;
			}

			const {places} = await loadTree(target);
			const keys = Object.keys(places).length;
			if (json) {
				printJson({keys});
			} else {
				process.stdout.write(`${keys} keys are in order\n`);
			}
		});
	},
};

const applyCommand: Command<ApplyOptions> = {
	command: 'apply <directory>',
	describe: 'Apply settings files as a new version',
	builder: yargs => withChangeOptions(withDirectory(yargs))
		.option('rebase', {type: 'boolean', describe: 'Keep changes that others made elsewhere in the tree since the base version'})
		.example('$0 settings apply settings --base 41 --why "more retries"', 'Apply a change based on version 41')
		.example('$0 settings apply settings --base 41 --dry-run', 'Check the change against the tree in force') as unknown as Argv<ApplyOptions>,
	async handler(options) {
		await runCommand(async () => {
			const {tree, places} = await loadTree(options.directory);
			await sendChange(options, 'PUT', '/v1/settings', {tree, places, isRebased: options.rebase});
		});
	},
};

const showCommand: Command<ShowOptions> = {
	command: 'show',
	describe: 'Show the tree in force, an earlier one, or a change',
	builder: yargs => withOperatorOptions(yargs)
		.option('at-version', {type: 'number', describe: 'Version to show; defaults to the one in force'})
		.option('change', {type: 'string', conflicts: 'at-version', describe: 'Id of a change whose status to show'})
		.example('$0 settings show', 'Show the tree in force with its version')
		.example('$0 settings show --change c-17', 'Show whether a change was accepted and is in force') as unknown as Argv<ShowOptions>,
	async handler(options) {
		await runCommand(async () => {
			if (options.change !== undefined) {
				printOutcome(await callOperatorPort<Outcome>(options, 'GET', `/v1/settings/changes/${encodeURIComponent(options.change)}`), options);
				return;
			}

			const path = options.atVersion === undefined ? '/v1/settings' : `/v1/settings/versions/${options.atVersion}`;
			printJson(await callOperatorPort<StoredTree>(options, 'GET', path));
		});
	},
};

const diffCommand: Command<OperatorOptions & {directory: string}> = {
	command: 'diff <directory>',
	describe: 'Compare settings files with the tree in force',
	builder: yargs => withOperatorOptions(withDirectory(yargs))
		.example('$0 settings diff settings', 'List the values that the files would change'),
	async handler(options) {
		await runCommand(async () => {
			const {tree} = await loadTree(options.directory);
			const current = await callOperatorPort<StoredTree>(options, 'GET', '/v1/settings');
			printChanges(diffTrees(current.tree, tree), options);
		});
	},
};

const explainCommand: Command<OperatorOptions & {path: string}> = {
	command: 'explain <path>',
	describe: 'Show where the values at a path come from',
	builder: yargs => withOperatorOptions(yargs)
		.positional('path', {type: 'string', demandOption: true, describe: 'Path such as deployments.fixture.pools.north'})
		.example('$0 settings explain deployments.fixture.pools.north.services.redraw', 'Show the file, line, operator and version of each value of a service') as unknown as Argv<OperatorOptions & {path: string}>,
	async handler(options) {
		await runCommand(async () => {
			const values = await callOperatorPort<ExplainedValue[]>(options, 'GET', `/v1/settings/explain?path=${encodeURIComponent(options.path)}`);
			printRows(values.map(({path, value, from, file, line, operator, version}) => ({
				path, value, from, file: file === undefined ? '' : `${file}:${line}`, operator: operator ?? '', version: version ?? '',
			})), options);
		});
	},
};

const historyCommand: Command<OperatorOptions & {limit: number}> = {
	command: 'history',
	describe: 'List accepted changes, newest first',
	builder: yargs => withOperatorOptions(yargs)
		.option('limit', {type: 'number', default: 20, describe: 'Maximum number of changes to list'})
		.example('$0 settings history --limit 5', 'List the last five changes') as unknown as Argv<OperatorOptions & {limit: number}>,
	async handler(options) {
		await runCommand(async () => {
			const rows = await callOperatorPort<HistoryRow[]>(options, 'GET', `/v1/settings/history?limit=${options.limit}`);
			printRows(rows.map(({version, at, operator, changeId, paths, why}) => ({
				version, at: new Date(at).toISOString(), operator, change: changeId, paths: paths.length, why: why ?? '',
			})), options);
		});
	},
};

const rollbackCommand: Command<ChangeOptions & {toVersion: number}> = {
	command: 'rollback <to-version>',
	describe: 'Apply the tree of an earlier version as a new version',
	builder: yargs => withChangeOptions(yargs)
		.positional('to-version', {type: 'number', demandOption: true, describe: 'Version whose tree to apply'})
		.example('$0 settings rollback 40 --base 41 --why "undo the retries"', 'Create version 42 from the tree of version 40') as unknown as Argv<ChangeOptions & {toVersion: number}>,
	async handler(options) {
		await runCommand(async () => sendChange(options, 'POST', '/v1/settings/rollback', {toVersion: options.toVersion}));
	},
};

export const settingsCommand: CommandModule = {
	command: 'settings',
	describe: 'Check, apply and explain the settings tree',
	builder: yargs => yargs
		.command(checkCommand)
		.command(applyCommand)
		.command(showCommand)
		.command(diffCommand)
		.command(explainCommand)
		.command(historyCommand)
		.command(rollbackCommand)
		.demandCommand(1, 'a command is missing; see settings --help'),
	handler() {},
};
