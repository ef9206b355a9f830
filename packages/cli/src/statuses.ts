/**
 * `tamarackwind status`: shows the entries with their versions of settings and fleet.
 */
import process from 'node:process';
import {type CommandModule} from 'yargs';
import {
	callOperatorPort, printRows, runCommand, withOperatorOptions, type OperatorOptions,
} from './operator-clients.js';

type Status = {
	readonly entryId: string;
	readonly deployment: string;
	readonly isCurrent: boolean;
	readonly isMembershipSettled: boolean;
	readonly members: ReadonlyArray<{readonly entryId: string; readonly isLive: boolean; readonly settings: number; readonly fleet: number}>;
};

export const statusCommand: CommandModule<Record<string, unknown>, OperatorOptions> = {
	command: 'status',
	describe: 'Show the entries and their versions of settings and fleet',
	builder: yargs => withOperatorOptions(yargs)
		.example('$0 status --entry http://10.0.0.1:8081', 'Show the versions of settings and fleet on each entry'),
	async handler(options) {
		await runCommand(async () => {
			const status = await callOperatorPort<Status>(options, 'GET', '/v1/status');
			if (options.json) {
				process.stdout.write(`${JSON.stringify(status, undefined, 2)}\n`);
				return;
			}

			process.stdout.write(`entry ${status.entryId} of deployment ${status.deployment}: ${status.isCurrent ? 'view is current' : 'view is out of date, nothing is dispatched'}\n`);
			printRows(status.members, options);
		});
	},
};
