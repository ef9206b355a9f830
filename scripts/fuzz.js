/**
 * `npm run fuzz [-- SEED [RUNS]]`: runs the property-based tests with more generated cases, from the given or a random seed.
 * `npm run fuzz -- wire [--seed N] [--runs N]` runs only those of malformed messages.
 */
import {spawnSync} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';

const maxSeed = 2 ** 31;
const defaultRuns = 20_000;
const wireTest = 'malformed-messages.test.js';
const {values, positionals} = parseArgs({allowPositionals: true, options: {seed: {type: 'string'}, runs: {type: 'string'}}});
const isWireOnly = positionals[0] === 'wire';
const [seed = values.seed ?? randomInt(maxSeed), runs = values.runs ?? defaultRuns] = isWireOnly ? [] : positionals;
const folders = [...readdirSync('packages').map(name => path.join('packages', name)), 'platform'].map(folder => path.join(folder, 'dist', 'tests'));
const files = folders
	.flatMap(folder => listTests(folder))
	.filter(file => readFileSync(file, 'utf8').includes('readFuzzParameters') && (!isWireOnly || file.endsWith(wireTest)));

function listTests(folder) {
	try {
		return readdirSync(folder).filter(name => name.endsWith('.test.js')).map(name => path.join(folder, name));
	} catch {
		return [];
	}
}

console.log(`seed ${seed}, ${runs} runs of each property in ${files.length} files`);
const {status} = spawnSync('npx', ['ava', '--timeout=1h', ...files], {
	stdio: 'inherit', env: {...process.env, FUZZ_SEED: String(seed), FUZZ_RUNS: String(runs)},
});
process.exitCode = status ?? 1;
