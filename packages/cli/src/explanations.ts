/**
 * `tamarackwind explain`: reconstructs the history of a job from the logs of the entries.
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {createIssuesError, readErrorMessage} from '@tamarackwind/core';
import {
	explainJob, parseLogLines, type Explanation, type LogLine,
} from '@tamarackwind/workflows';
import {type Argv, type CommandModule} from 'yargs';
import {printRows, runCommand} from './operator-clients.js';

type ExplainOptions = {id: string; logs: string[]; json: boolean};

function withLogOptions<T>(yargs: Argv<T>): Argv<T & ExplainOptions> {
	return yargs
		.positional('id', {type: 'string', demandOption: true, describe: 'Id of the job'})
		.option('logs', {
			type: 'string', array: true, demandOption: true, describe: 'Log files of one or more entries',
		})
		.option('json', {type: 'boolean', default: false, describe: 'Print the output as JSON'});
}

export const explainCommand: CommandModule<Record<string, unknown>, ExplainOptions> = {
	command: 'explain <id>',
	describe: 'Explain the history of a job from log files of the entries',
	builder: yargs => withLogOptions(yargs)
		.example('$0 explain 5c0e7a21d94b36f8 --logs entry-1.log entry-2.log', 'Show the timeline of a job and the reason for its state'),
	async handler({id, logs, json}) {
		await runCommand(async () => {
			const lines = await Promise.all(logs.map(async file => readLines(file)));
			printExplanation(explainJob(id, lines.flat()), json);
		});
	},
};

async function readLines(file: string): Promise<LogLine[]> {
	try {
		return parseLogLines(await readFile(file, 'utf8'));
	} catch (error) {
		throw createIssuesError([{
			code: 'unreadable_file', path: ['logs'], message: readErrorMessage(error), file,
		}]);
	}
}

function printExplanation(explanation: Explanation, json: boolean): void {
	if (json) {
		process.stdout.write(`${JSON.stringify(explanation, undefined, 2)}\n`);
		return;
	}

	const {timeline, repeats, summary} = explanation;
	printRows(timeline.map(({time, entry, message, level: _level, ...fields}) => ({
		time, entry, message, fields,
	})), {json});
	process.stdout.write([...repeats, summary].map(line => `${line}\n`).join(''));
}
