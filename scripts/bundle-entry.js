/**
 * Bundles the entry of the users' platform into one file, so that a start reads little.
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
