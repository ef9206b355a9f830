#!/usr/bin/env node
/**
 * Starts the compiled command. npm links this file at the install, when the compiled one is not there yet.
 */
import process from 'node:process';

try {
	await import('../dist/src/main.js');
} catch (error) {
	if (error.code !== 'ERR_MODULE_NOT_FOUND') {
		throw error;
	}

	process.stderr.write(`tamarackwind is not built, run \`npm run build\` first: ${error.message}\n`);
	process.exitCode = 1;
}
