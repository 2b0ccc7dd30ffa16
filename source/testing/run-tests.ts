/**
 * Runs every test file below the compiled tree, and passes over just the failures that KNOWN-RED.txt lists.
 *
 * @module
 */
import {once} from 'node:events';
import {readFile, readdir} from 'node:fs/promises';
import {availableParallelism} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {run} from 'node:test';
import {spec as SpecReporter} from 'node:test/reporters';
import {ResultCounter} from './result-counter.ts';

const root = path.join(import.meta.dirname, '..');

/** Test files that run at once; each starts a handful of processes. */
const concurrency = Math.max(1, Math.floor(availableParallelism() / 2));

/** Time limit of a test file, in milliseconds. */
const fileTimeoutMilliseconds = 240_000;

/** Test files that run one after the other, after all others: they measure what a process uses under a crowd of callers. */
const aloneFiles = ['hostile-callers.test.js'];

/** Reads the names of tests that are known to fail: the lines `test: NAME`. */
async function readKnownRed(): Promise<Set<string>> {
	try {
		const content = await readFile(path.join(root, '..', 'KNOWN-RED.txt'), 'utf8');
		return new Set(content.split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim()));
	} catch {
		return new Set();
	}
}

const names = await readdir(root, {recursive: true});
const pattern = process.argv[2] ?? '';
const files = names.filter(name => name.endsWith('.test.js') && name.includes(pattern)).map(name => path.join(root, name));
const counter = new ResultCounter({files, knownRed: await readKnownRed()});

/** Runs test files, so many at once, and counts their results. */
async function runFiles(chosen: readonly string[], atOnce: number): Promise<void> {
	if (chosen.length === 0) {
		return;
	}

	const stream = run({files: chosen.toSorted(), concurrency: atOnce, timeout: fileTimeoutMilliseconds});
	stream.on('test:pass', result => {
		counter.countPass(result);
	});
	stream.on('test:fail', result => {
		if (counter.countFailure(result) === 'known-red') {
			console.log(`known red: ${result.name}`);
		}
	});
	const ended = once(stream, 'end');
	stream.pipe(new SpecReporter()).pipe(process.stdout);
	await ended;
}

const isAlone = (file: string) => aloneFiles.some(name => file.endsWith(name));
await runFiles(files.filter(file => !isAlone(file)), concurrency);
await runFiles(files.filter(file => isAlone(file)), 1);
console.log(`${counter.passed} passed, ${counter.failed} failed`);
process.exitCode = counter.isGreen ? 0 : 1;
