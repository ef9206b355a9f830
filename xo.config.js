/**
 * Lint rules. XO's default rules and formatting apply except for the rules set here.
 */
import {verbsPlugin} from './scripts/verbs.js';

/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['**/dist/**', 'packages/peer/src/gen/**', 'reports/**'],
	},
	{
		plugins: {tamarackwind: verbsPlugin},
		rules: {
			'tamarackwind/function-verbs': 'error',
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/no-process-exit': 'off',
			'unicorn/no-await-expression-member': 'off',
			'n/prefer-global/process': 'off',
			'n/prefer-global/buffer': 'off',
			'no-await-in-loop': 'off',
			'no-bitwise': 'off',
			// Reports contradictory errors for empty bodies.
			'@stylistic/curly-newline': 'off',
			'@stylistic/max-len': 'off',
			'max-params': ['warn', 5],
			'capitalized-comments': 'off',
			'import-x/extensions': 'off',
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			// Does not recognise the error classes of modern-errors.
			'@typescript-eslint/only-throw-error': 'off',
			'@typescript-eslint/no-empty-function': 'off',
			// Branded ids are created by type assertions.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			'@typescript-eslint/member-ordering': 'off',
		},
	},
	{
		// Error classes are values created by modern-errors.
		files: ['packages/*/src/errors.ts'],
		rules: {'@typescript-eslint/naming-convention': 'off', '@typescript-eslint/no-redeclare': 'off'},
	},
	{
		files: ['**/*.test.ts', 'packages/testing/**/*.ts'],
		rules: {
			'tamarackwind/function-verbs': 'off',
			'ava/no-ignored-test-files': 'off',
			'ava/no-conditional-assertion': 'off',
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
];

export default config;
