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
		},
	},
];

export default config;
