import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {PlatformClient} from './mod.ts';

const operation = {
	kind: 'put', table: 'claim', key: 'a', value: {}, condition: {kind: 'absent'},
} as const;

test('a write is committed on 2xx, refused on 4xx, 503 or a failed connection, and unknown on any other failure', async () => {
	let status = 200;
	const server = createServer((_request, response) => {
		response.writeHead(status).end('{}');
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const platform = new PlatformClient({url: `http://127.0.0.1:${port}`});
	const expected: Record<number, string> = {
		200: 'committed', 400: 'refused', 404: 'refused', 429: 'refused', 500: 'unknown', 502: 'unknown', 503: 'refused', 504: 'unknown',
	};
	for (const [given, outcome] of Object.entries(expected)) {
		status = Number(given);
		const written = await platform.transact([operation]);
		assert.equal(written.match(({kind}) => kind, ({kind}) => kind), outcome, `status ${given}`);
	}

	server.close();
	server.closeAllConnections();
	await once(server, 'close');
	await platform.close();
	const late = new PlatformClient({url: `http://127.0.0.1:${port}`});
	const written = await late.transact([operation]);
	await late.close();
	assert.equal(written._unsafeUnwrapErr().kind, 'refused');
});
