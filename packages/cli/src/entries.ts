/**
 * `tamarackwind entry`: runs the entry daemon until a signal stops it.
 */
import process from 'node:process';
import {IssuesError} from '@tamarackwind/core';
import {Entry, loadEntryConfig} from '@tamarackwind/entry';
import {type CommandModule} from 'yargs';
import {exitCodes} from './exit-codes.js';

export const entryCommand: CommandModule<Record<string, unknown>, {config: string}> = {
	command: 'entry',
	describe: 'Run the entry daemon',
	builder: yargs => yargs
		.option('config', {type: 'string', demandOption: true, describe: 'Configuration file of the daemon, JSON with comments'})
		.example('$0 entry --config /etc/tamarackwind/entry.jsonc', 'Run the daemon with the configuration file of this VM'),
	async handler({config}) {
		try {
			const entry = await Entry.create(await loadEntryConfig(config));
			closeOnSignal(entry);
		} catch (error) {
			if (!(error instanceof IssuesError)) {
				throw error;
			}

			process.stderr.write(`${error.message}\n`);
			process.exitCode = exitCodes.badInput;
		}
	},
};

/** Closes the entry gracefully on the first signal, and aborts requests in flight on the second. */
function closeOnSignal(entry: Entry): void {
	const controller = new AbortController();
	let isClosing = false;
	const close = async (): Promise<void> => {
		if (isClosing) {
			controller.abort();
			return;
		}

		isClosing = true;
		const {cutRequests} = await entry.close({signal: controller.signal});
		process.exitCode = cutRequests === 0 ? exitCodes.ok : exitCodes.failed;
	};

	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			void close();
		});
	}
}
