#!/usr/bin/env node
/**
 * The `tamarackwind` command.
 */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {entryCommand} from './entries.js';
import {statusCommand} from './statuses.js';

await yargs(hideBin(process.argv))
	.scriptName('tamarackwind')
	.env('TAMARACKWIND')
	.command(entryCommand)
	.command(statusCommand)
	.demandCommand(1, 'a command is missing; see --help')
	.strict()
	.parseAsync();
