/**
 * `tamarackwind pool`: lists and shows pools with their VMs and budgets.
 */
import {type CommandModule} from 'yargs';
import {
	callOperatorPort, printRows, runCommand, withOperatorOptions, type OperatorOptions,
} from './operator-clients.js';

type NamedOptions = OperatorOptions & {readonly name: string};
type Rows = Array<Record<string, unknown>>;

const listCommand: CommandModule<Record<string, unknown>, OperatorOptions> = {
	command: 'list',
	describe: 'List the pools with their VMs and budgets',
	builder: yargs => withOperatorOptions(yargs)
		.example('$0 pool list --json', 'Print the pools as JSON'),
	async handler(options) {
		await runCommand(async () => {
			printRows(await callOperatorPort<Rows>(options, 'GET', '/v1/pools'), options);
		});
	},
};

const showCommand: CommandModule<Record<string, unknown>, NamedOptions> = {
	command: 'show <name>',
	describe: 'Show the VMs of a pool',
	builder: yargs => withOperatorOptions(yargs.positional('name', {type: 'string', demandOption: true, describe: 'Name of the pool'}))
		.example('$0 pool show north', 'Show which VMs of the pool are serving, draining or unavailable'),
	async handler(options) {
		await runCommand(async () => {
			const {vms, ...pool} = await callOperatorPort<Record<string, unknown> & {vms: Rows}>(options, 'GET', `/v1/pools/${encodeURIComponent(options.name)}`);
			printRows(options.json ? [{...pool, vms}] : vms.map(vm => selectVmColumns(vm)), options);
		});
	},
};

/** Selects the table columns of a VM. */
export function selectVmColumns(vm: Readonly<Record<string, unknown>>): Record<string, unknown> {
	const {vmId, pool, home, zone, rack, state, listed, work} = vm;
	return {
		vmId, pool, home, zone, rack, state, listed, work: (work as {id?: string} | undefined)?.id ?? '',
	};
}

export const poolCommand: CommandModule = {
	command: 'pool <command>',
	describe: 'List and show pools',
	builder: yargs => yargs.command(listCommand).command(showCommand).demandCommand(1, 'a command is missing; see pool --help'),
	handler() {},
};
