/**
 * `npm run bench -- NAME [options]`: runs a bench and prints its results. Each bench is a module `bench-NAME.ts` that exports `runBench`.
 */
import {readdir} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

/** Module of a bench; `args` are the command-line arguments after the bench's name. */
export type Bench = {readonly runBench: (args: readonly string[]) => Promise<void>};

const folder = path.dirname(fileURLToPath(import.meta.url));
const files = await readdir(folder);
const names = files.flatMap(file => /^bench-(?<name>.+)\.js$/v.exec(file)?.groups?.name ?? []);
const [name, ...args] = process.argv.slice(2);
if (name === undefined || !names.includes(name)) {
	console.error(`unknown bench "${name ?? ''}"; expected one of: ${names.join(', ')}`);
	process.exit(2);
}

const {runBench} = await import(`./bench-${name}.js`) as Bench;
await runBench(args);
