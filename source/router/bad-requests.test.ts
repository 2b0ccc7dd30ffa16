import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {text} from 'node:stream/consumers';
import {test} from 'node:test';
import {
	Fleet, operatorKey, testKey, workspacesFile,
} from '../testing/fleet.ts';

/** Sends a raw HTTP request and returns the whole response. */
async function sendRaw(address: string, request: string): Promise<string> {
	const {hostname, port} = new URL(`http://${address}`);
	const socket = connect(Number(port), hostname);
	await once(socket, 'connect');
	socket.end(request);
	return text(socket);
}

test('malformed requests get a 4xx response and do not stop the router', async () => {
	await using fleet = await Fleet.create();
	await fleet.startRouter('router-1');
	await fleet.publishHosts();
	await fleet.publish({
		'briefs.service.jsonc': {service: 'briefs', kind: 'model', model: {name: 'model', version: 'v1'}},
		'all.workspaces.jsonc': workspacesFile(),
	});
	await fleet.waitUntilReady();
	const {callers, operators} = fleet.hosts.get('router-1')!.entry!;
	const post = (body: string, headers = '') => [
		'POST /v1/completions HTTP/1.1', 'Host: a', 'Connection: close', `Authorization: Bearer ${testKey}`, `${headers}Content-Length: ${body.length}`, '', body,
	].join('\r\n');
	const requests: Array<[string, string, RegExp]> = [
		[callers, 'GET // HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n', /^HTTP\/1\.1 400/v],
		[operators, `GET // HTTP/1.1\r\nHost: a\r\nConnection: close\r\nAuthorization: Bearer ${operatorKey}\r\n\r\n`, /^HTTP\/1\.1 400/v],
		[callers, post('{"model":"briefs"'), /^HTTP\/1\.1 400/v],
		[callers, post('{"model":"briefs"}'), /^HTTP\/1\.1 400[\s\S]*prompt/v],
		[callers, post('{"model":"other","prompt":"x"}'), /^HTTP\/1\.1 404/v],
		[callers, post('{"model":"briefs","prompt":"x"}', 'Last-Event-ID: e30.e30\r\n'), /^HTTP\/1\.1 422[\s\S]*cursor_refused/v],
		[callers, 'GET /v1/none HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n', /^HTTP\/1\.1 401/v],
		[operators, 'GET /status HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n', /^HTTP\/1\.1 401/v],
	];
	for (const [address, request, expected] of requests) {
		const answer = await sendRaw(address, request);
		assert.match(answer, expected, request);
	}

	const status = await fleet.operator<{ready: boolean}>('router-1', '/status');
	assert.equal(status.ready, true);
});
