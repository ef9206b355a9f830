#!/usr/bin/env node
/**
 * The `tamarackwind` command.
 */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {auditCommand} from './audits.js';
import {entryCommand} from './entries.js';
import {explainCommand} from './explanations.js';
import {jobCommand} from './jobs.js';
import {moveCommand} from './moves.js';
import {poolCommand} from './pools.js';
import {settingsCommand} from './settings.js';
import {statusCommand} from './statuses.js';
import {vmCommand} from './vms.js';
import {waveCommand} from './waves.js';

await yargs(hideBin(process.argv))
	.scriptName('tamarackwind')
	.env('TAMARACKWIND')
	.command(entryCommand)
	.command(jobCommand)
	.command(settingsCommand)
	.command(auditCommand)
	.command(statusCommand)
	.command(poolCommand)
	.command(vmCommand)
	.command(waveCommand)
	.command(moveCommand)
	.command(explainCommand)
	.demandCommand(1, 'a command is missing; see --help')
	.strict()
	.parseAsync();
