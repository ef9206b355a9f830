/**
 * Runs one case: its exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
 */
import path from 'node:path';
import process from 'node:process';
import {Deployment} from './stand-in-2-deployments.js';

/** Whether the play has its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Plays a case; `play` resolves to the broken rules. */
export async function runCase(folder, options, play) {
	let deployment;
	let code = 2;
	process.on('SIGTERM', async () => {
		await deployment?.close();
		process.exit(2);
	});
	try {
		deployment = await Deployment.create(options);
		const violations = await play(deployment);
		for (const text of violations) {
			deployment.record.add(`BROKEN ${text}`);
			process.stdout.write(`${text}\n`);
		}

		code = violations.length === 0 ? 0 : 1;
	} catch (error) {
		process.stderr.write(`${error.stack}\n`);
		deployment?.record.add(`the case could not run: ${error.message}`);
	}

	await deployment?.close({logFolder: process.env.LOGS});
	deployment?.record.save(path.join(folder, 'record.txt'));
	process.exit(code);
}
