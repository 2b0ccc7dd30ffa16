import assert from 'node:assert/strict';
import {once} from 'node:events';
import {Agent, createServer} from 'node:http';
import {test} from 'node:test';
import {takeLoopbackAddress} from '../testing/loopback-address.ts';
import {runGenerationAttempt, type GenerationAttemptOptions} from './generation-attempt.ts';
import {ResponseBuffers} from './response-buffers.ts';

/** Address of the engine. */
const address = takeLoopbackAddress();
const port = 8000;

/** Options of an attempt whose caller has left; nothing else is looked at before it is sent. */
function attemptOfLeftCaller(): GenerationAttemptOptions {
	const options: unknown = {
		exchange: {
			request: {method: 'POST', url: '/drafts/1', rawHeaders: ['Host', 'desk.example']},
			body: new Uint8Array(1),
			route: {eventPauseMilliseconds: 700},
			terms: {attempt: 'a'},
			deadline: performance.now() + 1000,
			callerDisconnected: AbortSignal.abort(),
		},
		target: {endpoint: {id: 'scribe-1', address: `${address}:${port}`, startedAt: 1}},
		progress: {events: 0},
		targetMilliseconds: 1000,
		agent: new Agent(),
		responseBuffers: new ResponseBuffers({maximumResponseBytes: 1000, maximumTotalBytes: 1000, maximumStreams: 1}),
		onResponse: () => undefined,
		queryLoad: async () => ({kind: 'unresponsive'}),
		acquireAlternative: async () => false,
		clock: () => performance.now(),
	};
	return options as GenerationAttemptOptions;
}

// A caller that left while its request was admitted again was not noticed, as its signal had aborted before the attempt began.
test('a generation whose caller has left before the attempt begins does not reach an engine', async () => {
	let requests = 0;
	const server = createServer((_request, response) => {
		requests += 1;
		response.writeHead(200, {'x-azuretack-attempt-id': 'a'}).flushHeaders();
	});
	server.listen(port, address);
	await once(server, 'listening');
	const end = await runGenerationAttempt(attemptOfLeftCaller());
	server.close();
	server.closeAllConnections();
	assert.equal(end.kind, 'caller-disconnected');
	assert.equal(requests, 0);
});
