import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {openEngineStream} from './engine-stream.ts';

/** Time without an event after which the stream counts as silent, in milliseconds. */
const silenceMilliseconds = 200;

for (const [name, chunk] of [['comments', ': still here\n\n'], ['parts of an event', 'x'], ['empty lines', '\n']] as const) {
	test(`a stream that carries ${name} and no event counts as silent`, async () => {
		const server = createServer((_request, response) => {
			response.writeHead(200, {'content-type': 'text/event-stream'});
			response.write(name === 'parts of an event' ? 'data: ' : '\n');
			const timer = setInterval(() => {
				response.write(chunk);
			}, 20);
			response.on('close', () => {
				clearInterval(timer);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const controller = new AbortController();
		const opened = await openEngineStream({
			kind: 'resume', generation: 'generation-1', attempt: 1, afterIndex: 0,
		}, {address: `127.0.0.1:${(server.address() as AddressInfo).port}`, openTimeoutMilliseconds: 1000, signal: controller.signal});
		const stream = opened._unsafeUnwrap();
		const timer = setTimeout(() => {
			controller.abort();
		}, silenceMilliseconds * 10);
		const read = await stream.read(silenceMilliseconds);
		clearTimeout(timer);
		stream.close();
		server.close();
		server.closeAllConnections();
		assert.equal(read.kind, 'silent');
	});
}
