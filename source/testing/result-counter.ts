/**
 * Counts the results of test files, and passes over just the failures that are known.
 *
 * @module
 */

/** What a failed test counts as. */
export type FailureKind = 'failed' | 'known-red' | 'suite';

/** Result of a test, as the test runner of Node.js reports it. */
export type TestResult = {name: string; details: {type?: string}};

/** Options of {@linkcode ResultCounter}. */
export type ResultCounterOptions = {
	/** Test files; the runner also reports a file itself if its process crashed or was ended by the time limit. */
	files: readonly string[];
	/** Names of the tests that are known to fail. */
	knownRed: ReadonlySet<string>;
};

/**
 * Counts passed and failed tests.
 *
 * @example
 * ```ts
 * const counter = new ResultCounter({files, knownRed});
 * stream.on('test:fail', result => counter.countFailure(result));
 * ```
 */
export class ResultCounter {
	passed = 0;
	failed = 0;
	/** Known failures that were passed over. */
	red = 0;
	readonly #files: ReadonlySet<string>;
	readonly #knownRed: ReadonlySet<string>;

	constructor({files, knownRed}: ResultCounterOptions) {
		this.#files = new Set(files);
		this.#knownRed = knownRed;
	}

	/** Whether tests ran and none failed but known ones. */
	get isGreen(): boolean {
		return this.failed === 0 && this.passed > 0;
	}

	/** Counts a test that passed; suites and files are no tests of their own. */
	countPass({name, details}: TestResult): void {
		if (!this.#files.has(name) && details.type !== 'suite') {
			this.passed += 1;
		}
	}

	/** Counts a failure. A file that failed as a whole always counts: the tests that it did not reach have no result. */
	countFailure({name, details}: TestResult): FailureKind {
		if (details.type === 'suite') {
			return 'suite';
		}

		if (this.#knownRed.has(name)) {
			this.red += 1;
			return 'known-red';
		}

		this.failed += 1;
		return 'failed';
	}
}
