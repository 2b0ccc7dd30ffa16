/**
 * Runs every test file below the compiled tree, and passes over just the failures that KNOWN-RED.txt lists.
 *
 * @module
 */
import {readFile, readdir} from 'node:fs/promises';
import {availableParallelism} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {run} from 'node:test';
import {spec as SpecReporter} from 'node:test/reporters';

const root = path.join(import.meta.dirname, '..');

/** Test files that run at once; each starts a handful of processes. */
const concurrency = Math.max(1, Math.floor(availableParallelism() / 2));

/** Reads the names of tests that are known to fail: the lines `test: NAME`. */
async function readKnownRed(): Promise<Set<string>> {
	try {
		const content = await readFile(path.join(root, '..', 'KNOWN-RED.txt'), 'utf8');
		return new Set(content.split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim()));
	} catch {
		return new Set();
	}
}

const knownRed = await readKnownRed();
const names = await readdir(root, {recursive: true});
const pattern = process.argv[2] ?? '';
const files = names.filter(name => name.endsWith('.test.js') && name.includes(pattern)).map(name => path.join(root, name));
const counts = {passed: 0, failed: 0, red: 0};
const stream = run({files: files.toSorted(), concurrency, timeout: 240_000});
stream.on('test:pass', ({name, details}) => {
	if (!files.includes(name) && details.type !== 'suite') {
		counts.passed += 1;
	}
});
stream.on('test:fail', ({name, details}) => {
	if (details.type === 'suite') {
		return;
	}

	if (knownRed.has(name)) {
		counts.red += 1;
		console.log(`known red: ${name}`);
	} else if (!files.includes(name) || counts.failed + counts.red === 0) {
		counts.failed += 1;
	}
});
stream.on('end', () => {
	console.log(`${counts.passed} passed, ${counts.failed} failed`);
	process.exitCode = counts.failed > 0 || counts.passed === 0 ? 1 : 0;
});
stream.pipe(new SpecReporter()).pipe(process.stdout);
