/**
 * `tamarackwind job`: lists, shows, cancels and explains jobs.
 */
import process from 'node:process';
import {
	jobKinds, type CancelSelector, type JobKind, type JobRow,
} from '@tamarackwind/jobs';
import {workClasses, type WorkClass} from '@tamarackwind/settings';
import {type CommandModule} from 'yargs';
import {
	callOperatorPort, printRows, runCommand, withOperatorOptions, type OperatorOptions,
} from './operator-clients.js';

type JobOptions = OperatorOptions & {readonly job: string};
type CancelOptions = OperatorOptions & {readonly jobs?: readonly string[]; readonly kind?: JobKind; readonly class?: WorkClass; readonly all?: boolean};

const entryExample = '--entry http://10.0.0.1:8081';

function buildJobPath(job: string): string {
	return `/v1/jobs/${encodeURIComponent(job)}`;
}

function selectJobColumns(row: JobRow): Record<string, unknown> {
	return {
		job: row.jobId,
		caller: row.caller,
		kind: row.spec.kind,
		class: row.spec.workClass,
		state: row.state,
		worker: row.vmId ?? '',
		runs: row.epoch,
		submitted: new Date(row.submittedAt).toISOString(),
	};
}

const listCommand: CommandModule<Record<never, never>, OperatorOptions & {readonly all?: boolean}> = {
	command: 'list',
	describe: 'List the jobs that have not ended',
	builder: yargs => withOperatorOptions(yargs)
		.option('all', {type: 'boolean', describe: 'Also list the jobs that have ended'})
		.example(`$0 job list ${entryExample}`, 'List the waiting and running jobs')
		.example(`$0 job list ${entryExample} --all --json`, 'Print every job with all fields as JSON'),
	async handler(options) {
		await runCommand(async () => {
			const rows = await callOperatorPort<JobRow[]>(options, 'GET', `/v1/jobs?all=${options.all === true}`);
			printRows(options.json ? rows : rows.map(row => selectJobColumns(row)), options);
		});
	},
};

const showCommand: CommandModule<Record<never, never>, JobOptions> = {
	command: 'show <job>',
	describe: 'Show a job',
	builder: yargs => withOperatorOptions(yargs)
		.positional('job', {type: 'string', demandOption: true, describe: 'Id of the job'})
		.example(`$0 job show 5f2c-81aa ${entryExample}`, 'Show every field of a job'),
	async handler(options) {
		await runCommand(async () => {
			const row = await callOperatorPort<JobRow>(options, 'GET', buildJobPath(options.job));
			printRows(options.json ? [row] : Object.entries(row).map(([field, value]) => ({field, value})), options);
		});
	},
};

const cancelCommand: CommandModule<Record<never, never>, CancelOptions> = {
	command: 'cancel [jobs..]',
	describe: 'Cancel jobs; returns at once, whatever the number of jobs',
	builder: yargs => withOperatorOptions(yargs)
		.positional('jobs', {type: 'string', array: true, describe: 'Ids of the jobs'})
		.option('kind', {choices: jobKinds, describe: 'Cancel the jobs of this kind'})
		.option('class', {choices: workClasses, describe: 'Cancel the jobs of this class'})
		.option('all', {type: 'boolean', describe: 'Cancel every job that has not ended'})
		.check(({jobs, kind, class: workClass, all}) => {
			if ((jobs ?? []).length > 0 || kind !== undefined || workClass !== undefined || all === true) {
				return true;
			}

			throw new Error('specify job ids, or select jobs with --kind, --class or --all');
		})
		.example(`$0 job cancel 5f2c-81aa ${entryExample}`, 'Cancel one job')
		.example(`$0 job cancel --kind refresh ${entryExample}`, 'Cancel every job of kind refresh'),
	async handler(options) {
		await runCommand(async () => {
			const jobIds = options.jobs ?? [];
			const selector: CancelSelector = {jobIds: jobIds.length === 0 ? undefined : [...jobIds], kind: options.kind, workClass: options.class};
			printRows([await callOperatorPort<{accepted: boolean}>(options, 'POST', '/v1/jobs/cancel', selector)], options);
		});
	},
};

const explainCommand: CommandModule<Record<never, never>, JobOptions> = {
	command: 'explain <job>',
	describe: 'Explain why a job waits, or where it was placed and why',
	builder: yargs => withOperatorOptions(yargs)
		.positional('job', {type: 'string', demandOption: true, describe: 'Id of the job'})
		.example(`$0 job explain 5f2c-81aa ${entryExample}`, 'Show why a job waits or where it was placed'),
	async handler(options) {
		await runCommand(async () => {
			const response = await callOperatorPort<{explanation: string}>(options, 'GET', `${buildJobPath(options.job)}/explain`);
			if (options.json) {
				printRows([response], options);
			} else {
				process.stdout.write(`${response.explanation}\n`);
			}
		});
	},
};

export const jobCommand: CommandModule = {
	command: 'job',
	describe: 'List, show, cancel and explain jobs',
	builder: yargs => yargs
		.command(listCommand)
		.command(showCommand)
		.command(cancelCommand)
		.command(explainCommand)
		.demandCommand(1, 'a command is missing; see job --help'),
	handler() {},
};
