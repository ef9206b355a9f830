/**
 * `tamarackwind vm`: lists, shows and releases VMs.
 */
import {type CommandModule} from 'yargs';
import {
	callOperatorPort, printRows, runCommand, withOperatorOptions, type OperatorOptions,
} from './operator-clients.js';
import {selectVmColumns} from './pools.js';

type NamedOptions = OperatorOptions & {readonly name: string};
type VmDescription = Record<string, unknown>;

const listCommand: CommandModule<Record<string, unknown>, OperatorOptions> = {
	command: 'list',
	describe: 'List the VMs',
	builder: yargs => withOperatorOptions(yargs)
		.example('$0 vm list', 'List every VM with its pool and state'),
	async handler(options) {
		await runCommand(async () => {
			const vms = await callOperatorPort<VmDescription[]>(options, 'GET', '/v1/vms');
			printRows(options.json ? vms : vms.map(vm => selectVmColumns(vm)), options);
		});
	},
};

const showCommand: CommandModule<Record<string, unknown>, NamedOptions> = {
	command: 'show <name>',
	describe: 'Show one VM',
	builder: yargs => withOperatorOptions(yargs.positional('name', {type: 'string', demandOption: true, describe: 'Id of the VM'}))
		.example('$0 vm show north-1 --json', 'Print all fields of a VM as JSON'),
	async handler(options) {
		await runCommand(async () => {
			const vm = await callOperatorPort<VmDescription>(options, 'GET', `/v1/vms/${encodeURIComponent(options.name)}`);
			printRows([options.json ? vm : selectVmColumns(vm)], options);
		});
	},
};

const releaseCommand: CommandModule<Record<string, unknown>, NamedOptions> = {
	command: 'release <name>',
	describe: 'Return a VM that a wave has drained to service',
	builder: yargs => withOperatorOptions(yargs.positional('name', {type: 'string', demandOption: true, describe: 'Id of the VM'}))
		.example('$0 vm release north-1', 'Return a VM to service after manual work'),
	async handler(options) {
		await runCommand(async () => {
			const vm = await callOperatorPort<VmDescription>(options, 'POST', `/v1/vms/${encodeURIComponent(options.name)}/release`);
			printRows([options.json ? vm : selectVmColumns(vm)], options);
		});
	},
};

export const vmCommand: CommandModule = {
	command: 'vm <command>',
	describe: 'List, show and release VMs',
	builder: yargs => yargs.command(listCommand).command(showCommand).command(releaseCommand).demandCommand(1, 'a command is missing; see vm --help'),
	handler() {},
};
