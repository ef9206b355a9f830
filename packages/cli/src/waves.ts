/**
 * `tamarackwind wave`: starts and controls maintenance waves.
 */
import {randomUUID} from 'node:crypto';
import {createIssuesError} from '@tamarackwind/core';
import {type Argv, type CommandModule} from 'yargs';
import {
	callOperatorPort, printRows, runCommand, withOperatorOptions, type OperatorOptions,
} from './operator-clients.js';

type Wave = Record<string, unknown>;
type IdOptions = OperatorOptions & {readonly id: string};
type StartOptions = OperatorOptions & {
	readonly pool?: string[];
	readonly zone?: string[];
	readonly rack?: string[];
	readonly vm?: string[];
	readonly all?: boolean;
	readonly action: string;
	readonly maxNotBack: number;
	readonly returnTimeout: number;
	readonly deadline?: string;
	readonly includeHeld: boolean;
	readonly id?: string;
};

const secondMs = 1000;

function withSelection<T>(yargs: Argv<T>): Argv<T> {
	return yargs
		.option('pool', {type: 'string', array: true, describe: 'Select the VMs of these pools'})
		.option('zone', {type: 'string', array: true, describe: 'Select the VMs in these availability zones'})
		.option('rack', {type: 'string', array: true, describe: 'Select the VMs in these racks'})
		.option('vm', {type: 'string', array: true, describe: 'Select VMs by id'})
		.option('all', {type: 'boolean', describe: 'Select every VM of the fleet'});
}

function buildSelector({pool, zone, rack, vm, all}: StartOptions): Record<string, string[] | undefined> {
	const hasSelection = [pool, zone, rack, vm].some(names => names !== undefined);
	if (hasSelection === Boolean(all)) {
		throw createIssuesError([{code: 'bad_selection', path: [], message: 'name the VMs by --pool, --zone, --rack or --vm, or take --all'}]);
	}

	return {
		pools: pool, zones: zone, racks: rack, vms: vm,
	};
}

function parseDeadline(text: string | undefined): number | undefined {
	const deadline = text === undefined ? undefined : Date.parse(text);
	if (Number.isNaN(deadline)) {
		throw createIssuesError([{code: 'bad_time', path: ['deadline'], message: `"${text}" is not a time such as 2030-05-01T06:00Z`}]);
	}

	return deadline;
}

const startCommand: CommandModule<Record<string, unknown>, StartOptions> = {
	command: 'start',
	describe: 'Start a wave; the entries carry it out within the budgets',
	builder: yargs => withSelection(withOperatorOptions(yargs))
		.option('action', {choices: ['reboot', 'drain'], default: 'reboot', describe: 'Action on each VM; drain keeps it out of service until "vm release"'})
		.option('max-not-back', {type: 'number', default: 1, describe: 'Number of VMs that fail to return before the wave stops'})
		.option('return-timeout', {type: 'number', default: 600, describe: 'Seconds within which a VM must return to service'})
		.option('deadline', {type: 'string', describe: 'Time after which no further VM is taken out of service, such as 2030-05-01T06:00Z'})
		.option('include-held', {type: 'boolean', default: false, describe: 'Include VMs that hold long-lived kernels, which ends the kernels'})
		.option('id', {type: 'string', describe: 'Id of the wave; repeating the command with the same id starts no second wave'})
		.example('$0 wave start --pool north --max-not-back 2', 'Reboot every VM of a pool')
		.example('$0 wave start --zone zone-1 --action drain', 'Drain an availability zone as far as the budgets allow') as unknown as Argv<StartOptions>,
	async handler(options) {
		await runCommand(async () => {
			const wave = await callOperatorPort<Wave>(options, 'POST', '/v1/waves', {
				waveId: options.id ?? `wave-${randomUUID()}`,
				selector: buildSelector(options),
				action: options.action,
				maxNotBack: options.maxNotBack,
				returnTimeoutMs: options.returnTimeout * secondMs,
				deadline: parseDeadline(options.deadline),
				includesHeld: options.includeHeld,
			});
			printRows([wave], options);
		});
	},
};

const listCommand: CommandModule<Record<string, unknown>, OperatorOptions> = {
	command: 'list',
	describe: 'List waves with their progress and expected end',
	builder: yargs => withOperatorOptions(yargs).example('$0 wave list', 'List the waves'),
	async handler(options) {
		await runCommand(async () => {
			printRows(await callOperatorPort<Wave[]>(options, 'GET', '/v1/waves'), options);
		});
	},
};

function createIdCommand(verb: string, describe: string, method: 'GET' | 'POST', suffix: string): CommandModule<Record<string, unknown>, IdOptions> {
	return {
		command: `${verb} <id>`,
		describe,
		builder: yargs => withOperatorOptions(yargs.positional('id', {type: 'string', demandOption: true, describe: 'Id of the wave'}))
			.example(`$0 wave ${verb} wave-7`, describe),
		async handler(options) {
			await runCommand(async () => {
				const {vms, ...wave} = await callOperatorPort<Wave>(options, method, `/v1/waves/${encodeURIComponent(options.id)}${suffix}`);
				printRows([options.json && vms !== undefined ? {...wave, vms} : wave], options);
			});
		},
	};
}

export const waveCommand: CommandModule = {
	command: 'wave <command>',
	describe: 'Start and control maintenance waves',
	builder: yargs => yargs
		.command(startCommand)
		.command(listCommand)
		.command(createIdCommand('show', 'Show a wave and the VMs that it has taken out of service', 'GET', ''))
		.command(createIdCommand('pause', 'Take no further VM out of service until the wave is resumed', 'POST', '/pause'))
		.command(createIdCommand('resume', 'Resume a paused wave', 'POST', '/resume'))
		.command(createIdCommand('cancel', 'Cancel a wave; it ends after rebooting VMs have returned', 'POST', '/cancel'))
		.demandCommand(1, 'a command is missing; see wave --help'),
	handler() {},
};
