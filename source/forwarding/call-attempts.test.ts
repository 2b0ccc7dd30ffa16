import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type EndpointEntry} from '../registry/mod.ts';
import {CallAttempts} from './call-attempts.ts';
import {ResponseBuffers} from './response-buffers.ts';

// The buffers of calls whose response waited behind another one, and whose caller left, were never released; from then on no call was answered.
test('the buffers of a call are released once its response is delivered or its connection has closed, whichever way it learns of it', async () => {
	const responseBuffers = new ResponseBuffers({maximumResponseBytes: 1000, maximumTotalBytes: 10_000, maximumStreams: 4});
	const attempts = new CallAttempts({responseBuffers, callerDisconnected: new AbortController().signal, clock: () => 0});
	attempts.start({id: 'desk-1'} as EndpointEntry, async ({buffer, signal}) => {
		assert.ok(buffer.resize(800));
		return new Promise(() => {
			signal.addEventListener('abort', () => undefined);
		});
	});
	let close: () => void = () => undefined;
	const delivered = new Promise<void>(resolve => {
		close = resolve;
	});
	attempts.abortAll(delivered);
	assert.equal(responseBuffers.totalBytes, 800);
	close();
	await delivered;
	assert.equal(responseBuffers.totalBytes, 0);
});
