/**
 * `npm run bench -- NAME [options]`: runs one bench and prints its table. Each bench is a module `bench-NAME.ts` with a `runBench`.
 */
import {readdir} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

/** A bench; `args` are the arguments after its name. */
export type Bench = {readonly runBench: (args: readonly string[]) => Promise<void>};

const folder = path.dirname(fileURLToPath(import.meta.url));
const files = await readdir(folder);
const names = files.flatMap(file => /^bench-(?<name>.+)\.js$/v.exec(file)?.groups?.name ?? []);
const [name, ...args] = process.argv.slice(2);
if (name === undefined || !names.includes(name)) {
	console.error(`bench "${name ?? ''}" does not exist; there are: ${names.join(', ')}`);
	process.exit(2);
}

const {runBench} = await import(`./bench-${name}.js`) as Bench;
await runBench(args);
