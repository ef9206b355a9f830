/**
 * `tamarackwind move`: starts, lists and cancels moves of VMs between pools.
 */
import {randomUUID} from 'node:crypto';
import {type Argv, type CommandModule} from 'yargs';
import {
	callOperatorPort, printRows, runCommand, withOperatorOptions, type OperatorOptions,
} from './operator-clients.js';

type Move = Record<string, unknown> & {readonly done: readonly string[]; readonly vmIds: readonly string[]};
type IdOptions = OperatorOptions & {readonly id: string};
type StartOptions = OperatorOptions & {
	readonly from: string;
	readonly to: string;
	readonly count?: number;
	readonly vm?: string[];
	readonly allowWorseSpread: boolean;
	readonly id?: string;
};

function printMoves(moves: readonly Move[], options: OperatorOptions): void {
	printRows(options.json
		? moves
		: moves.map(({moveId, state, cause, from, to, count, done, createdBy}) => ({
			moveId, state, cause, from, to, count, done: done.length, createdBy,
		})), options);
}

const startCommand: CommandModule<Record<string, unknown>, StartOptions> = {
	command: 'start',
	describe: 'Start a move; the entries carry it out within the budgets',
	builder: yargs => withOperatorOptions(yargs)
		.option('from', {type: 'string', demandOption: true, describe: 'Pool to take VMs from'})
		.option('to', {type: 'string', demandOption: true, describe: 'Pool to move VMs to'})
		.option('count', {type: 'number', describe: 'Number of VMs to move; VMs are chosen so that no pool\'s spread over zones gets worse'})
		.option('vm', {type: 'string', array: true, describe: 'Ids of the VMs to move'})
		.option('allow-worse-spread', {type: 'boolean', default: false, describe: 'Move the VMs given by --vm even if a pool\'s spread over zones gets worse'})
		.option('id', {type: 'string', describe: 'Id of the move; repeating the command with the same id starts no second move'})
		.example('$0 move start --from spare --to north --count 2', 'Move two VMs')
		.example('$0 move start --from spare --to north --vm spare-3', 'Move one VM by its id') as unknown as Argv<StartOptions>,
	async handler(options) {
		await runCommand(async () => {
			const move = await callOperatorPort<Move>(options, 'POST', '/v1/moves', {
				moveId: options.id ?? `move-${randomUUID()}`,
				from: options.from,
				to: options.to,
				count: options.count,
				vms: options.vm,
				allowsWorseSpread: options.allowWorseSpread,
			});
			printMoves([move], options);
		});
	},
};

const listCommand: CommandModule<Record<string, unknown>, OperatorOptions> = {
	command: 'list',
	describe: 'List moves, including those started by demand or by a declared size',
	builder: yargs => withOperatorOptions(yargs).example('$0 move list', 'List the moves'),
	async handler(options) {
		await runCommand(async () => {
			printMoves(await callOperatorPort<Move[]>(options, 'GET', '/v1/moves'), options);
		});
	},
};

function createIdCommand(verb: string, describe: string, method: 'GET' | 'POST', suffix: string): CommandModule<Record<string, unknown>, IdOptions> {
	return {
		command: `${verb} <id>`,
		describe,
		builder: yargs => withOperatorOptions(yargs.positional('id', {type: 'string', demandOption: true, describe: 'Id of the move'}))
			.example(`$0 move ${verb} move-7`, describe),
		async handler(options) {
			await runCommand(async () => {
				printMoves([await callOperatorPort<Move>(options, method, `/v1/moves/${encodeURIComponent(options.id)}${suffix}`)], options);
			});
		},
	};
}

export const moveCommand: CommandModule = {
	command: 'move <command>',
	describe: 'Start, list and cancel moves of VMs between pools',
	builder: yargs => yargs
		.command(startCommand)
		.command(listCommand)
		.command(createIdCommand('show', 'Show a move', 'GET', ''))
		.command(createIdCommand('cancel', 'Cancel a move; VMs that were already moved stay in their new pool', 'POST', '/cancel'))
		.demandCommand(1, 'a command is missing; see move --help'),
	handler() {},
};
