/**
 * `npm run fuzz [-- SEED [RUNS]]`: runs the property-based tests with more generated cases, from the given or a random seed.
 */
import {spawnSync} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const maxSeed = 2 ** 31;
const defaultRuns = 20_000;
const [seed = randomInt(maxSeed), runs = defaultRuns] = process.argv.slice(2);
const folders = readdirSync('packages').map(name => path.join('packages', name, 'dist', 'tests'));
const files = folders
	.flatMap(folder => listTests(folder))
	.filter(file => readFileSync(file, 'utf8').includes('readFuzzParameters'));

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
