import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ResponseBuffers} from './response-buffers.ts';

test('buffered bytes are limited per response and in total, and released bytes can be used again', () => {
	const buffers = new ResponseBuffers({maximumResponseBytes: 100, maximumTotalBytes: 250, maximumStreams: 1});
	const responses = [buffers.allocate(), buffers.allocate(), buffers.allocate()];
	assert.deepEqual(responses.map(response => response.resize(100)), [true, true, false]);
	responses[0]!.release();
	assert.equal(responses[2]!.resize(100), true);
	assert.equal(responses[1]!.resize(101), false);
});

test('the total is the sum of the buffered bytes of all responses', () => {
	fc.assert(fc.property(fc.array(fc.record({index: fc.nat(3), bytes: fc.nat(1000)})), changes => {
		const buffers = new ResponseBuffers({maximumResponseBytes: 500, maximumTotalBytes: 1500, maximumStreams: 1});
		const responses = Array.from({length: 4}, () => buffers.allocate());
		const bytes = [0, 0, 0, 0];
		for (const change of changes) {
			bytes[change.index] = change.bytes;
			const sum = bytes.reduce((total, each) => total + each);
			assert.equal(responses[change.index]!.resize(change.bytes), change.bytes <= 500 && sum <= 1500);
			assert.equal(buffers.totalBytes, sum);
		}
	}));
});

test('streamed responses buffer nothing, and their number is limited', () => {
	const buffers = new ResponseBuffers({maximumResponseBytes: 100, maximumTotalBytes: 250, maximumStreams: 2});
	const responses = [buffers.allocate(), buffers.allocate(), buffers.allocate()];
	responses[0]!.resize(101);
	assert.deepEqual(responses.map(response => response.startStreaming()), [true, true, false]);
	assert.equal(buffers.totalBytes, 0);
	assert.equal(responses[0]!.startStreaming(), true);
	responses[0]!.release();
	responses[0]!.release();
	assert.equal(responses[2]!.startStreaming(), true);
	assert.equal(buffers.allocate().startStreaming(), false);
});
