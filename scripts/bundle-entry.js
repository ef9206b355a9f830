/**
 * Bundles the entry daemon of the foreign platform into one file, so that startup reads less from disk.
 */
import {build} from 'esbuild';

await build({
	entryPoints: ['platform/src/main.ts'],
	outfile: 'target/entry.cjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minifySyntax: true,
	conditions: ['source'],
	alias: Object.fromEntries(['clients', 'core', 'scheduling', 'workflows'].map(name => [`@tamarackwind/${name}`, `./packages/${name}/src/index.ts`])),
	logLevel: 'warning',
});
