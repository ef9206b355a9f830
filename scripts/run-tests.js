/**
 * Runs all tests: first those that may run side by side, then the serial ones. Arguments are passed to ava.
 */
import {spawnSync} from 'node:child_process';
import process from 'node:process';

const configurations = ['ava.config.js', 'ava.serial.config.js'];

const exitCodes = configurations.map(file => {
	const {status} = spawnSync('ava', ['--config', file, ...process.argv.slice(2)], {stdio: 'inherit'});
	return status ?? 1;
});
process.exitCode = Math.max(...exitCodes);
