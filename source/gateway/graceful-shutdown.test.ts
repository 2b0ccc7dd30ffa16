import assert from 'node:assert/strict';
import {test} from 'node:test';
import {GracefulShutdown} from './graceful-shutdown.ts';

test('new requests are accepted only during the first part of a shutdown', () => {
	const shutdown = new GracefulShutdown({timeoutMilliseconds: 8000});
	assert.equal(shutdown.acceptsRequests(0), true);
	shutdown.start(1000);
	shutdown.start(5000);
	assert.equal(shutdown.acceptsRequests(3000), true);
	assert.equal(shutdown.acceptsRequests(3500), false);
});

test('new requests are refused in a long shutdown before three seconds have passed since the signal, which may be noticed late', () => {
	const shutdown = new GracefulShutdown({timeoutMilliseconds: 60_000});
	shutdown.start(0);
	assert.equal(shutdown.acceptsRequests(2799), true);
	assert.equal(shutdown.acceptsRequests(2800), false);
});

test('requests in progress at the exit are ended, others are not', () => {
	const shutdown = new GracefulShutdown({timeoutMilliseconds: 8000});
	const ended: string[] = [];
	const track = (name: string) => shutdown.trackRequest(0, () => {
		ended.push(name);
	});
	track('done')();
	track('open');
	shutdown.endRequests();
	assert.deepEqual(ended, ['open']);
});

test('the process may exit once it is idle or the shutdown timeout has nearly passed', () => {
	const shutdown = new GracefulShutdown({timeoutMilliseconds: 8000});
	const ended = shutdown.trackRequest(900, () => undefined);
	assert.equal(shutdown.canExit(950), false);
	shutdown.start(1000);
	assert.equal(shutdown.canExit(3000), false);
	assert.equal(shutdown.canExit(8700), true);
	ended();
	ended();
	assert.equal(shutdown.inProgress, 0);
	assert.equal(shutdown.canExit(1500), false);
	assert.equal(shutdown.canExit(2000), true);
});

test('a response counts as undelivered from its end until its request has ended', () => {
	const shutdown = new GracefulShutdown({timeoutMilliseconds: 8000});
	let isWritten = false;
	const ended = shutdown.trackRequest(0, () => undefined, () => isWritten);
	shutdown.trackRequest(0, () => undefined);
	assert.deepEqual([shutdown.inProgress, shutdown.undelivered], [2, 0]);
	isWritten = true;
	assert.deepEqual([shutdown.inProgress, shutdown.undelivered], [2, 1]);
	ended();
	assert.deepEqual([shutdown.inProgress, shutdown.undelivered], [1, 0]);
});
