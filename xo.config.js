/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['**/dist/**', 'package-lock.json'],
	},
	{
		files: ['**/*.ts', '**/*.js'],
		rules: {
			// Tests are read as tables: node:test promises are awaited by the runner.
			'@typescript-eslint/no-floating-promises': ['error', {
				allowForKnownSafeCalls: [{from: 'package', name: ['describe', 'it', 'test', 'suite'], package: 'node:test'}],
			}],
			// Clipanion declares its options with functions of capitalized names.
			'new-cap': ['error', {capIsNewExceptionPattern: String.raw`^(Command|Option)\.`}],
			'import-x/no-unassigned-import': ['error', {allow: ['reflect-metadata', '**/dist/main.js']}],
		},
	},
];

export default config;
