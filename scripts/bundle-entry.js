/**
 * Bundles the entry daemon of the foreign platform into one file, so that startup reads less from disk. The argument names another file to write.
 */
import process from 'node:process';
import {build} from 'esbuild';

const [outfile = 'target/entry.cjs'] = process.argv.slice(2);

await build({
	entryPoints: ['platform/src/main.ts'],
	outfile,
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minifySyntax: true,
	conditions: ['source'],
	alias: Object.fromEntries(['clients', 'core', 'scheduling', 'workflows'].map(name => [`@tamarackwind/${name}`, `./packages/${name}/src/index.ts`])),
	logLevel: 'warning',
});
