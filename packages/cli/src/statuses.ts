/**
 * `tamarackwind status`: what an entry works by.
 */
import {type CommandModule} from 'yargs';
import {
	callOperatorPort, printRows, runCommand, withOperatorOptions, type OperatorOptions,
} from './clients.js';

export const statusCommand: CommandModule<Record<string, unknown>, OperatorOptions> = {
	command: 'status',
	describe: 'Show what an entry works by',
	builder: yargs => withOperatorOptions(yargs)
		.example('$0 status --entry http://10.0.0.1:8081', 'Show the versions of settings and fleet in force'),
	async handler(options) {
		await runCommand(async () => {
			printRows([await callOperatorPort(options, 'GET', '/v1/status')], options);
		});
	},
};
