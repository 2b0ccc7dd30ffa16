/** @type {import('xo').FlatXoConfig} */
const configuration = [
	{ignores: ['dist/**', 'measurements-output/**']},
	{
		rules: {
			// One task serves a connection from top to bottom, so it waits inside loops.
			'no-await-in-loop': 'off',
			// Lookup tables are keyed by words of the protocols and settings.
			'@typescript-eslint/naming-convention': 'off',
			// Tests run on node:test, whose top-level test() returns a promise that the runner awaits.
			'@typescript-eslint/no-floating-promises': ['error', {allowForKnownSafeCalls: [{from: 'package', name: ['test', 'describe', 'it'], package: 'node:test'}]}],
		},
	},
	{
		files: ['source/testing/**', 'source/measurements/**', '**/*.test.ts'],
		rules: {
			// Answers of our own stand-ins are read by the shape that the test expects.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
		},
	},
];

export default configuration;
