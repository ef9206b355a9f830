/**
 * Runs the `tamarackwind` command-line program in a child process.
 */
import {execFile} from 'node:child_process';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {operatorToken, type EntryProcess} from './entry-processes.js';

const mainFile = fileURLToPath(import.meta.resolve('tamarackwind/main'));

/** Exit code and output of a command. */
export type CommandResult = {readonly code: number; readonly stdout: string; readonly stderr: string};

/**
 * Runs a command against an entry's operator port.
 *
 * @example
 * const {stdout} = await runCommandLine(entry, ['pool', 'list', '--json']);
 */
export async function runCommandLine(entry: EntryProcess, args: readonly string[], token = operatorToken): Promise<CommandResult> {
	const tokenFile = path.join(await mkdtemp(path.join(tmpdir(), 'tamarackwind-')), 'token');
	await writeFile(tokenFile, token);
	const connection = ['--entry', entry.getUrl('operator'), '--token-file', tokenFile];
	return new Promise(resolve => {
		execFile(process.execPath, [mainFile, ...args, ...connection], (error, stdout, stderr) => {
			resolve({code: typeof error?.code === 'number' ? error.code : 0, stdout, stderr});
		});
	});
}
