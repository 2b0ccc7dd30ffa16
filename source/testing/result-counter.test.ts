import assert from 'node:assert/strict';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {run, test} from 'node:test';
import {ResultCounter, type TestResult} from './result-counter.ts';

/** Test files and what each counts as; `red` is a known failure. */
const files = {
	'passes.test.mjs': 'import {test} from "node:test"; test("one", () => {}); test("two", () => {});',
	'fails.test.mjs': 'import {test} from "node:test"; test("red", () => { throw new Error("known"); }); test("other", () => { throw new Error("not known"); });',
	'hangs.test.mjs': 'import {test} from "node:test"; test("red", () => { throw new Error("known"); }); test("waits", () => new Promise(resolve => setTimeout(resolve, 60_000)));',
};

/** Time limit of a file, in milliseconds. */
const fileTimeoutMilliseconds = 3000;

// The runner starts no test files from within one unless this variable is gone.
delete process.env.NODE_TEST_CONTEXT;

async function countResults(content: string): Promise<ResultCounter> {
	const folder = await mkdtemp(path.join(tmpdir(), 'azuretack-results-'));
	const file = path.join(folder, 'case.test.mjs');
	await writeFile(file, content);
	const counter = new ResultCounter({files: [file], knownRed: new Set(['red'])});
	const stream = run({files: [file], timeout: fileTimeoutMilliseconds});
	stream.on('test:pass', (result: TestResult) => {
		counter.countPass(result);
	});
	stream.on('test:fail', (result: TestResult) => {
		counter.countFailure(result);
	});
	stream.resume();
	await once(stream, 'end');
	await rm(folder, {recursive: true});
	return counter;
}

test('tests that pass are counted', async () => {
	const {passed, failed, isGreen} = await countResults(files['passes.test.mjs']);
	assert.deepEqual({passed, failed, isGreen}, {passed: 2, failed: 0, isGreen: true});
});

test('only known failures are passed over', async () => {
	const {failed, red} = await countResults(files['fails.test.mjs']);
	assert.deepEqual({failed, red}, {failed: 1, red: 1});
});

test('a file that is ended by its time limit counts as failed, also after a known failure', async () => {
	const {failed, red, isGreen} = await countResults(files['hangs.test.mjs']);
	assert.ok(failed > 0);
	assert.equal(red, 1);
	assert.equal(isGreen, false);
});

test('a run without a test is not green', () => {
	assert.equal(new ResultCounter({files: [], knownRed: new Set()}).isGreen, false);
});
