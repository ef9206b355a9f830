#!/usr/bin/env node
/**
 * The `tamarackwind` command.
 */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {entryCommand} from './entries.js';

await yargs(hideBin(process.argv))
	.scriptName('tamarackwind')
	.command(entryCommand)
	.demandCommand(1, 'a command is missing; see --help')
	.strict()
	.parseAsync();
