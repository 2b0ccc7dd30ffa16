import assert from 'node:assert/strict';
import {
	closeSync, openSync, readFileSync, rmSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {test} from 'node:test';
import {LineWriter} from './line-writer.ts';

test('lines beyond the rate limit or the buffer limit are dropped, and their number is logged', () => {
	const file = path.join(tmpdir(), `azuretack-lines-${process.pid}`);
	const descriptor = openSync(file, 'w');
	let now = 0;
	const writer = new LineWriter({
		descriptor, linesPerSecond: 3, maximumBufferedCharacters: 100, clock: () => now,
	});
	for (let index = 0; index < 10; index += 1) {
		writer.write(`line ${index}`);
	}

	assert.equal(writer.dropped, 7);
	now = 1000;
	writer.write('later');
	writer.write('x'.repeat(200));
	assert.equal(writer.dropped, 1);
	writer.end();
	closeSync(descriptor);
	const lines = readFileSync(file, 'utf8').trim().split('\n');
	rmSync(file);
	assert.deepEqual(lines.slice(0, 3), ['line 0', 'line 1', 'line 2']);
	assert.match(lines[3]!, /"lines":7/v);
	assert.equal(lines[4], 'later');
});
